package raft

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/testbed/exhaustive"
)

// interleaving is three nodes at 3 s, two of which campaign, and the messages that are not delivered yet.
type interleaving struct {
	*world
	messages []Message
}

// drain collects the output of all nodes, syncs it at once and lets a new leader propose an entry.
func (w *interleaving) drain() {
	for _, n := range w.nodes {
		r := n.core.Ready()
		w.messages = append(append(w.messages, r.Messages...), r.MessagesAfterSync...)
		if entries := r.Entries; len(entries) > 0 {
			last := entries[len(entries)-1]
			n.core.Synced(w.clockOf(n), last.Index, last.Term)
		}
		term, leads := n.core.hardState.Term, n.core.role == Leader
		if leader, ok := w.leaders[term]; leads && !ok {
			w.leaders[term] = n.id
			_, _, _ = n.core.Propose(w.clockOf(n), json.RawMessage(`"`+n.id+`"`))
		} else if leads && leader != n.id {
			w.fail("two leaders in a term")
		}
	}
}

// checkLogs checks the log matching property for each pair of nodes: below an entry of the same term, and below the
// commit index of both, their entries are the same.
func (w *interleaving) checkLogs() {
	for _, a := range w.nodes {
		for _, b := range w.nodes {
			if !logsMatch(a.core, b.core) {
				w.fail("logs differ")
			}
		}
	}
}

func logsMatch(a, b *Core) bool {
	mustMatch := false
	for i := min(a.log.last(), b.log.last()); i > 1; i-- {
		ours, theirs := a.log.entries[i-2], b.log.entries[i-2]
		mustMatch = mustMatch || ours.Term == theirs.Term || i <= min(a.commit, b.commit)
		if mustMatch && !isSame(ours, theirs) {
			return false
		}
	}
	return true
}

// runInterleaving runs two candidates and an append among three nodes. choose decides which of the next four messages
// is delivered, or that one is lost, at each of the first depth steps; later ones are delivered in order. It returns
// the violated invariants, and whether a node became leader.
func runInterleaving(choose func(int) int, depth int) (failures []string, elected bool) {
	w := &interleaving{world: newWorld(1, "a", "b", "c")}
	w.now = 3 * time.Second
	for _, candidate := range w.nodes[:2] {
		candidate.core.Tick(w.clockOf(candidate))
	}
	w.drain()
	for step := 0; len(w.messages) > 0 && step < 200; step++ {
		choices, choice := min(len(w.messages), 4), 0
		if step < depth {
			choice = choose(choices + 1)
		}
		isLost, i := choice == choices, choice%choices
		m := w.messages[i]
		w.messages = slices.Delete(w.messages, i, i+1)
		if to := w.node(m.To); !isLost {
			to.core.Step(w.clockOf(to), m)
		}
		w.drain()
	}
	w.checkLogs()
	return w.failures, len(w.leaders) > 0
}

func TestElection_everyInterleaving(t *testing.T) {
	Convey("Every order and loss of the first messages of two campaigns keeps the invariants of Raft", t, func() {
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
