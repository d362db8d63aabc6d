package raft

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
)

func TestPromises(t *testing.T) {
	const sec = time.Second
	from := func(k Kind, id string, term uint64) Message {
		return Message{Kind: k, From: id, To: "a", Term: term, PrevIndex: 9, PrevTerm: 9}
	}
	start := func(b InitialState) *Core {
		c, err := New(Config{ID: "a"}, b, 0)
		So(err, ShouldBeNil)
		c.Ready()
		return c
	}
	// granted reports whether the core grants the vote that m asks for.
	granted := func(c *Core, now time.Duration, m Message) bool {
		c.Step(now, m)
		r := c.Ready()
		yes := len(r.MessagesAfterSync) == 1 && !r.MessagesAfterSync[0].Reject
		So(yes, ShouldEqual, r.HardState != nil && r.HardState.Vote == m.From) // the vote is stored with its answer
		So(r.Messages, ShouldBeEmpty)
		return yes
	}
	// elect makes a core the leader of its next term at 3s.
	elect := func(b InitialState) *Core {
		c := start(b)
		c.Tick(3 * sec)
		c.Step(3*sec, from(PreVoteReply, "b", b.HardState.Term+1))
		c.Step(3*sec, from(VoteReply, "b", b.HardState.Term+1))
		So(c.Status().Role, ShouldEqual, Leader)
		c.Ready()
		return c
	}
	acks := func(c *Core, match uint64) {
		c.Step(3*sec, Message{Kind: AppendReply, From: "b", To: "a", Term: c.hardState.Term, Match: match, Sent: 3 * sec})
	}
	bootstrap := Bootstrap(voters("a", "b", "c"))
	Convey("A restarted voter stays sticky to the leader, and so does one with leader contact, but for a leadership transfer", t, func() {
		c := start(bootstrap)
		stickiness := c.leaderStickiness()
		So(stickiness, ShouldBeGreaterThan, c.cfg.LeaseDuration)
		So(stickiness, ShouldBeLessThanOrEqualTo, c.cfg.ElectionTimeout)
		So(granted(c, stickiness-1, from(Vote, "b", 2)), ShouldBeFalse)
		So(granted(c, stickiness, from(Vote, "b", 2)), ShouldBeTrue)
		So(granted(c, stickiness, from(Vote, "c", 2)), ShouldBeFalse)
		c.Step(2*sec, Message{Kind: Append, From: "b", To: "a", Term: 2, PrevIndex: 1, PrevTerm: 1})
		c.Ready()
		So(granted(c, 2*sec+stickiness-1, from(Vote, "c", 3)), ShouldBeFalse)
		So(c.Status().Term, ShouldEqual, 2)
		forced := from(Vote, "c", 3)
		forced.Force = true
		So(granted(c, 2*sec+stickiness-1, forced), ShouldBeTrue)
		c.Step(4*sec, Message{Kind: VoteReply, From: "b", To: "a", Term: 5, Reject: true})
		c.Ready()
		So(granted(c, 4*sec, from(Vote, "c", 5)), ShouldBeTrue)
	})
	Convey("The leader of the term that asks for votes itself leads no more, also for a restarted voter", t, func() {
		c := start(bootstrap)
		c.Step(2*sec, Message{Kind: Append, From: "b", To: "a", Term: 2, PrevIndex: 1, PrevTerm: 1})
		hard := c.Ready().HardState
		So(hard, ShouldNotBeNil)
		So(hard.Leader, ShouldEqual, "b")
		So(granted(c, 2*sec+1, from(Vote, "c", 3)), ShouldBeFalse)
		restarted := start(InitialState{HardState: *hard, Snapshot: bootstrap.Snapshot})
		So(granted(restarted, 1, from(Vote, "c", 3)), ShouldBeFalse)
		So(granted(restarted, 1, from(Vote, "b", 2)), ShouldBeFalse) // an old request, of before it led
		So(granted(restarted, 1, from(Vote, "b", 3)), ShouldBeTrue)
		So(granted(c, 2*sec+1, from(Vote, "b", 3)), ShouldBeTrue)
		c.Step(3*sec, Message{Kind: VoteReply, From: "b", To: "a", Term: 5, Reject: true})
		So(c.Ready().HardState.Leader, ShouldBeEmpty) // who led an older term says nothing of this one
	})
	Convey("The leader of the term that asks for a pre-vote releases the stickiness to it, though its log is behind", t, func() {
		ahead := []Entry{{Term: 2, Index: 2, Kind: Noop}, {Term: 2, Index: 3}}
		hard := HardState{Term: 2, Leader: "b"}
		ask := func(id string, term uint64) Message {
			return Message{Kind: PreVote, From: id, To: "a", Term: term, PrevIndex: 2, PrevTerm: 2}
		}
		for _, releasing := range []Message{ask("b", 3), ask("b", 2), ask("c", 3)} {
			c := start(InitialState{HardState: hard, Snapshot: bootstrap.Snapshot, Entries: ahead})
			c.Step(1, releasing)
			answer := c.Ready().Messages
			So(answer, ShouldHaveLength, 1)
			So(answer[0].Reject, ShouldBeTrue)
			wantGranted := releasing.From == "b" && releasing.Term == 3 // not an old request of before it led, nor another's
			So(granted(c, 2, from(Vote, "c", 3)), ShouldEqual, wantGranted)
			if wantGranted {
				c = start(InitialState{HardState: hard, Snapshot: bootstrap.Snapshot, Entries: ahead})
				c.Step(1, releasing)
				So(c.ElectionDeadline(), ShouldBeLessThanOrEqualTo, 1+2*c.cfg.HeartbeatInterval)
			}
		}
	})
	Convey("A node with an empty disk does not vote, named a voter or not", t, func() {
		c := start(InitialState{})
		So(granted(c, 5*sec, from(Vote, "b", 2)), ShouldBeFalse)
		c.SnapshotInstalled(5*sec, Meta{Index: 7, Term: 2, Members: voters("a", "b", "c")})
		c.Ready()
		So(granted(c, 9*sec, from(Vote, "b", 3)), ShouldBeFalse)
		c.Tick(20 * sec)
		So(c.Status().Role, ShouldEqual, Follower)
	})
	Convey("The lease counts from the send, ends with a transfer and waits for an entry of the own term", t, func() {
		c := elect(bootstrap)
		_, ok := c.LeaseReadIndex(3 * sec)
		So(ok, ShouldBeFalse)
		acks(c, 2)
		c.Synced(3*sec, 2, 2)
		_, ok = c.LeaseReadIndex(3*sec + 699*time.Millisecond)
		So(ok, ShouldBeTrue)
		So(c.TransferLeadership(3*sec, "b"), ShouldBeNil)
		_, ok = c.LeaseReadIndex(3*sec + 699*time.Millisecond)
		So(ok, ShouldBeFalse)
		c = elect(bootstrap)
		acks(c, 2)
		c.Synced(3*sec, 2, 2)
		_, ok = c.LeaseReadIndex(3*sec + 700*time.Millisecond)
		So(ok, ShouldBeFalse)
	})
	Convey("An entry of an older term is committed only through one of the own, and members wait for that", t, func() {
		old := InitialState{HardState: HardState{Term: 2}, Snapshot: bootstrap.Snapshot, Entries: []Entry{{Term: 2, Index: 2, Kind: Noop}}}
		c := elect(old)
		c.leadership.synced = 2 // as if counted
		acks(c, 2)
		So(c.Status().Commit, ShouldEqual, 1)
		_, _, err := c.ProposeMembers(3*sec, voters("a", "b"))
		So(errs.Is(err, errs.Unavailable), ShouldBeTrue)
		c.Synced(3*sec, 3, 3)
		acks(c, 3)
		So(c.Status().Commit, ShouldEqual, 3)
	})
}
