package jobsapi

import (
	"encoding/json"
	"testing"

	"crosstide/internal/testbed/golden"
)

// TestGoldenWire pins the JSON of the types that are exchanged with clients, operators and workers.
func TestGoldenWire(t *testing.T) {
	golden.Compare(t, "wire",
		golden.Shape("job state", JobState{}),
		golden.Shape("page", Page{}),
		golden.Shape("queue", Queue{}),
		golden.Shape("service", Service{}),
		golden.Shape("configuration", Configuration{}),
		golden.Shape("config version", ConfigVersion{}),
		golden.Shape("zone state", ZoneState{}),
		golden.Shape("heartbeat", Heartbeat{}),
		golden.Shape("worker", Worker{}),
		golden.Shape("resources", Resources{}),
		golden.Shape("workers", Workers{}),
		golden.Filled("configuration", Configuration{}),
		golden.Keys(t, "keys read", "."),
	)
}

// TestGoldenDigests pins the encoding of a job that its digest is computed over, by the digest of a fixed job.
func TestGoldenDigests(t *testing.T) {
	spec, digest, err := ParseJob([]byte(`{"id":"j-1","queue":"nightly","steps":[{"milli_cpu":500}]}`))
	if err != nil {
		t.Fatal(err)
	}
	stored, err := json.Marshal(spec)
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "digests", golden.Lines("job", string(stored), digest))
}
