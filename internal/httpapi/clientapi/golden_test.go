package clientapi

import (
	"encoding/json"
	"testing"

	"crosstide/internal/testbed/golden"
)

// TestGoldenWire pins the JSON of what goes between processes, to clients and operators, and into files.
func TestGoldenWire(t *testing.T) {
	golden.Compare(t, "wire",
		golden.Shape("accepted", Accepted{}),
		golden.Shape("listing", Listing{}),
		golden.Keys(t, "keys read", "."),
	)
}

// TestGoldenDigests pins what is hashed, by the hash of a fixed value.
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
