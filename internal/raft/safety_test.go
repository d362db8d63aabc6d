package raft

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestSafety_underNetworkErrorsAndCrashes(t *testing.T) {
	Convey("Loss, duplicates, delays, partitions and crashes never break the invariants of Raft", t, func() {
		entries, reads, terms := 0, 0, 0
		for seed := range uint64(300) {
			w := newWorld(seed, "a", "b", "c", "d", "e")
			w.loss = float64(seed%4) * 0.05
			w.run(16*time.Second, func() {
				w.propose()
				w.injectFailure()
			})
			w.healAll()
			w.run(5*time.Second, nil)
			before := len(w.committed)
			w.propose()
			w.run(time.Second, nil)
			if len(w.committed) <= before {
				w.fail("nothing is committed once all is well")
			}
			entries, reads, terms = entries+len(w.committed), reads+w.reads, terms+len(w.leaders)
			if len(w.failures) > 0 {
				So(fmt.Sprint("seed ", seed, ": ", w.failures), ShouldEqual, "")
			}
		}
		So(entries, ShouldBeGreaterThan, 30000)
		So(reads, ShouldBeGreaterThan, 30000)
		So(terms, ShouldBeGreaterThan, 900)
	})
}

// injectFailure causes or ends a random failure, or starts a random operation, in one of six calls.
func (w *world) injectFailure() {
	n := w.nodes[w.random.IntN(5)]
	switch w.random.IntN(60) {
	case 0:
		if !n.down {
			w.crash(n)
		}
	case 1, 2, 3:
		if n.down {
			w.startNode(n)
		}
	case 4:
		for _, n := range w.nodes {
			w.partition[n.id] = w.random.IntN(2)
		}
	case 5, 6:
		clear(w.partition)
	case 7:
		n.slow = time.Duration(w.random.IntN(2)) * 200 * time.Millisecond
	case 8:
		if l := w.leader(); l != nil {
			_ = l.core.TransferLeadership(w.clockOf(l), n.id)
		}
	case 9:
		if l := w.leader(); l != nil {
			_, _, _ = l.core.ProposeMembers(w.clockOf(l), changedMembers(l.core.members(), n.id))
		}
	}
}

// changedMembers returns the members without the voter id, with id as a learner if it is missing, or with the learner
// id promoted. No voter is removed from three members.
func changedMembers(members []Member, id string) []Member {
	next := slices.Clone(members)
	i := slices.IndexFunc(next, func(m Member) bool { return m.ID == id })
	switch {
	case i < 0:
		return append(next, Member{ID: id, Addr: id, Learner: true})
	case next[i].Learner:
		return append(slices.Delete(next, i, i+1), Member{ID: id, Addr: id})
	case len(next) > 3:
		return slices.Delete(next, i, i+1)
	}
	return next
}

// healAll ends all failures and starts the nodes that are down.
func (w *world) healAll() {
	clear(w.partition)
	w.loss = 0
	for _, n := range w.nodes {
		if n.slow = 0; n.down {
			w.startNode(n)
		}
	}
}

func TestReplication_stuckLeaderDisk(t *testing.T) {
	Convey("A leader whose disk is stuck commits by the others' votes, 500 proposals in one append", t, func() {
		w := newWorld(9, "a", "b", "c")
		w.run(5*time.Second, nil)
		l := w.leader()
		l.slow = time.Hour
		l.core.cfg.MaxAppendBytes = 1 << 20
		for range 500 {
			_, _, err := l.core.Propose(w.clockOf(l), json.RawMessage(`1`))
			So(err, ShouldBeNil)
		}
		l.core.sendAppends()
		So(len(l.core.messages), ShouldEqual, 2)
		So(len(l.core.messages[0].Entries), ShouldEqual, 500)
		w.run(500*time.Millisecond, nil)
		So(l.core.Status().Commit, ShouldEqual, l.core.Status().Last)
		So(l.core.Status().Match[l.id], ShouldBeLessThan, l.core.Status().Commit)
		_, ok := l.core.LeaseReadIndex(w.clockOf(l))
		So(ok, ShouldBeTrue)
		So(w.failures, ShouldBeEmpty)
	})
}
