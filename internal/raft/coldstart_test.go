package raft

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// coldStart stops all nodes, starts them one after the other in an order, and returns how long after the start of the
// third of five there was a leader.
func coldStart(w *world, order []*node, gap time.Duration) time.Duration {
	for _, n := range w.nodes {
		w.sync(n, true)
		n.down = true
	}
	w.net = nil
	w.run(time.Second, nil)
	var third time.Duration
	for i, n := range order {
		w.startNode(n)
		if i == 2 {
			third = w.now
		}
		w.run(gap, nil)
	}
	for w.leader() == nil && w.now < third+5*time.Second {
		w.run(20*time.Millisecond, nil)
	}
	return w.now - third
}

func TestColdStart(t *testing.T) {
	Convey("When all nodes were down, a leader is elected soon after a majority is back", t, func() {
		for seed := range uint64(40) {
			w := newWorld(seed, "a", "b", "c", "d", "e")
			w.run(5*time.Second, nil)
			old := w.leader()
			So(old, ShouldNotBeNil)
			order := slices.Clone(w.nodes)
			w.random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
			at := slices.Index(order, old)
			took := coldStart(w, order, 100*time.Millisecond)
			So(w.failures, ShouldBeEmpty)
			if at < 3 { // the former leader asks at once, and nobody is sticky to another one
				So(took, ShouldBeLessThan, 600*time.Millisecond)
			}
			So(took, ShouldBeLessThan, 1500*time.Millisecond)
		}
	})
}

func TestColdStartBehindTheLeader(t *testing.T) {
	Convey("A leader that lost its newest entries with its power abandons its claim: a node that has them leads soon", t, func() {
		const plays = 40
		soon := 0
		for seed := range uint64(plays) {
			w := newWorld(seed, "a", "b", "c", "d", "e")
			w.run(5*time.Second, nil)
			old := w.leader()
			So(old, ShouldNotBeNil)
			old.slow = time.Hour // its own writes are never synced
			w.propose()
			w.run(200*time.Millisecond, nil)
			old.queue, old.slow = nil, 0
			stored := old.disk.Entries
			took := coldStart(w, w.nodes, 0)
			So(w.failures, ShouldBeEmpty)
			So(stored[len(stored)-1].Index, ShouldBeLessThan, w.leader().core.log.last())
			if took < 450*time.Millisecond {
				soon++
			}
		}
		So(soon, ShouldBeGreaterThanOrEqualTo, plays*9/10) // votes are split now and then, as in any election
	})
}

func TestCommitKnownAtStart(t *testing.T) {
	Convey("A node that starts applies what it knew to be committed before any contact", t, func() {
		w := newWorld(1, "a", "b", "c")
		w.run(3*time.Second, nil)
		for range 20 {
			w.propose()
			w.run(100*time.Millisecond, nil)
		}
		n := w.nodes[1]
		w.sync(n, true)
		known := n.disk.HardState.Commit
		So(known, ShouldBeGreaterThan, 15)
		So(known, ShouldBeLessThanOrEqualTo, n.disk.Entries[len(n.disk.Entries)-1].Index)
		c, err := New(Config{ID: n.id}, n.disk, 0)
		So(err, ShouldBeNil)
		r := c.Ready()
		So(r.Commit, ShouldEqual, known)
		So(r.CommittedEntries[len(r.CommittedEntries)-1].Index, ShouldEqual, known)
		_, ok := c.LeaseReadIndex(time.Hour)
		So(ok, ShouldBeFalse)
	})
	Convey("What is stored with entries never covers them, nor is more of it believed than the log has", t, func() {
		bootstrap := Bootstrap(voters("a", "b", "c"))
		c, err := New(Config{ID: "a"}, bootstrap, 0)
		So(err, ShouldBeNil)
		c.Step(0, Message{Kind: Append, From: "b", To: "a", Term: 2, PrevIndex: 1, PrevTerm: 1, Commit: 3,
			Entries: []Entry{{Term: 2, Index: 2, Kind: Noop}, {Term: 2, Index: 3}}})
		r := c.Ready()
		So([]uint64{r.Commit, r.HardState.Commit}, ShouldResemble, []uint64{3, 1})
		torn := InitialState{HardState: HardState{Term: 2, Commit: 9}, Snapshot: bootstrap.Snapshot, Entries: []Entry{{Term: 2, Index: 2, Kind: Noop}}}
		c, err = New(Config{ID: "a"}, torn, 0)
		So(err, ShouldBeNil)
		So(c.Status().Commit, ShouldEqual, 2)
	})
}
