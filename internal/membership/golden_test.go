package membership

import (
	"testing"

	"crosstide/internal/clock"
	"crosstide/internal/testbed/golden"
)

// TestGoldenWire pins the JSON encoding of messages between processes, answers to clients and operators, and files.
func TestGoldenWire(t *testing.T) {
	golden.Compare(t, "wire",
		golden.Shape("note", Member{}),
		golden.Shape("message", Message{}),
		golden.Shape("seen", MemberStatus{}),
		golden.Filled("message", Message{}),
	)
}

// TestGoldenMetrics pins the names, help texts and labels of the metrics.
func TestGoldenMetrics(t *testing.T) {
	var registry golden.Registry
	NewNode(Options{Clock: &clock.Virtual{}, Registry: &registry})
	golden.Compare(t, "metrics", golden.Metrics("membership", registry.Collectors...))
}
