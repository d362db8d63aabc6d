package raft

import (
	"cmp"
	"slices"
	"time"
)

// electionState is the state for elections of a node that is not the leader. It is owned by Core.
type electionState struct {
	// lastLeaderContact is the time of the last message from a leader. The start of the process counts as such a
	// message: the node may have acknowledged a leader just before.
	lastLeaderContact time.Duration
	deadline          time.Duration   // when the node campaigns unless a leader sends a message before
	votes             map[string]bool // (pre-)votes granted, by member ID, its own included; nil unless campaigning
	afterTransfer     bool            // this campaign was requested by the leader (TimeoutNow)
}

// ElectionDeadline returns the time at which a node that is not the leader campaigns. The runtime must call Tick then.
// Any other call may change the deadline.
func (c *Core) ElectionDeadline() time.Duration { return c.election.deadline }

// jitter returns a random duration below limit.
func (c *Core) jitter(limit time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(limit)))
}

// resetElectionTimer postpones the next campaign to between one and two election time-outs from now.
func (c *Core) resetElectionTimer() {
	c.election.deadline = c.now + c.cfg.ElectionTimeout + c.jitter(c.cfg.ElectionTimeout)
}

// promotable reports whether the node may campaign: it must not be blank, and must be a voter in the current member set
// or in an earlier one that may still be the committed set. Otherwise, if this node alone had the entry that removes
// it, possibly no node could win an election: this one would not campaign, and it grants no vote to a node whose log
// lacks that entry. The current set always decides whose votes count, so a removed node does not count its own.
func (c *Core) promotable() bool {
	return !c.hardState.VotesUnknown && slices.ContainsFunc(c.configurations, func(conf configuration) bool {
		return isVoter(conf.members, c.cfg.ID)
	})
}

// leaderStickiness returns how long after a message from a leader a node votes for no other node: the lease duration
// plus a margin for clock drift.
func (c *Core) leaderStickiness() time.Duration {
	return c.cfg.LeaseDuration + (c.cfg.ElectionTimeout-c.cfg.LeaseDuration)/3
}

// isStickyToLeader reports whether this node must not vote for a candidate yet because the leader of the term may still
// hold its lease. If the candidate is that leader, it has lost its leadership, and the node is not sticky. A leader is
// sticky to itself.
func (c *Core) isStickyToLeader(candidate string) bool {
	if c.role == Leader {
		return true
	}
	return c.now < c.election.lastLeaderContact+c.leaderStickiness() && candidate != c.hardState.Leader
}

// releaseStickiness ends the stickiness to the leader of the term if that leader sent m, a pre-vote request: it was
// restarted and is no longer the leader. It cannot win if it lost its newest entries in a power failure. If this node
// has entries that the sender lacks, it therefore campaigns soon: after a cold start no other node would do so before
// its election time-out.
func (c *Core) releaseStickiness(m Message) {
	if m.Term <= c.hardState.Term || m.From != c.hardState.Leader || c.role == Leader {
		return
	}
	c.election.lastLeaderContact = never
	if c.role == Follower && c.promotable() && !c.isUpToDate(m) {
		c.election.deadline = min(c.election.deadline, c.now+c.jitter(2*c.cfg.HeartbeatInterval))
	}
}

