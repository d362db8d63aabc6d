package raft

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// bootstrap is the initial state of a cluster of the voters a, b and c.
var bootstrap = Bootstrap(voters("a", "b", "c"))

// startCore starts the core of node a at time 0 and discards its first output.
func startCore(t *testing.T, initial InitialState) *Core {
	t.Helper()
	c, err := New(Config{ID: "a"}, initial, 0)
	So(err, ShouldBeNil)
	c.Ready()
	return c
}

// messageFrom returns a message to node a from a node whose log is longer and more up to date.
func messageFrom(id string, kind Kind, term uint64) Message {
	return Message{Kind: kind, From: id, To: "a", Term: term, PrevIndex: 9, PrevTerm: 9}
}

// grantsVote reports whether a core grants the vote that m requests. It checks that a granted vote is stored.
func grantsVote(t *testing.T, c *Core, now time.Duration, m Message) bool {
	t.Helper()
	c.Step(now, m)
	r := c.Ready()
	isGranted := len(r.MessagesAfterSync) == 1 && !r.MessagesAfterSync[0].Reject
	So(isGranted, ShouldEqual, r.HardState != nil && r.HardState.Vote == m.From)
	So(r.Messages, ShouldBeEmpty)
	return isGranted
}

// TestElection_stickyToLeader guards against stale reads: if a voter helped to elect another leader before the lease of
// the one that it acknowledged has ended, the old leader could answer reads without the writes of the new one.
func TestElection_stickyToLeader(t *testing.T) {
	Convey("A voter is sticky to the leader after a restart and after contact, but not after a transfer", t, func() {
		c := startCore(t, bootstrap)
		stickiness := c.leaderStickiness()
		So(stickiness, ShouldBeGreaterThan, c.cfg.LeaseDuration)
		So(stickiness, ShouldBeLessThanOrEqualTo, c.cfg.ElectionTimeout)
		So(grantsVote(t, c, stickiness-1, messageFrom("b", Vote, 2)), ShouldBeFalse)
		So(grantsVote(t, c, stickiness, messageFrom("b", Vote, 2)), ShouldBeTrue)
		So(grantsVote(t, c, stickiness, messageFrom("c", Vote, 2)), ShouldBeFalse)
		c.Step(2*time.Second, Message{Kind: Append, From: "b", To: "a", Term: 2, PrevIndex: 1, PrevTerm: 1})
		c.Ready()
		So(grantsVote(t, c, 2*time.Second+stickiness-1, messageFrom("c", Vote, 3)), ShouldBeFalse)
		So(c.Status().Term, ShouldEqual, 2)
		forced := messageFrom("c", Vote, 3)
		forced.Force = true
		So(grantsVote(t, c, 2*time.Second+stickiness-1, forced), ShouldBeTrue)
		c.Step(4*time.Second, Message{Kind: VoteReply, From: "b", To: "a", Term: 5, Reject: true})
		c.Ready()
		So(grantsVote(t, c, 4*time.Second, messageFrom("c", Vote, 5)), ShouldBeTrue)
	})
}

// TestElection_leaderAsksForVote guards against a needless wait after a restart of the leader: its lease has ended, so
// the voters need not wait for the end of their stickiness.
func TestElection_leaderAsksForVote(t *testing.T) {
	Convey("A voter is not sticky to a leader that requests votes itself, also after a restart", t, func() {
		c := startCore(t, bootstrap)
		c.Step(2*time.Second, Message{Kind: Append, From: "b", To: "a", Term: 2, PrevIndex: 1, PrevTerm: 1})
		stored := c.Ready().HardState
		So(stored, ShouldNotBeNil)
		So(stored.Leader, ShouldEqual, "b")
		So(grantsVote(t, c, 2*time.Second+1, messageFrom("c", Vote, 3)), ShouldBeFalse)
		restarted := startCore(t, InitialState{HardState: *stored, Snapshot: bootstrap.Snapshot})
		So(grantsVote(t, restarted, 1, messageFrom("c", Vote, 3)), ShouldBeFalse)
		So(grantsVote(t, restarted, 1, messageFrom("b", Vote, 2)), ShouldBeFalse) // sent before it became leader
		So(grantsVote(t, restarted, 1, messageFrom("b", Vote, 3)), ShouldBeTrue)
		So(grantsVote(t, c, 2*time.Second+1, messageFrom("b", Vote, 3)), ShouldBeTrue)
		c.Step(3*time.Second, Message{Kind: VoteReply, From: "b", To: "a", Term: 5, Reject: true})
		So(c.Ready().HardState.Leader, ShouldBeEmpty) // the leader of an older term is not kept in a new one
	})
}

// TestElection_leaderAsksForPreVote guards against a needless wait if the restarted leader lost entries and cannot win:
// its request must release the voters, and let a node with those entries campaign.
func TestElection_leaderAsksForPreVote(t *testing.T) {
	ahead := InitialState{
		HardState: HardState{Term: 2, Leader: "b"},
		Snapshot:  bootstrap.Snapshot,
		Entries:   []Entry{{Term: 2, Index: 2, Kind: Noop}, {Term: 2, Index: 3}},
	}
	for _, c := range []struct {
		name       string
		from       string
		term       uint64
		isReleased bool
	}{
		{"the leader of the term", "b", 3, true},
		{"the leader, before it became leader", "b", 2, false},
		{"another node", "c", 3, false},
	} {
		Convey("A pre-vote request from a node that is behind ends stickiness only if it is the leader: "+c.name, t, func() {
			request := Message{Kind: PreVote, From: c.from, To: "a", Term: c.term, PrevIndex: 2, PrevTerm: 2}
			voter := startCore(t, ahead)
			voter.Step(1, request)
			answer := voter.Ready().Messages
			So(answer, ShouldHaveLength, 1)
			So(answer[0].Reject, ShouldBeTrue)
			So(grantsVote(t, voter, 2, messageFrom("c", Vote, 3)), ShouldEqual, c.isReleased)
			if c.isReleased {
				voter = startCore(t, ahead)
				voter.Step(1, request)
				So(voter.ElectionDeadline(), ShouldBeLessThanOrEqualTo, 1+2*voter.cfg.HeartbeatInterval)
			}
		})
	}
}

// TestElection_blankNode guards against two leaders in a term: a member that lost its disk has forgotten its vote, and
// could vote again in the same term.
func TestElection_blankNode(t *testing.T) {
	Convey("A node that started with an empty folder neither votes nor campaigns, even if listed as a voter", t, func() {
		c := startCore(t, InitialState{})
		So(grantsVote(t, c, 5*time.Second, messageFrom("b", Vote, 2)), ShouldBeFalse)
		c.SnapshotInstalled(5*time.Second, Meta{Index: 7, Term: 2, Members: voters("a", "b", "c")})
		c.Ready()
		So(grantsVote(t, c, 9*time.Second, messageFrom("b", Vote, 3)), ShouldBeFalse)
		c.Tick(20 * time.Second)
		So(c.Status().Role, ShouldEqual, Follower)
	})
}
