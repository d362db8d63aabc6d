package raft

import (
	"cmp"
	"time"
)

// Step handles a message from another Core. A message that is malformed, is addressed to another node or has an unknown
// kind is dropped. So is a vote request to a node that is blank or sticky to a leader: the node does not even adopt the
// higher term, so that a partitioned node which returns cannot depose a leader that has its lease.
func (c *Core) Step(now time.Duration, m Message) {
	c.advanceClock(now)
	if m.To != c.cfg.ID || m.From == c.cfg.ID || m.From == "" {
		return
	}
	switch m.Kind { // pre-votes don't change the term, so they are handled before the terms are compared
	case PreVote:
		c.onPreVote(m)
		return
	case PreVoteReply:
		c.onPreVoteReply(m)
		return
	case Vote:
		if c.hardState.VotesUnknown || m.Term >= c.hardState.Term && !m.Force && c.isStickyToLeader(m.From) {
			return
		}
	case VoteReply, Append, AppendReply, Snapshot, SnapshotReply, TimeoutNow:
	default:
		return
	}
	if m.Term > c.hardState.Term {
		c.becomeFollower(m.Term, "")
	}
	if m.Term < c.hardState.Term {
		c.rejectOldTerm(m)
		return
	}
	c.stepInTerm(m)
}

// rejectOldTerm replies to a leader or candidate of an older term, so that it learns the current one.
func (c *Core) rejectOldTerm(m Message) {
	switch m.Kind {
	case Append, Snapshot:
		c.reply(m, Message{Kind: AppendReply, Reject: true})
	case Vote:
		c.reply(m, Message{Kind: VoteReply, Reject: true})
	}
}

// stepInTerm handles a message whose term is the current one.
func (c *Core) stepInTerm(m Message) {
	switch m.Kind {
	case Vote:
		c.onVote(m)
	case VoteReply:
		c.onVoteReply(m)
	case Append, Snapshot:
		c.onLeaderMessage(m)
	case AppendReply, SnapshotReply:
		if c.role == Leader {
			c.onReply(m)
		}
	case TimeoutNow:
		if c.role == Follower && c.promotable() && c.leader == m.From {
			c.startElection(true)
		}
	}
}

// reply sends answer to the sender of m: at once for a pre-vote, which does not bind this node, otherwise once the
// pending changes are synced. A zero Term is replaced by the current one.
func (c *Core) reply(m, answer Message) {
	answer.From, answer.To, answer.Sent, answer.VotesUnknown = c.cfg.ID, m.From, m.Sent, c.hardState.VotesUnknown
	answer.Term = cmp.Or(answer.Term, c.hardState.Term)
	if answer.Kind == PreVoteReply {
		c.messages = append(c.messages, answer)
	} else {
		c.messagesAfterSync = append(c.messagesAfterSync, answer)
	}
}
