package operatorapi

import (
	"testing"

	"crosstide/internal/testbed/golden"
)

// TestGoldenWire pins the JSON of the types that are exchanged with operators.
func TestGoldenWire(t *testing.T) {
	golden.Compare(t, "wire",
		golden.Shape("signing", BundleSignature{}),
		golden.Shape("log", BundleList{}),
		golden.Shape("difference", BundleDiff{}),
		golden.Shape("zones", Zones{}),
		golden.Shape("rollout", Rollout{}),
		golden.Shape("node rollout", NodeRollout{}),
		golden.Shape("order", Order{}),
		golden.Shape("minions", Workers{}),
		golden.Shape("who", ClusterStatus{}),
		golden.Keys(t, "keys read", "."),
	)
}
