package rpc

import (
	"testing"

	"crosstide/internal/testbed/golden"
)

// TestGoldenWire pins the JSON of what goes between processes, to clients and operators, and into files.
func TestGoldenWire(t *testing.T) {
	golden.Compare(t, "wire",
		golden.Shape("error body", errorBody{}),
		golden.Filled("error body", errorBody{}),
	)
}

// TestGoldenMetrics pins names, help texts and labels of metrics.
func TestGoldenMetrics(t *testing.T) {
	var kept golden.Registry
	newMetrics("server", &kept)
	golden.Compare(t, "metrics", golden.Metrics("rpc", append(kept.Collectors, NewConnLimiterMetrics(nil))...))
}

// TestGoldenDigests pins what is hashed, by the hash of a fixed value.
func TestGoldenDigests(t *testing.T) {
	golden.Compare(t, "digests", golden.Lines("parts", Digest([]byte("a"), []byte("bc"))))
}
