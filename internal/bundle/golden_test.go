package bundle

import (
	"testing"

	"crosstide/internal/testbed/golden"
)

// TestGoldenWire pins the JSON that is sent to other processes, clients and operators, or stored.
func TestGoldenWire(t *testing.T) {
	golden.Compare(t, "wire",
		golden.Shape("change", Change{}),
		golden.Filled("change", Change{}),
		golden.Keys(t, "keys read", "."),
	)
}
