package store

import (
	"testing"

	"crosstide/internal/testbed/golden"
)

// TestGoldenMetrics pins names, help texts and labels of metrics.
func TestGoldenMetrics(t *testing.T) {
	var kept golden.Registry
	newMetrics().register(nil, &kept)
	golden.Compare(t, "metrics",
		golden.Metrics("store", kept.Collectors...),
		golden.Metrics("store, told when asked", golden.Descs{descRole, descTerm, descCommit, descApplied, descWaiting, descRefused,
			descLog, descWrites, descState, descType, descAccount, descRate, descExhaustedIn, descUnpaid, descWarning}),
	)
}
