package raft

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// coldStart stops all of five nodes and starts them in an order, with gap between two starts. It returns the time from
// the start of the third, with which there is a majority, until there is a leader; 5 s at most.
func (w *world) coldStart(order []*node, gap time.Duration) time.Duration {
	for _, n := range w.nodes {
		w.sync(n, true)
		n.down = true
	}
	w.net = nil
	w.run(time.Second, nil)
	var majorityAt time.Duration
	for i, n := range order {
		w.startNode(n)
		if i == 2 {
			majorityAt = w.now
		}
		w.run(gap, nil)
	}
	for w.leader() == nil && w.now < majorityAt+5*time.Second {
		w.run(20*time.Millisecond, nil)
	}
	return w.now - majorityAt
}

func TestColdStart_anyOrder(t *testing.T) {
	Convey("After all nodes were down, a leader is elected soon after a majority has started", t, func() {
		for seed := range uint64(40) {
			w := newWorld(seed, "a", "b", "c", "d", "e")
			w.run(5*time.Second, nil)
			formerLeader := w.leader()
			So(formerLeader, ShouldNotBeNil)
			order := slices.Clone(w.nodes)
			w.random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
			took := w.coldStart(order, 100*time.Millisecond)
			So(w.failures, ShouldBeEmpty)
			if slices.Index(order, formerLeader) < 3 { // it asks for votes at once, no node is sticky to another
				So(took, ShouldBeLessThan, 600*time.Millisecond)
			}
			So(took, ShouldBeLessThan, 1500*time.Millisecond)
		}
	})
}

func TestColdStart_formerLeaderBehind(t *testing.T) {
	Convey("If the former leader lost its newest entries with its power, a node that has them leads soon", t, func() {
		const seeds = 40
		soon := 0
		for seed := range uint64(seeds) {
			w := newWorld(seed, "a", "b", "c", "d", "e")
			w.run(5*time.Second, nil)
			formerLeader := w.leader()
			So(formerLeader, ShouldNotBeNil)
			formerLeader.slow = time.Hour // its own writes are never synced
			w.propose()
			w.run(200*time.Millisecond, nil)
			formerLeader.queue, formerLeader.slow = nil, 0
			stored := formerLeader.disk.Entries
			took := w.coldStart(w.nodes, 0)
			So(w.failures, ShouldBeEmpty)
			So(stored[len(stored)-1].Index, ShouldBeLessThan, w.leader().core.log.last())
			if took < 450*time.Millisecond {
				soon++
			}
		}
		So(soon, ShouldBeGreaterThanOrEqualTo, seeds*9/10) // votes are split now and then, as in any election
	})
}

func TestNew_knownCommit(t *testing.T) {
	Convey("A node that starts applies what it knew to be committed, before any contact", t, func() {
		w := newWorld(1, "a", "b", "c")
		w.run(3*time.Second, nil)
		for range 20 {
			w.propose()
			w.run(100*time.Millisecond, nil)
		}
		n := w.nodes[1]
		w.sync(n, true)
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
	Convey("The commit index stored with entries never covers them, and counts only as far as the log goes", t, func() {
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
