package raft

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
)

// TestMembership_wipedMachine guards against lost commits after a machine lost its disk: under its old ID it no longer
// has the entries and votes that it acknowledged, so it must not count as a voter.
func TestMembership_wipedMachine(t *testing.T) {
	Convey("A wiped machine returns under a new ID as a learner and replaces the old member", t, func() {
		sim := newSimulation(7, "a", "b", "c")
		sim.run(5*time.Second, sim.propose)
		leader := sim.leader()
		old := sim.nodes[slices.IndexFunc(sim.nodes, func(n *node) bool { return n != leader })]
		sim.crash(old)
		now := func() time.Duration { return sim.clockOf(leader) }
		learner := Member{ID: "x", Addr: "x", Learner: true}
		_, _, err := leader.core.ProposeMembers(now(), append(voters("a", "b", "c"), Member{ID: "x", Addr: "x"}))
		So(errs.Is(err, errs.Invalid), ShouldBeTrue)
		_, _, err = leader.core.ProposeMembers(now(), append(voters("a", "b", "c"), learner))
		So(err, ShouldBeNil)
		_, _, err = leader.core.ProposeMembers(now(), voters("a", "b", "c"))
		So(errs.Is(err, errs.Unavailable), ShouldBeTrue)
		x := sim.join("x", InitialState{})
		sim.run(2*time.Second, nil)
		So(x.core.Status().Voter, ShouldBeFalse)
		So(x.applied, ShouldEqual, leader.applied)
		_, _, err = leader.core.ProposeMembers(now(), voters("a", "b", "c", "x"))
		So(err, ShouldBeNil)
		sim.run(time.Second, nil)
		So(x.core.Status().Voter, ShouldBeTrue)
		rest := slices.DeleteFunc(voters("a", "b", "c", "x"), func(m Member) bool { return m.ID == old.id })
		_, _, err = leader.core.ProposeMembers(now(), rest)
		So(err, ShouldBeNil)
		sim.run(time.Second, nil)
		So(leader.core.Status().Members, ShouldResemble, rest)
		sim.crash(leader) // the new voter and the remaining one are a majority
		sim.run(6*time.Second, nil)
		So(sim.leader(), ShouldNotBeNil)
		So(sim.failures, ShouldBeEmpty)
	})
	Convey("A wiped machine with its old ID never votes, even after it has received the member set", t, func() {
		sim := newSimulation(8, "a", "b", "c")
		sim.run(5*time.Second, sim.propose)
		leader := sim.leader()
		wiped := sim.nodes[slices.IndexFunc(sim.nodes, func(n *node) bool { return n != leader })]
		wiped.disk = InitialState{}
		sim.startNode(wiped)
		sim.run(time.Second, nil)
		sim.crash(leader)
		sim.run(20*time.Second, nil) // a leader would need its vote
		So(sim.leader(), ShouldBeNil)
		sim.startNode(leader)
		sim.run(5*time.Second, nil)
		So(sim.leader(), ShouldNotBeNil)
		So(wiped.core.Status().Voter, ShouldBeFalse)
		So(sim.failures, ShouldBeEmpty)
	})
}
