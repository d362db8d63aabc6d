package store

import (
	"testing"

	"crosstide/internal/config"
	"crosstide/internal/testbed/golden"
)

// TestGoldenMetrics pins the names, help texts and labels of the metrics.
func TestGoldenMetrics(t *testing.T) {
	var registry golden.Registry
	newMetrics().register(nil, &registry)
	golden.Compare(t, "metrics",
		golden.Metrics("store", registry.Collectors...),
		golden.Metrics("store, told when asked", golden.Descs{descRole, descTerm, descCommit, descApplied, descWaiting,
			descRefused, descLogBytes, descSnapshots, descObjects, descRunning, descAccount, descRate, descExhaustedIn,
			descAwaitingTopUp, descWarning}),
	)
}

// TestGoldenDigests pins the digest of a fixed member list, as nodes of different versions compare digests.
func TestGoldenDigests(t *testing.T) {
	golden.Compare(t, "digests", golden.Lines("founding members",
		digestOf([]config.Member{{ID: "b", Addr: "addr", Zone: "zone"}, {ID: "a", Addr: "addr", Zone: "zone"}})))
}
