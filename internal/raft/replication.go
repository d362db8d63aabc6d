package raft

// sendAppends creates the messages that are due to each member. All entries proposed since the last call are batched.
func (c *Core) sendAppends() {
	if c.leadership.awaitOwnSync {
		return
	}
	for _, m := range c.members() {
		if p := c.leadership.progress[m.ID]; p != nil {
			c.sendTo(m.ID, p)
		}
	}
}

// sendTo sends the messages that are due to a member: pipelined appends, one probe, or the offer of a snapshot.
func (c *Core) sendTo(id string, p *progress) {
	if p.state == stateReplicate && p.next <= c.log.offset { // the next entry was compacted
		p.startProbe(p.next)
	}
	for p.state == stateReplicate && p.next <= c.log.last() && len(p.inflight) < c.cfg.MaxInflightAppends {
		p.next += c.sendAppend(id, p, c.cfg.MaxAppendBytes)
		p.inflight = append(p.inflight, p.next-1)
	}
	switch {
	case p.state == stateReplicate:
		if p.heartbeatDue || p.sentCommit < c.commit && len(p.inflight) < c.cfg.MaxInflightAppends {
			c.sendAppend(id, p, 0)
		}
	case p.paused && !p.heartbeatDue:
	case p.next <= c.log.offset:
		c.offerSnapshot(id)
		p.state, p.paused = stateSnapshot, true
	default:
		limitBytes := c.cfg.MaxAppendBytes
		if c.now >= p.lastContact+c.cfg.ElectionTimeout { // unreachable: don't resend the entries at every heartbeat
			limitBytes = 0
		}
		p.state = stateProbe
		c.sendAppend(id, p, limitBytes)
		p.paused = true
	}
	p.heartbeatDue = false
}

// sendAppend sends one append with the entries from p.next on, up to limitBytes (0: no entries), and returns the number
// of its entries.
func (c *Core) sendAppend(id string, p *progress, limitBytes int) uint64 {
	m := Message{Kind: Append, From: c.cfg.ID, To: id, Term: c.hardState.Term, PrevIndex: p.next - 1,
		Commit: c.commit, Sent: c.now}
	m.PrevTerm, _ = c.log.term(m.PrevIndex)
	if limitBytes > 0 {
		m.Entries = c.log.sliceUpTo(p.next, c.log.last(), limitBytes)
	}
	p.sentCommit, p.heartbeatDue = c.commit, false
	c.messages = append(c.messages, m)
	return uint64(len(m.Entries))
}

// offerSnapshot offers the newest durable snapshot to a member that needs compacted entries.
func (c *Core) offerSnapshot(id string) {
	meta := c.snapshot
	c.messages = append(c.messages, Message{Kind: Snapshot, From: c.cfg.ID, To: id, Term: c.hardState.Term,
		Sent: c.now, Meta: &meta, Addr: c.leaderAddr})
}

// onReply handles the reply to an append or to a snapshot offer that this leader sent in its term.
func (c *Core) onReply(m Message) {
	p := c.leadership.progress[m.From]
	if p == nil || m.Match > c.log.last() {
		return
	}
	p.lastContact, p.ackedSendTime, p.votesUnknown = c.now, max(p.ackedSendTime, min(m.Sent, c.now)), m.VotesUnknown
	if m.Reject {
		p.onReject(m)
		return
	}
	if m.Match < p.match || m.Match == 0 {
		return
	}
	advanced := m.Match > p.match
	p.match = m.Match
	for len(p.inflight) > 0 && p.inflight[0] <= p.match {
		p.inflight = p.inflight[1:]
	}
	if p.state != stateReplicate && p.match >= c.log.offset && (p.state == stateProbe || advanced) {
		p.state, p.inflight, p.paused, p.next = stateReplicate, nil, false, p.match+1
	}
	p.next = max(p.next, p.match+1)
	if advanced {
		c.advanceCommit()
		if c.role == Leader && m.From == c.leadership.transferee && !c.leadership.timeoutNowSent {
			c.sendTimeoutNow()
		}
	}
}

// onReject continues with a probe after the index of the member's hint. A rejection is stale and ignored if it arrived
// out of order, or if the logs are now known to match at its index.
func (p *progress) onReject(m Message) {
	isStale := m.PrevIndex <= p.match
	switch p.state {
	case stateReplicate:
		isStale = isStale || m.PrevIndex >= p.next
	case stateProbe:
		isStale = isStale || m.PrevIndex != p.next-1
	default:
		isStale = true
	}
	if !isStale {
		p.startProbe(min(m.Hint+1, m.PrevIndex))
	}
}
