package store

import (
	"testing"

	"crosstide/internal/config"
	"crosstide/internal/testbed/golden"
)

// TestGoldenMetrics pins names, help texts and labels of metrics.
func TestGoldenMetrics(t *testing.T) {
	var kept golden.Registry
	newMetrics().register(nil, &kept)
	golden.Compare(t, "metrics",
		golden.Metrics("store", kept.Collectors...),
		golden.Metrics("store, told when asked", golden.Descs{descRole, descTerm, descCommit, descApplied, descWaiting,
			descRefused, descLog, descWrites, descState, descType, descAccount, descRate, descExhaustedIn, descUnpaid,
			descWarning}),
	)
}

// TestGoldenDigests pins what is hashed, by the hash of a fixed value.
func TestGoldenDigests(t *testing.T) {
	golden.Compare(t, "digests", golden.Lines("founding members",
		digestOf([]config.Member{{ID: "b", Addr: "addr", Zone: "zone"}, {ID: "a", Addr: "addr", Zone: "zone"}})))
}
