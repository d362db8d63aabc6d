package raft

// onLeaderMessage handles an append or a snapshot offer from the leader of the current term, and makes this node its
// follower.
func (c *Core) onLeaderMessage(m Message) {
	if c.role == Leader { // two leaders in a term: must never happen
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

// onAppend adds the entries that are missing here or differ, and replies with the index up to which the log matches the
// leader's. An append that is malformed or has an invalid member set is dropped.
func (c *Core) onAppend(m Message) {
	if !m.isWellFormed() {
		return
	}
	match := m.PrevIndex + uint64(len(m.Entries))
	if m.PrevIndex < c.commit { // the committed entries are the same in every leader's log: skip them
		if match <= c.commit {
			c.reply(m, Message{Kind: AppendReply, Match: c.commit, PrevIndex: m.PrevIndex})
			return
		}
		committed := c.commit - m.PrevIndex
		m.PrevIndex, m.PrevTerm, m.Entries = c.commit, m.Entries[committed-1].Term, m.Entries[committed:]
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

// rejectAppend rejects an append whose PrevIndex is not in the log or, if inLog is set, has another term there. The
// hint in the reply lets the leader skip a whole term per rejection. An append that contradicts a committed entry is
// counted in refused and not answered.
func (c *Core) rejectAppend(m Message, inLog bool) {
	hint := c.log.last()
	if inLog {
		hint = c.log.lastOfLowerTerm(m.PrevIndex)
	}
	if m.PrevIndex == c.commit && m.PrevIndex > 0 { // the leader contradicts an entry that is committed here
		c.refused++
		return
	}
	c.reply(m, Message{Kind: AppendReply, Reject: true, PrevIndex: m.PrevIndex, Hint: max(hint, c.commit)})
}
