package dataplane

import (
	"testing"

	"crosstide/internal/testbed/golden"
)

// TestGoldenWire pins the JSON of what goes between processes, to clients and operators, and into files.
func TestGoldenWire(t *testing.T) {
	golden.Compare(t, "wire",
		golden.Shape("bundle", Bundle{}),
	)
}

// TestGoldenMetrics pins names, help texts and labels of metrics.
func TestGoldenMetrics(t *testing.T) {
	golden.Compare(t, "metrics", golden.Metrics("front node", NewCollector(nil)))
}
