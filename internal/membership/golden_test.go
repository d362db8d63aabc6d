package membership

import (
	"testing"

	"crosstide/internal/clock"
	"crosstide/internal/testbed/golden"
)

// TestGoldenWire pins the JSON of what goes between processes, to clients and operators, and into files.
func TestGoldenWire(t *testing.T) {
	golden.Compare(t, "wire",
		golden.Shape("note", Member{}),
		golden.Shape("message", Message{}),
		golden.Shape("seen", MemberStatus{}),
		golden.Filled("message", Message{}),
	)
}

// TestGoldenMetrics pins names, help texts and labels of metrics.
func TestGoldenMetrics(t *testing.T) {
	var kept golden.Registry
	NewNode(Options{Clock: &clock.Virtual{}, Registry: &kept})
	golden.Compare(t, "metrics", golden.Metrics("membership", kept.Collectors...))
}
