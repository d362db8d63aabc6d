package bundle

import (
	"testing"

	"crosstide/internal/testbed/golden"
)

// TestGoldenWire pins the JSON of the types that are stored or sent to other processes, clients and operators.
func TestGoldenWire(t *testing.T) {
	golden.Compare(t, "wire",
		golden.Shape("change", Change{}),
		golden.Filled("change", Change{}),
		golden.Keys(t, "keys read", "."),
	)
}
