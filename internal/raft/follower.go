package raft

// onLeaderMessage handles an append or snapshot of the term's leader.
func (c *Core) onLeaderMessage(m Message) {
	if c.role == Leader { // a term has one leader
		c.refused++
		return
	}
	c.becomeFollower(m.Term, m.From)
	c.election.lastLeaderContact = c.now
	c.resetElectionTimer()
	if m.Kind == Append {
		c.onAppend(m)
	} else {
		c.onSnapshot(m)
	}
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
		known := c.commit - m.PrevIndex
		m.PrevIndex, m.PrevTerm, m.Entries = c.commit, m.Entries[known-1].Term, m.Entries[known:]
	}
	if term, ok := c.log.term(m.PrevIndex); !ok || term != m.PrevTerm {
		c.rejectAppend(m, ok)
		return
	}
	for n, e := range m.Entries {
		if term, ok := c.log.term(e.Index); !ok || term != e.Term {
			if !c.replaceEntries(m.Entries[n:]) {
				return
			}
			break
		}
	}
	c.commitTo(min(m.Commit, match))
	c.reply(m, Message{Kind: AppendReply, Match: match, PrevIndex: m.PrevIndex})
}

// rejectAppend answers an append whose PrevIndex is missing here or, if it is in the log, of another term. The hint
// lets the leader go back by a whole term at a time.
func (c *Core) rejectAppend(m Message, inLog bool) {
	hint := c.log.last()
	if inLog {
		hint = c.log.lastOfLowerTerm(m.PrevIndex)
	}
	if m.PrevIndex == c.commit && m.PrevIndex > 0 { // the leader contradicts what is committed here
		c.refused++
		return
	}
	c.reply(m, Message{Kind: AppendReply, Reject: true, PrevIndex: m.PrevIndex, Hint: max(hint, c.commit)})
}
