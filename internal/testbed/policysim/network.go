package policysim

import (
	"time"

	"crosstide/internal/errs"
)

// resendInterval is the interval at which a kernel retransmits a message that a partition drops.
const resendInterval = 20 * time.Millisecond

// network holds the current disruptions of the network. Its zero value has none.
type network struct {
	lossRate, duplicateRate, delayRate float64       // probabilities for each message
	maxDelay                           time.Duration // of a message that is delayed
	crossedAnswerRate                  float64       // probability that a lease call gets the answer to another call
	partitions                         []*networkPartition
}

// networkPartition drops the messages from one set of processes to another, and if bidirectional is set also those in
// the other direction.
type networkPartition struct {
	from, to      map[*process]bool
	bidirectional bool
}

// blocked reports whether a partition drops messages from one process to another.
func (s *sim) blocked(from, to *process) bool {
	for _, c := range s.network.partitions {
		if c.from[from] && c.to[to] || c.bidirectional && c.from[to] && c.to[from] {
			return true
		}
	}
	return false
}

// latency draws the time for which a message is in flight.
func (s *sim) latency() time.Duration {
	d := s.between(100*time.Microsecond, 2*time.Millisecond)
	if s.chance(s.network.delayRate) {
		s.report.Faults["delay"]++
		d = s.between(0, s.network.maxDelay)
	}
	return d
}

// transmit sends a message and runs do when it arrives. It may be lost, and it may arrive twice if mayRepeat is set.
// The kernel retransmits a message that a partition drops until resendFor has passed or the connection is closed.
func (s *sim) transmit(from, to *process, resendFor time.Duration, mayRepeat bool, isOpen func() bool, do func()) {
	if s.chance(s.network.lossRate) {
		s.report.Faults["lose"]++
		return
	}
	n := 1
	if mayRepeat && s.chance(s.network.duplicateRate) {
		s.report.Faults["double"]++
		n = 2
	}
	for range n {
		s.deliver(from, to, s.now+resendFor, isOpen, do)
	}
}

// deliver sends a message, and retransmits it until the deadline while a partition drops it.
func (s *sim) deliver(from, to *process, deadline time.Duration, isOpen func() bool, do func()) {
	if !s.blocked(from, to) {
		s.schedule(s.latency(), func() {
			if !s.blocked(from, to) || s.chance(0.5) {
				do()
			}
		})
		return
	}
	s.report.Faults["dropped by a cut"]++
	if s.now+resendInterval < deadline {
		s.schedule(resendInterval, func() {
			if isOpen() {
				s.deliver(from, to, deadline, isOpen, do)
			}
		})
	}
}

// request is a call over a new connection.
type request struct {
	from      *process
	addr      string
	timeout   time.Duration
	resendFor time.Duration // how long the kernels retransmit
	mayRepeat bool          // the call may arrive twice
	serve     func(to *process, reply func(any, error))
	// onAnswer is called once with the answer or an error, unless the caller's incarnation ends before. sent reports
	// whether a byte of the call may have left the caller.
	onAnswer func(answer any, err error, sent bool)
}

// connection is a call in flight.
type connection struct {
	request
	sim         *sim
	generation  int // of the caller
	peer        *process
	incarnation int  // generation of the peer that accepted the connection
	closed      bool // at the caller's side
}

// request makes a call.
func (s *sim) request(r request) {
	c := &connection{request: r, sim: s, generation: r.from.generation, peer: s.byAddr[r.addr]}
	isDown := c.peer == nil || !c.peer.alive
	if isDown && s.chance(0.7) {
		s.schedule(s.latency(), func() {
			c.finish(nil, errs.New(errs.Unavailable, "connection refused by %s", r.addr), false)
		})
		return
	}
	r.from.after(r.timeout, func() { c.finish(nil, errs.New(errs.Timeout, "no response from %s", r.addr), true) })
	if isDown {
		return
	}
	c.incarnation = c.peer.generation
	s.transmit(r.from, c.peer, r.resendFor, r.mayRepeat, c.isOpen, c.arrive)
}

func (c *connection) isOpen() bool { return !c.closed }

// finish closes the connection at the caller's side with an answer or an error. Only the first call has an effect.
func (c *connection) finish(answer any, err error, sent bool) {
	c.from.execute(c.generation, func() {
		if !c.closed {
			c.closed = true
			c.onAnswer(answer, err, sent)
		}
	})
}

// arrive serves the call at the peer, or resets the connection if its incarnation has ended.
func (c *connection) arrive() {
	if c.closed && !c.mayRepeat { // the caller's connection reset has arrived too
		return
	}
	if !c.peer.alive || c.peer.generation != c.incarnation {
		c.sim.deliver(c.peer, c.from, c.sim.now, c.isOpen, func() {
			c.finish(nil, errs.New(errs.Unavailable, "connection reset by %s", c.addr), true)
		})
		return
	}
	c.peer.execute(c.incarnation, func() { c.serve(c.peer, c.reply) })
}

// reply sends the answer back.
func (c *connection) reply(answer any, err error) {
	s := c.sim
	if s.chance(s.network.lossRate) {
		s.report.Faults["lost answer"]++
		return
	}
	s.transmit(c.peer, c.from, c.resendFor, false, c.isOpen, func() { c.finish(answer, err, true) })
}
