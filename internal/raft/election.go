package raft

import (
	"cmp"
	"slices"
	"time"
)

// promotable reports whether the node may campaign: a voter of the set in force, or of one before it that may still be
// the committed one. The latter matters when only this node has the entry that removes it: nobody else can win.
// It counts by the set in force also then, that is without itself.
func (c *Core) promotable() bool {
	return !c.hardState.Blank && slices.ContainsFunc(c.configurations, func(f configuration) bool { return isVoter(f.members, c.cfg.ID) })
}

// leaderStickiness is how long after a message of a leader a node votes for nobody else: the leader's lease, with room for clocks
// that drift apart.
func (c *Core) leaderStickiness() time.Duration {
	return c.cfg.LeaseDuration + (c.cfg.ElectionTimeout-c.cfg.LeaseDuration)/3
}

// isStickyToLeader reports whether this node has promised not to vote for a candidate yet. The promise is made to the leader
// of the term: once that asks for votes itself, it leads no more.
func (c *Core) isStickyToLeader(candidate string) bool {
	if c.role == Leader {
		return true
	}
	return c.now < c.lastLeaderContact+c.leaderStickiness() && candidate != c.hardState.Leader
}

// releaseStickiness takes in a request for a pre-vote by the leader of the term, who leads no more: whatever was promised to it
// is void. It was restarted, mostly with everybody else, and cannot win if it had not stored its newest entries yet; who
// has them campaigns soon.
func (c *Core) releaseStickiness(m Message) {
	if m.Term <= c.hardState.Term || m.From != c.hardState.Leader || c.role == Leader {
		return
	}
	c.lastLeaderContact = never
	if c.role == Follower && c.promotable() && !c.isUpToDate(m) {
		c.electionDeadline = min(c.electionDeadline, c.now+c.jitter(2*c.cfg.HeartbeatInterval))
	}
}

// majority returns the highest value that a majority of the voters reaches.
func majority[T cmp.Ordered](ms []Member, of func(id string) T) (out T) {
	var buffer [9]T
	vs := buffer[:0]
	for _, m := range ms {
		if !m.Learner {
			vs = append(vs, of(m.ID))
		}
	}
	if len(vs) == 0 {
		return out
	}
	slices.Sort(vs)
	return vs[(len(vs)-1)/2]
}

// hasMajority reports whether a majority granted its vote.
func (c *Core) hasMajority() bool {
	return majority(c.members(), func(id string) int {
		if c.votesGranted[id] {
			return 1
		}
		return 0
	}) == 1
}

// startPreVote asks the voters whether they would vote for this node.
func (c *Core) startPreVote() {
	c.role, c.leader, c.leaderAddr, c.campaignAfterTransfer = PreCandidate, "", "", false
	c.votesGranted = map[string]bool{c.cfg.ID: true}
	c.electionDeadline = c.now + c.cfg.HeartbeatInterval/2 + c.jitter(c.cfg.HeartbeatInterval/2) // asking again costs little and starts no term
	if c.hasMajority() {
		c.startElection(false)
		return
	}
	c.requestVotes(PreVote, c.hardState.Term+1)
}

// startElection starts a campaign in a new term. The requests are sent once the vote for itself is synced.
func (c *Core) startElection(force bool) {
	c.role, c.leader, c.campaignAfterTransfer = Candidate, "", force
	c.hardState.Term++
	c.hardState.Vote, c.hardState.Leader, c.hardStateChanged = c.cfg.ID, "", true
	c.votesGranted = map[string]bool{c.cfg.ID: true}
	c.resetElectionTimer()
	if c.hasMajority() {
		c.becomeLeader(true)
		return
	}
	c.requestVotes(Vote, c.hardState.Term)
}

func (c *Core) requestVotes(k Kind, term uint64) {
	for _, m := range c.members() {
		if m.ID == c.cfg.ID || m.Learner {
			continue
		}
		msg := Message{Kind: k, From: c.cfg.ID, To: m.ID, Term: term, PrevIndex: c.log.last(), PrevTerm: c.log.lastTerm(), Force: c.campaignAfterTransfer}
		if k == Vote {
			c.messagesAfterSync = append(c.messagesAfterSync, msg)
		} else {
			c.messages = append(c.messages, msg)
		}
	}
}

// isUpToDate reports whether the log of the sender of a (pre)vote holds at least ours.
func (c *Core) isUpToDate(m Message) bool {
	t := c.log.lastTerm()
	return m.PrevTerm > t || m.PrevTerm == t && m.PrevIndex >= c.log.last()
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
		if c.votesGranted[m.From] = true; c.hasMajority() {
			c.startElection(false)
		}
	}
}

// onVote votes for the sender, unless this node voted otherwise in the term or has the newer log.
func (c *Core) onVote(m Message) {
	free := c.hardState.Vote == "" && c.hardState.Leader == "" || c.hardState.Vote == m.From
	if !free || !c.isUpToDate(m) {
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
