package raft

import (
	"cmp"
	"slices"
	"time"
)

// electionState is what a node that does not lead needs for elections; its owner is Core.
type electionState struct {
	// lastLeaderContact is when a live leader was last heard. A start counts as contact, as a promise made before it
	// may be forgotten.
	lastLeaderContact time.Duration
	deadline          time.Duration   // of the next campaign
	votes             map[string]bool // granted to this node by member, its own included; nil unless it campaigns
	afterTransfer     bool            // the campaign was asked for by the leader
}

// ElectionDeadline is when a node that does not lead needs its next Tick, unless a message puts that off.
func (c *Core) ElectionDeadline() time.Duration { return c.election.deadline }

// jitter draws a time below limit.
func (c *Core) jitter(limit time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(limit)))
}

// resetElectionTimer sets the next campaign to one to two election time-outs from now.
func (c *Core) resetElectionTimer() {
	c.election.deadline = c.now + c.cfg.ElectionTimeout + c.jitter(c.cfg.ElectionTimeout)
}

// promotable reports whether the node may campaign: a voter of the set in force, or of one before it that may still be
// the committed one. The latter matters when only this node has the entry that removes it: nobody else can win.
// It counts by the set in force also then, that is without itself.
func (c *Core) promotable() bool {
	return !c.hardState.Blank && slices.ContainsFunc(c.configurations, func(conf configuration) bool {
		return isVoter(conf.members, c.cfg.ID)
	})
}

// leaderStickiness is how long after a message of a leader a node votes for nobody else: the leader's lease, and a
// margin for clocks that drift apart.
func (c *Core) leaderStickiness() time.Duration {
	return c.cfg.LeaseDuration + (c.cfg.ElectionTimeout-c.cfg.LeaseDuration)/3
}

// isStickyToLeader reports whether this node must not vote for a candidate yet, as the leader may count on its lease.
// The promise is made to the leader of the term: once that one asks for votes itself, it leads no more.
func (c *Core) isStickyToLeader(candidate string) bool {
	if c.role == Leader {
		return true
	}
	return c.now < c.election.lastLeaderContact+c.leaderStickiness() && candidate != c.hardState.Leader
}

// releaseStickiness handles a request for a pre-vote by the leader of the term, who leads no more: the promise to it is
// invalid. It was restarted, mostly with everybody else, and cannot win if it had not stored its newest entries yet; a
// node that has them campaigns soon.
func (c *Core) releaseStickiness(m Message) {
	if m.Term <= c.hardState.Term || m.From != c.hardState.Leader || c.role == Leader {
		return
	}
	c.election.lastLeaderContact = never
	if c.role == Follower && c.promotable() && !c.isUpToDate(m) {
		c.election.deadline = min(c.election.deadline, c.now+c.jitter(2*c.cfg.HeartbeatInterval))
	}
}

// majority returns the highest value that a majority of the voters reaches; zero without voters.
func majority[T cmp.Ordered](members []Member, valueOf func(id string) T) (out T) {
	var buffer [9]T // no allocation for the usual number of voters
	values := buffer[:0]
	for _, m := range members {
		if !m.Learner {
			values = append(values, valueOf(m.ID))
		}
	}
	if len(values) == 0 {
		return out
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// hasMajority reports whether a majority granted its vote.
func (c *Core) hasMajority() bool {
	return majority(c.members(), func(id string) int {
		if c.election.votes[id] {
			return 1
		}
		return 0
	}) == 1
}

// startPreVote asks the voters whether they would vote for this node. It starts no term, so it is repeated soon.
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

// startElection starts a campaign in a new term. The requests are sent once the vote for itself is synced.
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

// requestVotes asks all other voters: for a vote after the sync, for a pre-vote, which promises nothing, at once.
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

// isUpToDate reports whether the log of the sender of a (pre-)vote has at least the entries of this one.
func (c *Core) isUpToDate(m Message) bool {
	lastTerm := c.log.lastTerm()
	return m.PrevTerm > lastTerm || m.PrevTerm == lastTerm && m.PrevIndex >= c.log.last()
}

// onPreVote answers whether this node would vote for the sender.
func (c *Core) onPreVote(m Message) {
	if c.hardState.Blank {
		return
	}
	c.releaseStickiness(m)
	if m.Term > c.hardState.Term && !c.isStickyToLeader(m.From) && c.isUpToDate(m) {
		c.reply(m, Message{Kind: PreVoteReply, Term: m.Term})
	} else {
		c.reply(m, Message{Kind: PreVoteReply, Reject: true})
	}
}

// onPreVoteReply counts a pre-vote, and starts the election with a majority of them.
func (c *Core) onPreVoteReply(m Message) {
	if m.Reject && m.Term > c.hardState.Term {
		c.becomeFollower(m.Term, "")
	} else if !m.Reject && c.role == PreCandidate && m.Term == c.hardState.Term+1 {
		if c.election.votes[m.From] = true; c.hasMajority() {
			c.startElection(false)
		}
	}
}

// onVote votes for the sender, unless this node voted otherwise in the term or has the newer log.
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

// onVoteReply counts a vote, and makes the node leader with a majority of them.
func (c *Core) onVoteReply(m Message) {
	if c.role != Candidate || m.Reject {
		return
	}
	if c.election.votes[m.From] = true; c.hasMajority() {
		c.becomeLeader(false)
	}
}
