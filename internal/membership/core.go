package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Directory is one node's part in the membership: no clock, socket or goroutine of its own. now is a reading of the
// node's clock, which counts suspension. It is not safe for use by several goroutines.
type Core struct {
	cfg          Config
	self         Member
	seeds        []string
	rng          *rand.Rand
	neighbours   []*neighbour // the partial view
	directory    []*neighbour // all cplanes known, this node not counted
	tombstones   map[string]*tombstone
	pending      map[uint64]*pendingCall // calls without an answer yet
	lastCallID   uint64
	lastSeed     int // the seed visited last
	round        int
	nextVisit    int           // round of the next visit to a seed
	missedVisits int           // visits without an answer since the last good one
	nextShuffle  time.Duration // of the next shuffle
	leaving      bool
	changes      []Change
	Counters     Counters
}

// Counters only go up.
type Counters struct{ Shuffles, Failures, SeedVisits, Received, Suspects, Dropped uint64 }

// neighbour is a node that this one knows, with the newest version of its note.
type neighbour struct {
	Member
	sentAt       time.Duration // when the node sent this version, on this node's clock
	suspectSince time.Duration // valid while suspected
	suspected    bool
}

// tombstone marks a version as ended; with left set, the whole incarnation has ended.
type tombstone struct {
	Member
	sentAt time.Duration
	left   bool
}

// pendingCall is a call that has no answer yet.
type pendingCall struct {
	name       string // of the neighbour called, "" for a seed that is no neighbour
	seed       bool
	neighbours []string // the neighbours whose notes it carried
	sentAt     time.Duration
}

// HandleShuffle is a message to be sent to Addr. Its outcome is passed to Answer or Failure under ID.
type Call struct {
	ID   uint64
	Addr string
	Message
}

// New makes the core of self, which knows nothing but the addresses of its seeds. The same rnd leads to the same steps.
// Example:
//
//	c := membership.New(membership.Defaults(), membership.Member{Name: "d1", Addr: addr, Zone: "a", Role: membership.RoleDataPlane, Boot: boot}, seeds, 1)
//	for _, call := range c.Tick(now) {
//		if answer, err := send(call.Addr, call.Message); err != nil {
//			c.HandleFailure(now, call.ID)
//		} else {
//			c.HandleAnswer(now, call.ID, answer)
//		}
//	}
func New(cfg Config, self Member, seeds []string, randomSeed uint64) *Core {
	c := &Core{cfg: cfg, self: self, rng: rand.New(rand.NewPCG(randomSeed, 0)), tombstones: map[string]*tombstone{}, pending: map[uint64]*pendingCall{}}
	c.self.Age = 0
	for _, s := range seeds {
		if s != self.Addr && !slices.Contains(c.seeds, s) {
			c.seeds = append(c.seeds, s)
		}
	}
	if len(c.seeds) > 0 {
		c.lastSeed = c.rng.IntN(len(c.seeds))
	}
	c.nextVisit = len(c.seeds) + 1 + c.rng.IntN(max(1, cfg.ShufflesPerSeedVisit))
	return c
}

// NextTick is when the next Tick has something to do.
func (c *Core) NextTick() time.Duration { return c.nextShuffle }

// Tick drops what has expired and, when a shuffle is due, returns the call for it.
func (c *Core) Tick(now time.Duration) []Call {
	if now < c.nextShuffle || c.leaving {
		return nil
	}
	c.nextShuffle = now + c.cfg.ShuffleInterval*time.Duration(90+c.rng.IntN(21))/100
	c.round++
	c.expire(now)
	target := c.oldestNeighbour()
	joins := c.round <= len(c.seeds) // every seed is visited once: those that start together may have met elsewhere
	if target == nil || joins || c.round >= c.nextVisit {
		c.nextVisit = c.round + c.cfg.ShufflesPerSeedVisit
		// In a large fleet only the few cplanes go on visiting seeds, so that the seeds' overload does not grow with it.
		if addr := c.nextSeed(); addr != "" && (target == nil || joins || c.self.Role == RoleControlPlane || len(c.directory) == 0) {
			c.Counters.SeedVisits++
			call := c.newShuffle(now, addr, c.neighbourAt(addr))
			c.pending[call.ID].seed = true
			return []Call{call}
		}
	}
	if target == nil {
		return nil
	}
	return []Call{c.newShuffle(now, target.Addr, target)}
}

func (c *Core) nextSeed() string {
	if len(c.seeds) == 0 {
		return ""
	}
	c.lastSeed = (c.lastSeed + 1) % len(c.seeds)
	return c.seeds[c.lastSeed]
}

// oldestNeighbour returns the neighbour with the oldest version, nil if there is none. Suspected neighbours and those
// with a call under way are left out.
func (c *Core) oldestNeighbour() (out *neighbour) {
	busy := map[string]bool{}
	for _, a := range c.pending {
		busy[a.name] = true
	}
	for _, e := range c.neighbours {
		if !e.suspected && !busy[e.Name] && (out == nil || e.sentAt < out.sentAt) {
			out = e
		}
	}
	return out
}

