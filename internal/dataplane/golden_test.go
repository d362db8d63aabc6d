package dataplane

import (
	"testing"

	"crosstide/internal/testbed/golden"
)

// TestGoldenWire pins the JSON encoding of messages between processes, answers to clients and operators, and files.
func TestGoldenWire(t *testing.T) {
	golden.Compare(t, "wire",
		golden.Shape("bundle", Bundle{}),
	)
}

// TestGoldenMetrics pins the names, help texts and labels of the metrics.
func TestGoldenMetrics(t *testing.T) {
	golden.Compare(t, "metrics", golden.Metrics("front node", NewCollector(nil)))
}
