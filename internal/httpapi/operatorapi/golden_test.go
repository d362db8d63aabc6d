package operatorapi

import (
	"testing"

	"crosstide/internal/testbed/golden"
)

// TestGoldenWire pins the JSON of the types that are exchanged with operators.
func TestGoldenWire(t *testing.T) {
	golden.Compare(t, "wire",
		golden.Shape("signing", Signing{}),
		golden.Shape("log", Log{}),
		golden.Shape("difference", Difference{}),
		golden.Shape("zones", Zones{}),
		golden.Shape("rollout", Rollout{}),
		golden.Shape("node rollout", NodeRollout{}),
		golden.Shape("order", Order{}),
		golden.Shape("minions", Workers{}),
		golden.Shape("who", Who{}),
		golden.Keys(t, "keys read", "."),
	)
}
