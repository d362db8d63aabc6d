package raft

// sendAppends makes the appends that are due. Everything proposed since the last one goes together.
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

// sendTo sends a member what is due: pipelined appends, one probe, or the offer of a snapshot.
func (c *Core) sendTo(id string, p *progress) {
	if p.state == stateReplicate && p.next <= c.log.offset { // compacted meanwhile
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
		bytes := c.cfg.MaxAppendBytes
		if c.now >= p.lastContact+c.cfg.ElectionTimeout { // away: do not send the same entries at every heartbeat
			bytes = 0
		}
		p.state = stateProbe
		c.sendAppend(id, p, bytes)
		p.paused = true
	}
	p.heartbeatDue = false
}

// sendAppend makes one append from p.next on, empty if bytes is 0, and returns the number of entries.
func (c *Core) sendAppend(id string, p *progress, bytes int) uint64 {
	m := Message{Kind: Append, From: c.cfg.ID, To: id, Term: c.hardState.Term, PrevIndex: p.next - 1,
		Commit: c.commit, Sent: c.now}
	m.PrevTerm, _ = c.log.term(m.PrevIndex)
	if bytes > 0 {
		m.Entries = c.log.sliceUpTo(p.next, c.log.last(), bytes)
	}
	p.sentCommit, p.heartbeatDue = c.commit, false
	c.messages = append(c.messages, m)
	return uint64(len(m.Entries))
}

// offerSnapshot tells a member that is behind the log in memory where to fetch the newest snapshot.
func (c *Core) offerSnapshot(id string) {
	meta := c.snapshot
	c.messages = append(c.messages, Message{Kind: Snapshot, From: c.cfg.ID, To: id, Term: c.hardState.Term,
		Sent: c.now, Meta: &meta, Addr: c.leaderAddr})
}

// onReply handles the answer to an append or snapshot of this term.
func (c *Core) onReply(m Message) {
	p := c.leadership.progress[m.From]
	if p == nil || m.Match > c.log.last() {
		return
	}
	p.lastContact, p.ackedSendTime, p.blank = c.now, max(p.ackedSendTime, min(m.Sent, c.now)), m.Blank
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

// onReject goes back to the index that the member hinted at. A rejection that arrived out of order, or of an index that
// was found equal since, is stale and changes nothing.
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
