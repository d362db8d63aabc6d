package internalapi

import (
	"testing"

	"crosstide/internal/testbed/golden"
	"crosstide/internal/testbed/golden/endpoint"
)

// TestGoldenWire pins the JSON encoding of messages between processes, answers to clients and operators, and files.
func TestGoldenWire(t *testing.T) {
	golden.Compare(t, "wire",
		endpoint.Shapes(Shuffle),
		endpoint.Shapes(Rollout),
		endpoint.Shapes(RenewLease),
		endpoint.Shapes(AnnounceWorker),
		endpoint.Shapes(Raft),
		endpoint.Shapes(Propose),
		endpoint.Shapes(ReadIndex),
		endpoint.Shapes(Follow),
		endpoint.Shapes(Chunk),
		endpoint.Shapes(ClaimRole),
		endpoint.Shapes(Status),
		endpoint.Shapes(Discover),
		endpoint.Shapes(Join),
		golden.Shape("account create call", AccountCreateCall{}),
		golden.Shape("top up call", TopUpCall{}),
		golden.Shape("account view", AccountView{}),
		golden.Shape("accounts answer", AccountsAnswer{}),
		golden.Shape("ledger answer", LedgerAnswer{}),
		golden.Shape("lack", SourceUpdate{}),
		golden.Shape("snapshot", Snapshot{}),
		golden.Shape("start order", StartOrder{}),
		golden.Shape("stop order", StopOrder{}),
		golden.Shape("end note", RunEnd{}),
		golden.Shape("refuse note", StartRefusal{}),
		golden.Shape("node bundle", NodeBundle{}),
	)
}
