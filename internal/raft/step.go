package raft

import (
	"cmp"
	"time"
)

// Step handles a message of another core. What is malformed or not for this node is dropped.
func (c *Core) Step(now time.Duration, m Message) {
	c.advanceClock(now)
	if m.To != c.cfg.ID || m.From == c.cfg.ID || m.From == "" {
		return
	}
	switch m.Kind {
	case PreVote:
		c.onPreVote(m)
		return
	case PreVoteReply:
		c.onPreVoteReply(m)
		return
	case Vote:
		if c.hardState.Blank || m.Term >= c.hardState.Term && !m.Force && c.isStickyToLeader(m.From) {
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

// rejectOldTerm answers a leader or candidate of an older term, so that it learns the newer one.
func (c *Core) rejectOldTerm(m Message) {
	switch m.Kind {
	case Append, Snapshot:
		c.reply(m, Message{Kind: AppendReply, Reject: true})
	case Vote:
		c.reply(m, Message{Kind: VoteReply, Reject: true})
	}
}

// stepInTerm handles a message of this node's term.
func (c *Core) stepInTerm(m Message) {
	switch m.Kind {
	case Vote:
		c.onVote(m)
	case VoteReply:
		if c.role == Candidate && !m.Reject {
			if c.votesGranted[m.From] = true; c.hasMajority() {
				c.becomeLeader(false)
			}
		}
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

// onLeaderMessage handles an append or snapshot of the term's leader.
func (c *Core) onLeaderMessage(m Message) {
	if c.role == Leader { // a term has one leader
		c.refused++
		return
	}
	c.becomeFollower(m.Term, m.From)
	c.lastLeaderContact = c.now
	c.resetElectionTimer()
	if m.Kind == Append {
		c.onAppend(m)
	} else {
		c.onSnapshot(m)
	}
}

// reply answers m: once the pending changes are synced, or at once for a pre-vote, which promises nothing.
func (c *Core) reply(m Message, r Message) {
	r.From, r.To, r.Sent, r.Blank = c.cfg.ID, m.From, m.Sent, c.hardState.Blank
	r.Term = cmp.Or(r.Term, c.hardState.Term)
	if r.Kind == PreVoteReply {
		c.messages = append(c.messages, r)
	} else {
		c.messagesAfterSync = append(c.messagesAfterSync, r)
	}
}

// isWellFormed reports whether the entries of an append follow each other without a gap, in terms that do not go back.
func (m Message) isWellFormed() bool {
	term := m.PrevTerm
	for n, e := range m.Entries {
		if e.Index != m.PrevIndex+1+uint64(n) || e.Term < term || e.Term > m.Term {
			return false
		}
		term = e.Term
	}
	return true
}

// onAppend stores the entries of an append and answers how far the log now equals the leader's.
func (c *Core) onAppend(m Message) {
	if !m.isWellFormed() {
		return
	}
	match := m.PrevIndex + uint64(len(m.Entries))
	if m.PrevIndex < c.commit { // what is committed is the same in every leader's log
		if match <= c.commit {
			c.reply(m, Message{Kind: AppendReply, Match: c.commit, PrevIndex: m.PrevIndex})
			return
		}
		n := c.commit - m.PrevIndex
		m.PrevIndex, m.PrevTerm, m.Entries = c.commit, m.Entries[n-1].Term, m.Entries[n:]
	}
	if t, ok := c.log.term(m.PrevIndex); !ok || t != m.PrevTerm {
		hint := c.log.last()
		if ok {
			hint = c.log.lastOfLowerTerm(m.PrevIndex)
		}
		if m.PrevIndex == c.commit && m.PrevIndex > 0 {
			c.refused++
			return
		}
		c.reply(m, Message{Kind: AppendReply, Reject: true, PrevIndex: m.PrevIndex, Hint: max(hint, c.commit)})
		return
	}
	for n, e := range m.Entries {
		if t, ok := c.log.term(e.Index); !ok || t != e.Term {
			if !c.replaceEntries(m.Entries[n:]) {
				return
			}
			break
		}
	}
	c.commitTo(min(m.Commit, match))
	c.reply(m, Message{Kind: AppendReply, Match: match, PrevIndex: m.PrevIndex})
}

// replaceEntries stores entries in the log in place of those at and after the first one's index.
func (c *Core) replaceEntries(es []Entry) bool {
	cs, err := configurationsOf(es)
	if err != nil {
		c.refused++
		return false
	}
	from := es[0].Index
	if from <= c.log.last() {
		c.log.truncate(from)
		c.firstUnstable = min(c.firstUnstable, from)
		for len(c.configurations) > 0 && c.configurations[len(c.configurations)-1].index >= from {
			c.configurations = c.configurations[:len(c.configurations)-1]
		}
	}
	c.log.entries = append(c.log.entries, es...)
	c.configurations = append(c.configurations, cs...)
	return true
}

// commitTo raises the commit index.
func (c *Core) commitTo(to uint64) {
	if to <= c.commit {
		return
	}
	c.commit = to
	for len(c.configurations) > 1 && c.configurations[1].index <= to {
		c.configurations = c.configurations[1:]
		c.clearBlank(c.configurations[0].members)
	}
}
