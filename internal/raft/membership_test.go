package raft

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
)

func TestMembership_wipedMachine(t *testing.T) {
	Convey("A wiped machine returns under a new ID as a learner and replaces the old member", t, func() {
		w := newWorld(7, "a", "b", "c")
		w.run(5*time.Second, w.propose)
		l := w.leader()
		old := w.nodes[slices.IndexFunc(w.nodes, func(n *node) bool { return n != l })]
		w.crash(old)
		now := func() time.Duration { return w.clockOf(l) }
		learner := Member{ID: "x", Addr: "x", Learner: true}
		_, _, err := l.core.ProposeMembers(now(), append(voters("a", "b", "c"), Member{ID: "x", Addr: "x"}))
		So(errs.Is(err, errs.Invalid), ShouldBeTrue)
		_, _, err = l.core.ProposeMembers(now(), append(voters("a", "b", "c"), learner))
		So(err, ShouldBeNil)
		_, _, err = l.core.ProposeMembers(now(), voters("a", "b", "c"))
		So(errs.Is(err, errs.Unavailable), ShouldBeTrue)
		x := w.join("x", InitialState{})
		w.run(2*time.Second, nil)
		So(x.core.Status().Voter, ShouldBeFalse)
		So(x.applied, ShouldEqual, l.applied)
		_, _, err = l.core.ProposeMembers(now(), voters("a", "b", "c", "x"))
		So(err, ShouldBeNil)
		w.run(time.Second, nil)
		So(x.core.Status().Voter, ShouldBeTrue)
		rest := slices.DeleteFunc(voters("a", "b", "c", "x"), func(m Member) bool { return m.ID == old.id })
		_, _, err = l.core.ProposeMembers(now(), rest)
		So(err, ShouldBeNil)
		w.run(time.Second, nil)
		So(l.core.Status().Members, ShouldResemble, rest)
		w.crash(l) // the new voter and the one left are the majority
		w.run(6*time.Second, nil)
		So(w.leader(), ShouldNotBeNil)
		So(w.failures, ShouldBeEmpty)
	})
	Convey("A wiped machine under its old ID never votes, even once it has received the members", t, func() {
		w := newWorld(8, "a", "b", "c")
		w.run(5*time.Second, w.propose)
		l := w.leader()
		wiped := w.nodes[slices.IndexFunc(w.nodes, func(n *node) bool { return n != l })]
		wiped.disk = InitialState{}
		w.startNode(wiped)
		w.run(time.Second, nil)
		w.crash(l)
		w.run(20*time.Second, nil) // a leader would need its vote
		So(w.leader(), ShouldBeNil)
		w.startNode(l)
		w.run(5*time.Second, nil)
		So(w.leader(), ShouldNotBeNil)
		So(wiped.core.Status().Voter, ShouldBeFalse)
		So(w.failures, ShouldBeEmpty)
	})
}