func (c *Core) neighbourAt(addr string) *neighbour {
	for _, e := range c.neighbours {
		if e.Addr == addr {
			return e
		}
	}
	return nil
}

func (c *Core) newShuffle(now time.Duration, addr string, to *neighbour) Call {
	a := &pendingCall{sentAt: now}
	if to != nil {
		a.name = to.Name
	}
	m, sent := c.newMessage(now, a.name)
	for _, e := range c.neighbours {
		if e.suspected && len(m.Suspects) < c.cfg.MaxDepartures {
			m.Suspects = append(m.Suspects, e.Name)
		}
	}
	a.neighbours = sent
	c.lastCallID++
	c.pending[c.lastCallID] = a
	c.Counters.Shuffles++
	return Call{c.lastCallID, addr, m}
}

// newMessage returns a message for the node named to, and the names of the neighbours in it.
func (c *Core) newMessage(now time.Duration, to string) (Message, []string) {
	c.self.Heartbeat++
	m := Message{From: c.self, Leaving: c.leaving}
	var sent []string
	for _, i := range c.rng.Perm(len(c.neighbours)) {
		if e := c.neighbours[i]; !e.suspected && e.Name != to && len(sent) < c.cfg.ShuffleLength-1 {
			m.Sample = append(m.Sample, e.memberAt(now))
			sent = append(sent, e.Name)
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
	c.rng.Shuffle(len(m.Departed), func(i, j int) { m.Departed[i], m.Departed[j] = m.Departed[j], m.Departed[i] })
	m.Departed = m.Departed[:min(len(m.Departed), c.cfg.MaxDepartures)]
	return m, sent
}

func (e *neighbour) memberAt(now time.Duration) Member {
	n := e.Member
	n.Age = max(0, (now - e.sentAt).Milliseconds())
	return n
}

// HandleShuffle handles an incoming message and returns the answer.
func (c *Core) HandleShuffle(now time.Duration, m Message) Message {
	c.Counters.Received++
	c.expire(now)
	out, sent := c.newMessage(now, m.From.Name)
	for _, name := range m.Suspects[:min(len(m.Suspects), c.cfg.MaxDepartures)] {
		if e := c.newest(name); e != nil && !slices.Contains(sent, name) {
			out.Sample = append(out.Sample, e.memberAt(now))
		}
	}
	c.merge(now, now, m, sent, true)
	return out
}

// HandleAnswer takes the answer to the call id. Ages in it are counted from when the call was sent.
func (c *Core) HandleAnswer(now time.Duration, id uint64, m Message) {
	a := c.pending[id]
	if a == nil {
		return
	}
	delete(c.pending, id)
	if a.seed {
		c.missedVisits = 0
	}
	if e := findByName(c.neighbours, a.name); e != nil {
		if m.From.Name != a.name {
			c.addTombstone(e, false) // another node lives at its address
		}
		// Its place is freed for the nodes in its answer: it has just received some of ours.
		c.neighbours = slices.DeleteFunc(c.neighbours, func(one *neighbour) bool { return one == e })
	}
	c.merge(now, a.sentAt, m, a.neighbours, false)
}

// HandleFailure records that the call id failed: the node that was called is suspected.
func (c *Core) HandleFailure(now time.Duration, id uint64) {
	a := c.pending[id]
	if a == nil {
		return
	}
	delete(c.pending, id)
	c.Counters.Failures++
	if a.seed {
		// The next seed soon, but with neighbours in between: dead seeds must not keep a node from shuffling.
		c.missedVisits = min(c.missedVisits+1, c.cfg.ShufflesPerSeedVisit)
		c.nextVisit = min(c.nextVisit, c.round+1+c.missedVisits)
	}
	// A version sent since the call clears it.
	if e := findByName(c.neighbours, a.name); e != nil && !e.suspected && e.sentAt < a.sentAt {
		e.suspected, e.suspectSince = true, now
		c.Counters.Suspects++
	}
}

// Leave returns the last calls of this node, which announce its departure to some cplanes and neighbours. Their
// outcomes need not be passed on; Tick returns no calls any more.
func (c *Core) Leave(now time.Duration) (out []Call) {
	c.leaving = true
	m, _ := c.newMessage(now, "")
	m.Sample, m.Directory = nil, nil
	to := append(slices.Clone(c.directory), c.neighbours...)
	for _, e := range to {
		if len(out) < c.cfg.ShuffleLength && !e.suspected && !slices.ContainsFunc(out, func(k Call) bool { return k.Addr == e.Addr }) {
			c.lastCallID++
			out = append(out, Call{c.lastCallID, e.Addr, m})
		}
	}
	return out
}
