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
	Convey("Loss, duplicates, delays, partitions and crashes never violate the invariants of Raft", t, func() {
		entries, reads, terms := 0, 0, 0
		for seed := range uint64(300) {
			sim := newSimulation(seed, "a", "b", "c", "d", "e")
			sim.loss = float64(seed%4) * 0.05
			sim.run(16*time.Second, func() {
				sim.propose()
				sim.injectFailure()
			})
			sim.healAll()
			sim.run(5*time.Second, nil)
			before := len(sim.committed)
			sim.propose()
			sim.run(time.Second, nil)
			if len(sim.committed) <= before {
				sim.fail("no entry is committed after all failures have ended")
			}
			entries, reads, terms = entries+len(sim.committed), reads+sim.reads, terms+len(sim.leaders)
			if len(sim.failures) > 0 {
				So(fmt.Sprint("seed ", seed, ": ", sim.failures), ShouldEqual, "")
			}
		}
		So(entries, ShouldBeGreaterThan, 30000)
		So(reads, ShouldBeGreaterThan, 30000)
		So(terms, ShouldBeGreaterThan, 900)
	})
}

// injectFailure causes or ends a random failure, or starts a random operation, in about one of six calls.
func (sim *simulation) injectFailure() {
	n := sim.nodes[sim.random.IntN(5)]
	switch sim.random.IntN(60) {
	case 0:
		if !n.down {
			sim.crash(n)
		}
	case 1, 2, 3:
		if n.down {
			sim.startNode(n)
		}
	case 4:
		for _, n := range sim.nodes {
			sim.partition[n.id] = sim.random.IntN(2)
		}
	case 5, 6:
		clear(sim.partition)
	case 7:
		n.minSyncTime = time.Duration(sim.random.IntN(2)) * 200 * time.Millisecond
	case 8:
		if l := sim.leader(); l != nil {
			_ = l.core.TransferLeadership(sim.clockOf(l), n.id)
		}
	case 9:
		if l := sim.leader(); l != nil {
			_, _, _ = l.core.ProposeMembers(sim.clockOf(l), changedMembers(l.core.members(), n.id))
		}
	}
}

// changedMembers returns members with a change to id: added as a learner if it is missing, promoted if it is a learner,
// removed if it is a voter. Three members or fewer lose no voter.
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
func (sim *simulation) healAll() {
	clear(sim.partition)
	sim.loss = 0
	for _, n := range sim.nodes {
		if n.minSyncTime = 0; n.down {
			sim.startNode(n)
		}
	}
}

// TestReplication_stuckLeaderDisk guards against an outage caused by one slow disk: a leader must send entries before
// its own sync, and commit them once the other voters that stored them are a majority without it.
func TestReplication_stuckLeaderDisk(t *testing.T) {
	Convey("A leader whose disk is stuck commits through the other nodes, 500 proposals in one append", t, func() {
		sim := newSimulation(9, "a", "b", "c")
		sim.run(5*time.Second, nil)
		leader := sim.leader()
		leader.minSyncTime = time.Hour
		leader.core.cfg.MaxAppendBytes = 1 << 20
		for range 500 {
			_, _, err := leader.core.Propose(sim.clockOf(leader), json.RawMessage(`1`))
			So(err, ShouldBeNil)
		}
		leader.core.sendAppends()
		So(len(leader.core.messages), ShouldEqual, 2)
		So(len(leader.core.messages[0].Entries), ShouldEqual, 500)
		sim.run(500*time.Millisecond, nil)
		So(leader.core.Status().Commit, ShouldEqual, leader.core.Status().Last)
		So(leader.core.Status().Match[leader.id], ShouldBeLessThan, leader.core.Status().Commit)
		_, ok := leader.core.LeaseReadIndex(sim.clockOf(leader))
		So(ok, ShouldBeTrue)
		So(sim.failures, ShouldBeEmpty)
	})
}