// majority returns the highest value that a majority of the voters has reached, or the zero value if members has no
// voter.
func majority[T cmp.Ordered](members []Member, valueOf func(id string) T) T {
	var buffer [9]T // avoids an allocation for up to 9 voters, more than is usual
	values := buffer[:0]
	for _, m := range members {
		if !m.Learner {
			values = append(values, valueOf(m.ID))
		}
	}
	if len(values) == 0 {
		var zero T
		return zero
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// hasMajority reports whether a majority of the voters has granted this node its (pre-)vote.
func (c *Core) hasMajority() bool {
	return majority(c.members(), func(id string) int {
		if c.election.votes[id] {
			return 1
		}
		return 0
	}) == 1
}

// startPreVote asks the voters whether they would vote for this node. As this does not increment the term, it does not
// disrupt other nodes and is repeated within a heartbeat interval.
func (c *Core) startPreVote() {
	c.role, c.leader, c.leaderAddr = PreCandidate, "", ""
	c.election.afterTransfer = false
	c.election.votes = map[string]bool{c.cfg.ID: true}
	c.election.deadline = c.now + c.cfg.HeartbeatInterval/2 + c.jitter(c.cfg.HeartbeatInterval/2)
	if c.hasMajority() {
		c.startElection(false)
		return
	}
	c.requestVotes(PreVote, c.hardState.Term+1)
}

// startElection starts a campaign in a new term. afterTransfer is set if the leader requested it by TimeoutNow. The
// vote requests are sent once the vote of this node for itself is synced.
func (c *Core) startElection(afterTransfer bool) {
	c.role, c.leader = Candidate, ""
	c.election.afterTransfer = afterTransfer
	c.hardState.Term++
	c.hardState.Vote, c.hardState.Leader, c.hardStateChanged = c.cfg.ID, "", true
	c.election.votes = map[string]bool{c.cfg.ID: true}
	c.resetElectionTimer()
	if c.hasMajority() {
		c.becomeLeader(true)
		return
	}
	c.requestVotes(Vote, c.hardState.Term)
}

// requestVotes sends requests to all other voters: for a vote after the sync; for a pre-vote at once, as it depends on
// no stored state.
func (c *Core) requestVotes(kind Kind, term uint64) {
	for _, m := range c.members() {
		if m.ID == c.cfg.ID || m.Learner {
			continue
		}
		request := Message{Kind: kind, From: c.cfg.ID, To: m.ID, Term: term, PrevIndex: c.log.last(),
			PrevTerm: c.log.lastTerm(), Force: c.election.afterTransfer}
		if kind == Vote {
			c.messagesAfterSync = append(c.messagesAfterSync, request)
		} else {
			c.messages = append(c.messages, request)
		}
	}
}

// isUpToDate reports whether the log of the sender of a (pre-)vote request is at least as up to date as this node's:
// its last entry has a higher term, or the same term and an index that is not lower.
func (c *Core) isUpToDate(m Message) bool {
	lastTerm := c.log.lastTerm()
	return m.PrevTerm > lastTerm || m.PrevTerm == lastTerm && m.PrevIndex >= c.log.last()
}

// onPreVote replies whether this node would vote for the sender in m.Term. A blank node does not reply.
func (c *Core) onPreVote(m Message) {
	if c.hardState.VotesUnknown {
		return
	}
	c.releaseStickiness(m)
	if m.Term > c.hardState.Term && !c.isStickyToLeader(m.From) && c.isUpToDate(m) {
		c.reply(m, Message{Kind: PreVoteReply, Term: m.Term})
	} else {
		c.reply(m, Message{Kind: PreVoteReply, Reject: true})
	}
}

// onPreVoteReply counts a granted pre-vote, and starts the election once a majority has granted one. A rejection from a
// higher term makes this node a follower in that term.
func (c *Core) onPreVoteReply(m Message) {
	if m.Reject && m.Term > c.hardState.Term {
		c.becomeFollower(m.Term, "")
	} else if !m.Reject && c.role == PreCandidate && m.Term == c.hardState.Term+1 {
		if c.election.votes[m.From] = true; c.hasMajority() {
			c.startElection(false)
		}
	}
}

// onVote grants the sender its vote if the sender's log is up to date and this node, in this term, has voted for the
// sender already, or has neither voted nor followed a leader.
func (c *Core) onVote(m Message) {
	canVote := c.hardState.Vote == "" && c.hardState.Leader == "" || c.hardState.Vote == m.From
	if !canVote || !c.isUpToDate(m) {
		c.reply(m, Message{Kind: VoteReply, Reject: true})
		return
	}
	c.becomeFollower(c.hardState.Term, c.leader)
	if c.hardState.Vote != m.From {
		c.hardState.Vote, c.hardStateChanged = m.From, true
	}
	c.resetElectionTimer()
	c.reply(m, Message{Kind: VoteReply})
}

// onVoteReply counts a granted vote, and makes the node the leader once a majority has granted one.
func (c *Core) onVoteReply(m Message) {
	if c.role != Candidate || m.Reject {
		return
	}
	if c.election.votes[m.From] = true; c.hasMajority() {
		c.becomeLeader(false)
	}
}
