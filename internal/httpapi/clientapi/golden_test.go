package clientapi

import (
	"encoding/json"
	"testing"

	"crosstide/internal/testbed/golden"
)

// TestGoldenWire pins the JSON of the types that are exchanged with clients.
func TestGoldenWire(t *testing.T) {
	golden.Compare(t, "wire",
		golden.Shape("accepted", Accepted{}),
		golden.Shape("listing", Listing{}),
		golden.Keys(t, "keys read", "."),
	)
}

// TestGoldenDigests pins the encoding of a job that its digest is computed over, by the digest of a fixed job.
func TestGoldenDigests(t *testing.T) {
	spec, digest, err := Parse([]byte(`{"key":"k-1","team":"depot",
		"steps":[{"name":"scan","type":"scan","labels":{"b":"1","a":"2"},"run":{"x":1}}]}`))
	if err != nil {
		t.Fatal(err)
	}
	stored, err := json.Marshal(spec)
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "digests", golden.Lines("job", string(stored), digest))
}
