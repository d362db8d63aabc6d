package raft

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
)

// startLeader starts the core of node a and makes it the leader of its next term, at 3 s and with the vote of b.
func startLeader(t *testing.T, initial InitialState) *Core {
	t.Helper()
	c := startCore(t, initial)
	c.Tick(3 * time.Second)
	c.Step(3*time.Second, messageFrom("b", PreVoteReply, initial.HardState.Term+1))
	c.Step(3*time.Second, messageFrom("b", VoteReply, initial.HardState.Term+1))
	So(c.Status().Role, ShouldEqual, Leader)
	c.Ready()
	return c
}

// acknowledge delivers a reply from b, at 3 s, that it has the entries up to match.
func acknowledge(c *Core, match uint64) {
	c.Step(3*time.Second, Message{
		Kind: AppendReply, From: "b", To: "a", Term: c.hardState.Term, Match: match, Sent: 3 * time.Second,
	})
}

func TestLease_duration(t *testing.T) {
	hasLease := func(c *Core, at time.Duration) bool {
		_, ok := c.LeaseReadIndex(at)
		return ok
	}
	Convey("A leader holds its lease only after it has committed an entry of its term, and until a transfer", t, func() {
		c := startLeader(t, bootstrap)
		So(hasLease(c, 3*time.Second), ShouldBeFalse)
		acknowledge(c, 2)
		c.Synced(3*time.Second, 2, 2)
		So(hasLease(c, 3*time.Second+699*time.Millisecond), ShouldBeTrue)
		So(c.TransferLeadership(3*time.Second, "b"), ShouldBeNil)
		So(hasLease(c, 3*time.Second+699*time.Millisecond), ShouldBeFalse)
	})
	Convey("The lease starts when the message that was answered was sent", t, func() {
		c := startLeader(t, bootstrap)
		acknowledge(c, 2)
		c.Synced(3*time.Second, 2, 2)
		So(hasLease(c, 3*time.Second+700*time.Millisecond), ShouldBeFalse)
	})
}

// TestCommit_entryOfOlderTerm guards against the loss of a committed entry: a majority may store an entry of an older
// term and a later leader still replace it, until an entry of the leader's own term is committed.
func TestCommit_entryOfOlderTerm(t *testing.T) {
	Convey("Until an entry of its term is committed, a leader commits no older one and rejects member changes", t, func() {
		c := startLeader(t, InitialState{
			HardState: HardState{Term: 2},
			Snapshot:  bootstrap.Snapshot,
			Entries:   []Entry{{Term: 2, Index: 2, Kind: Noop}},
		})
		c.leadership.synced = 2 // as if the leader counted itself towards the majority of the old entry
		acknowledge(c, 2)
		So(c.Status().Commit, ShouldEqual, 1)
		_, _, err := c.ProposeMembers(3*time.Second, voters("a", "b"))
		So(errs.Is(err, errs.Unavailable), ShouldBeTrue)
		c.Synced(3*time.Second, 3, 3)
		acknowledge(c, 3)
		So(c.Status().Commit, ShouldEqual, 3)
	})
}
