package rpc

import (
	"testing"

	"crosstide/internal/testbed/golden"
)

// TestGoldenWire pins the JSON of an error response.
func TestGoldenWire(t *testing.T) {
	golden.Compare(t, "wire",
		golden.Shape("error body", errorBody{}),
		golden.Filled("error body", errorBody{}),
	)
}

// TestGoldenMetrics pins the names, help texts and labels of the metrics.
func TestGoldenMetrics(t *testing.T) {
	var registry golden.Registry
	newMetrics("server", &registry)
	golden.Compare(t, "metrics", golden.Metrics("rpc", append(registry.Collectors,
		NewConnLimiterMetrics(nil), NewMemoryBudgetMetrics(nil))...))
}

// TestGoldenDigests pins the encoding that Digest hashes, by the digest of fixed parts.
func TestGoldenDigests(t *testing.T) {
	golden.Compare(t, "digests", golden.Lines("parts", Digest([]byte("a"), []byte("bc"))))
}
