package internalapi

import (
	"testing"

	"crosstide/internal/rpc"
	"crosstide/internal/testbed/golden"
)

// TestGoldenWire pins the JSON of what goes between processes, to clients and operators, and into files.
func TestGoldenWire(t *testing.T) {
	golden.Compare(t, "wire",
		pair(Shuffle),
		pair(Rollout),
		pair(RenewLease),
		pair(AnnounceWorker),
		pair(Raft),
		pair(Propose),
		pair(ReadIndex),
		pair(Follow),
		pair(Chunk),
		pair(ClaimRole),
		pair(Status),
		pair(Discover),
		pair(Join),
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

// pair returns the shapes of a call and of its answer, under the call's path.
func pair[C, A any](p rpc.Endpoint[C, A]) string {
	var call C
	var answer A
	return golden.Shape(p.Path+" call", call) + "\n" + golden.Shape(p.Path+" answer", answer)
}
