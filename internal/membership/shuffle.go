package membership

import (
	"slices"
	"time"
)

// Call is a message to be sent to Addr. Its outcome is passed to HandleAnswer or HandleFailure under ID, once.
type Call struct {
	ID   uint64
	Addr string
	Message
}

// pendingCall is a call without an outcome yet.
type pendingCall struct {
	name        string // of the neighbour called; empty for a seed that is no neighbour
	isSeedVisit bool
	sample      []string // names of the neighbours in its message
	sentAt      time.Duration
}

// newShuffle returns the call of a shuffle with the node at addr, and keeps it as pending. to is the neighbour there;
// nil: none is known.
func (c *Core) newShuffle(now time.Duration, addr string, to *neighbour) Call {
	call := &pendingCall{sentAt: now}
	if to != nil {
		call.name = to.Name
	}
	m, sample := c.newMessage(now, call.name)
	for _, e := range c.neighbours {
		if e.suspected && len(m.Suspects) < c.cfg.MaxDepartures {
			m.Suspects = append(m.Suspects, e.Name)
		}
	}
	call.sample = sample
	c.lastCallID++
	c.pending[c.lastCallID] = call
	c.Counters.Shuffles++
	return Call{c.lastCallID, addr, m}
}

// newMessage returns a new version of this node in a message for the node named to, and the names of the neighbours in
// its sample. Each call raises the heartbeat.
func (c *Core) newMessage(now time.Duration, to string) (m Message, sample []string) {
	c.self.Heartbeat++
	m = Message{From: c.self, Leaving: c.leaving}
	for _, i := range c.random.Perm(len(c.neighbours)) {
		if e := c.neighbours[i]; !e.suspected && e.Name != to && len(sample) < c.cfg.ShuffleLength-1 {
			m.Sample = append(m.Sample, e.memberAt(now))
			sample = append(sample, e.Name)
		}
	}
	for _, e := range c.directory {
		m.Directory = append(m.Directory, e.memberAt(now))
	}
	for _, name := range sortedNames(c.tombstones) {
		if t := c.tombstones[name]; t.left && now-t.sentAt < c.cfg.MemberTTL {
			m.Departed = append(m.Departed, (&neighbour{Member: t.Member, sentAt: t.sentAt}).memberAt(now))
		}
	}
	c.random.Shuffle(len(m.Departed), func(i, j int) { m.Departed[i], m.Departed[j] = m.Departed[j], m.Departed[i] })
	m.Departed = m.Departed[:min(len(m.Departed), c.cfg.MaxDepartures)]
	return m, sample
}

// HandleShuffle applies the message of another node and returns the answer, which is made before the message is
// applied. Its From must be valid; every other invalid part of it is ignored.
func (c *Core) HandleShuffle(now time.Duration, m Message) Message {
	c.Counters.Received++
	c.expire(now)
	answer, sample := c.newMessage(now, m.From.Name)
	for _, name := range m.Suspects[:min(len(m.Suspects), c.cfg.MaxDepartures)] {
		if e := c.newest(name); e != nil && !slices.Contains(sample, name) {
			answer.Sample = append(answer.Sample, e.memberAt(now))
		}
	}
	c.mergeCall(now, m, sample)
	return answer
}

// HandleAnswer applies the answer m to the call id. An id without a pending call, as after it has expired, is ignored.
func (c *Core) HandleAnswer(now time.Duration, id uint64, m Message) {
	call := c.pending[id]
	if call == nil {
		return
	}
	delete(c.pending, id)
	if call.isSeedVisit {
		c.seeds.missed = 0
	}
	if e := findByName(c.neighbours, call.name); e != nil {
		if m.From.Name != call.name {
			c.addTombstone(e, false) // another node answers at its address
		}
		// Its place is freed for the nodes in its answer, as it has just received some of this node's.
		c.neighbours = slices.DeleteFunc(c.neighbours, func(other *neighbour) bool { return other == e })
	}
	c.mergeAnswer(now, call.sentAt, m, call.sample)
}

// HandleFailure records that the call id failed: the neighbour that was called becomes suspected, and is removed unless
// a newer version of it comes within SuspectTimeout. An id without a pending call is ignored.
func (c *Core) HandleFailure(now time.Duration, id uint64) {
	call := c.pending[id]
	if call == nil {
		return
	}
	delete(c.pending, id)
	c.Counters.Failures++
	if call.isSeedVisit {
		c.missSeedVisit()
	}
	// A version that the neighbour sent since the call proves that it lives.
	if e := findByName(c.neighbours, call.name); e != nil && !e.suspected && e.sentAt < call.sentAt {
		e.suspected, e.suspectSince = true, now
		c.Counters.Suspects++
	}
}

// Leave returns the last calls of this node, which announce its departure to some control-plane nodes and neighbours:
// at most ShuffleLength. Their outcomes are ignored, and Tick returns no calls any more.
func (c *Core) Leave(now time.Duration) (calls []Call) {
	c.leaving = true
	m, _ := c.newMessage(now, "")
	m.Sample, m.Directory = nil, nil
	for _, e := range append(slices.Clone(c.directory), c.neighbours...) {
		isCalled := slices.ContainsFunc(calls, func(call Call) bool { return call.Addr == e.Addr })
		if len(calls) < c.cfg.ShuffleLength && !e.suspected && !isCalled {
			c.lastCallID++
			calls = append(calls, Call{c.lastCallID, e.Addr, m})
		}
	}
	return calls
}
