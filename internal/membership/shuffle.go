package membership

import (
	"slices"
	"time"
)

// Call is a message to send to Addr. The Core's owner passes its outcome to HandleAnswer or HandleFailure, once.
type Call struct {
	ID   uint64
	Addr string
	Message
}

// pendingCall is a call whose outcome is not known yet.
type pendingCall struct {
	name        string // of the called neighbour; empty if the called seed is not a neighbour
	isSeedVisit bool
	sample      []string // names of the neighbours in its message
	sentAt      time.Duration
}

// newShuffle returns the call of a shuffle with the node at addr, and records it as pending. to is the neighbour at
// addr, or nil if none is known.
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

// newMessage returns a message to the node named to, with a new version of this node, and the names of the neighbours
// in its sample. Each call increments the heartbeat.
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

// HandleShuffle applies a message from another node and returns the answer, which is made before the message is
// applied. m.From must be valid; other invalid parts of m are ignored.
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

// HandleAnswer applies the answer m to the call id. An id that is not pending is ignored: the call may
// have expired.
func (c *Core) HandleAnswer(now time.Duration, id uint64, m Message) {
	call := c.pending[id]
	if call == nil {
		return
	}
	delete(c.pending, id)
	if call.isSeedVisit {
		c.seeds.failed = 0
	}
	if e := findByName(c.neighbours, call.name); e != nil {
		if m.From.Name != call.name {
			c.addTombstone(e, false) // another node answers at its address
		}
		// The neighbour has just received some of this node's neighbours. Its place is freed for those in its answer.
		c.neighbours = slices.DeleteFunc(c.neighbours, func(other *neighbour) bool { return other == e })
	}
	c.mergeAnswer(now, call.sentAt, m, call.sample)
}

// HandleFailure records that the call id failed: the called neighbour becomes suspected, and is removed unless a newer
// version of it is received within SuspectTimeout. An id that is not pending is ignored.
func (c *Core) HandleFailure(now time.Duration, id uint64) {
	call := c.pending[id]
	if call == nil {
		return
	}
	delete(c.pending, id)
	c.Counters.Failures++
	if call.isSeedVisit {
		c.retrySeedVisit()
	}
	// A version that the neighbour sent after the call proves that it is alive.
	if e := findByName(c.neighbours, call.name); e != nil && !e.suspected && e.sentAt < call.sentAt {
		e.suspected, e.suspectSince = true, now
		c.Counters.Suspects++
	}
}

// Leave returns the last calls of this node, at most ShuffleLength, which announce its departure to control-plane nodes
// and neighbours. Their outcomes are ignored, and Tick returns no further calls.
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
