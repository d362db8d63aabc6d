package raft

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/testbed/exhaustive"
)

// interleaving simulates three nodes, two of which campaign at simulated time 3 s. messages holds the messages that are
// not delivered yet.
type interleaving struct {
	*simulation
	messages []Message
}

// drain collects the output of all nodes, syncs it at once and makes each new leader propose an entry.
func (sim *interleaving) drain() {
	for _, n := range sim.nodes {
		r := n.core.Ready()
		sim.messages = append(append(sim.messages, r.Messages...), r.MessagesAfterSync...)
		if entries := r.Entries; len(entries) > 0 {
			last := entries[len(entries)-1]
			n.core.Synced(sim.clockOf(n), last.Index, last.Term)
		}
		term, leads := n.core.hardState.Term, n.core.role == Leader
		if leader, ok := sim.leaders[term]; leads && !ok {
			sim.leaders[term] = n.id
			_, _, _ = n.core.Propose(sim.clockOf(n), json.RawMessage(`"`+n.id+`"`))
		} else if leads && leader != n.id {
			sim.fail("two leaders in one term")
		}
	}
}

// checkLogs checks the log matching property for each pair of nodes: their logs are equal up to any index at which both
// have an entry of the same term, and up to the lower commit index.
func (sim *interleaving) checkLogs() {
	for _, a := range sim.nodes {
		for _, b := range sim.nodes {
			if !logsMatch(a.core, b.core) {
				sim.fail("logs differ")
			}
		}
	}
}

func logsMatch(a, b *Core) bool {
	mustMatch := false
	for i := min(a.log.last(), b.log.last()); i > 1; i-- {
		ours, theirs := a.log.entries[i-2], b.log.entries[i-2]
		mustMatch = mustMatch || ours.Term == theirs.Term || i <= min(a.commit, b.commit)
		if mustMatch && !isSameEntry(ours, theirs) {
			return false
		}
	}
	return true
}

// runInterleaving runs the campaigns of two nodes and the appends that follow, in a cluster of three. At each of the
// first depth steps, choose selects which of the next four messages is delivered, or that the first one is lost; later
// messages are delivered in order. It returns the violated invariants, and whether a node became leader.
func runInterleaving(choose func(int) int, depth int) (failures []string, elected bool) {
	sim := &interleaving{simulation: newSimulation(1, "a", "b", "c")}
	sim.now = 3 * time.Second
	for _, candidate := range sim.nodes[:2] {
		candidate.core.Tick(sim.clockOf(candidate))
	}
	sim.drain()
	for step := 0; len(sim.messages) > 0 && step < 200; step++ {
		choices, choice := min(len(sim.messages), 4), 0
		if step < depth {
			choice = choose(choices + 1)
		}
		isLost, i := choice == choices, choice%choices
		m := sim.messages[i]
		sim.messages = slices.Delete(sim.messages, i, i+1)
		if to := sim.node(m.To); !isLost {
			to.core.Step(sim.clockOf(to), m)
		}
		sim.drain()
	}
	sim.checkLogs()
	return sim.failures, len(sim.leaders) > 0
}

func TestElection_everyInterleaving(t *testing.T) {
	Convey("The invariants of Raft hold for every order and loss of the first messages of two campaigns", t, func() {
		var failures []string
		elections := 0
		runs := exhaustive.Choices(func(choose func(n int) int) {
			failed, elected := runInterleaving(choose, 6)
			if failures = append(failures, failed...); elected {
				elections++
			}
		})
		So(failures, ShouldBeEmpty)
		So(runs, ShouldBeGreaterThan, 10000)
		So(elections, ShouldBeGreaterThan, runs/4)
	})
}
