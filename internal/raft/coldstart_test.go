package raft

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// coldStart stops all five nodes and starts them in the given order, with a pause of gap between two starts. It returns
// the time until there is a leader, at most 5 s, counted from the start of the third node, which completes a majority.
func (sim *simulation) coldStart(order []*node, gap time.Duration) time.Duration {
	for _, n := range sim.nodes {
		sim.sync(n, true)
		n.down = true
	}
	sim.net = nil
	sim.run(time.Second, nil)
	var majorityAt time.Duration
	for i, n := range order {
		sim.startNode(n)
		if i == 2 {
			majorityAt = sim.now
		}
		sim.run(gap, nil)
	}
	for sim.leader() == nil && sim.now < majorityAt+5*time.Second {
		sim.run(20*time.Millisecond, nil)
	}
	return sim.now - majorityAt
}

// TestColdStart_anyOrder guards against a long outage after all nodes were stopped: each restarted node stays sticky to
// the leader that it followed before, although no leader exists.
func TestColdStart_anyOrder(t *testing.T) {
	Convey("After all nodes were down, a leader is elected soon after a majority has started", t, func() {
		for seed := range uint64(40) {
			sim := newSimulation(seed, "a", "b", "c", "d", "e")
			sim.run(5*time.Second, nil)
			formerLeader := sim.leader()
			So(formerLeader, ShouldNotBeNil)
			order := slices.Clone(sim.nodes)
			sim.random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
			duration := sim.coldStart(order, 100*time.Millisecond)
			So(sim.failures, ShouldBeEmpty)
			if slices.Index(order, formerLeader) < 3 { // it requests votes at once, and no node is sticky to another leader
				So(duration, ShouldBeLessThan, 600*time.Millisecond)
			}
			So(duration, ShouldBeLessThan, 1500*time.Millisecond)
		}
	})
}

// TestColdStart_formerLeaderBehind guards against a long outage if the first candidate, the former leader, cannot win
// because a power failure destroyed entries that the others have.
func TestColdStart_formerLeaderBehind(t *testing.T) {
	Convey("If the former leader lost its newest entries in a power failure, a node with them soon leads", t, func() {
		const seeds = 40
		soon := 0
		for seed := range uint64(seeds) {
			sim := newSimulation(seed, "a", "b", "c", "d", "e")
			sim.run(5*time.Second, nil)
			formerLeader := sim.leader()
			So(formerLeader, ShouldNotBeNil)
			formerLeader.minSyncTime = time.Hour // its own writes are never synced
			sim.propose()
			sim.run(200*time.Millisecond, nil)
			formerLeader.queue, formerLeader.minSyncTime = nil, 0
			stored := formerLeader.disk.Entries
			duration := sim.coldStart(sim.nodes, 0)
			So(sim.failures, ShouldBeEmpty)
			So(stored[len(stored)-1].Index, ShouldBeLessThan, sim.leader().core.log.last())
			if duration < 450*time.Millisecond {
				soon++
			}
		}
		So(soon, ShouldBeGreaterThanOrEqualTo, seeds*9/10) // split votes are possible in any election
	})
}

// TestNew_knownCommit guards against a restarted node that applies nothing until a leader contacts it, and against one
// that applies entries which were never committed: those at the indexes of a torn write.
func TestNew_knownCommit(t *testing.T) {
	Convey("A restarted node applies the entries that it knew to be committed before any contact", t, func() {
		sim := newSimulation(1, "a", "b", "c")
		sim.run(3*time.Second, nil)
		for range 20 {
			sim.propose()
			sim.run(100*time.Millisecond, nil)
		}
		n := sim.nodes[1]
		sim.sync(n, true)
		last := n.disk.Entries[len(n.disk.Entries)-1].Index
		known := n.disk.HardState.Commit
		So(known, ShouldBeGreaterThan, 15)
		So(known, ShouldBeLessThanOrEqualTo, last)
		c, err := New(Config{ID: n.id}, n.disk, 0)
		So(err, ShouldBeNil)
		r := c.Ready()
		So(r.Commit, ShouldEqual, known)
		So(r.CommittedEntries[len(r.CommittedEntries)-1].Index, ShouldEqual, known)
		_, ok := c.LeaseReadIndex(time.Hour)
		So(ok, ShouldBeFalse)
	})
	Convey("The commit index stored with entries is below their index, and New limits it to the end of the log", t, func() {
		c, err := New(Config{ID: "a"}, bootstrap, 0)
		So(err, ShouldBeNil)
		c.Step(0, Message{Kind: Append, From: "b", To: "a", Term: 2, PrevIndex: 1, PrevTerm: 1, Commit: 3,
			Entries: []Entry{{Term: 2, Index: 2, Kind: Noop}, {Term: 2, Index: 3}}})
		r := c.Ready()
		So([]uint64{r.Commit, r.HardState.Commit}, ShouldResemble, []uint64{3, 1})
		torn := InitialState{
			HardState: HardState{Term: 2, Commit: 9},
			Snapshot:  bootstrap.Snapshot,
			Entries:   []Entry{{Term: 2, Index: 2, Kind: Noop}},
		}
		c, err = New(Config{ID: "a"}, torn, 0)
		So(err, ShouldBeNil)
		So(c.Status().Commit, ShouldEqual, 2)
	})
}
