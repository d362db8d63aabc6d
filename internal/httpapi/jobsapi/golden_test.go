package jobsapi

import (
	"testing"

	"crosstide/internal/testbed/golden"
)

// TestGoldenWire pins the JSON of what goes between processes, to clients and operators, and into files.
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
