package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Core is one node's part in the membership: a step function without clock, socket or goroutine. The argument now of
// its methods is a reading of the node's clock, which counts suspension and never decreases from call to call. A Core
// is not safe for concurrent use.
type Core struct {
	cfg        Config
	self       Member // Age is 0; Heartbeat rises with each message, Incarnation when another process has the name
	random     *rand.Rand
	neighbours []*neighbour          // the partial view: at most ViewSize, names unique, never self
	directory  []*neighbour          // the control-plane nodes known: at most DirectorySize, names unique, never self
	tombstones map[string]*tombstone // by name, at most MaxTombstones

	nextShuffle time.Duration
	round       int // counts the shuffles that were due
	seeds       seedRotation
	pending     map[uint64]*pendingCall // calls without an outcome yet, by ID
	lastCallID  uint64

	leaving  bool     // Leave was called
	changes  []Change // of the directory since the last call of Changes
	Counters Counters // read by the owner
}

// Counters count what a core did since New.
type Counters struct {
	Shuffles   uint64 // shuffles sent, visits to seeds included
	Failures   uint64 // shuffles sent that failed
	SeedVisits uint64
	Received   uint64 // shuffles of other nodes
	Suspects   uint64 // neighbours that became suspected
	Dropped    uint64 // suspects that were removed
}

// neighbour is a node that this one knows, at the newest version received.
type neighbour struct {
	Member                     // Age is 0: the age follows from sentAt
	sentAt       time.Duration // when the node itself sent this version, on this node's clock
	suspected    bool          // a call to it failed, and no version sent since has come
	suspectSince time.Duration // valid while suspected
}

// memberAt returns the member with its age at now, as it is sent.
func (e *neighbour) memberAt(now time.Duration) Member {
	m := e.Member
	m.Age = max(0, (now - e.sentAt).Milliseconds())
	return m
}

// tombstone marks a version and all older ones as ended, so that copies that still go round are not stored again.
type tombstone struct {
	Member
	sentAt time.Duration // of the version, as in neighbour
	left   bool          // the node announced its departure: the whole incarnation has ended
}

// New returns the core of self, which knows nothing but the addresses of its seeds. With the same randomSeed and the
// same calls it takes the same steps. Example:
//
//	self := membership.Member{Name: "d1", Addr: addr, Zone: "a", Role: membership.RoleDataPlane, Incarnation: started}
//	core := membership.New(membership.Defaults(), self, seeds, 1)
//	for _, call := range core.Tick(now) {
//		if answer, err := send(call.Addr, call.Message); err != nil {
//			core.HandleFailure(now, call.ID)
//		} else {
//			core.HandleAnswer(now, call.ID, answer)
//		}
//	}
func New(cfg Config, self Member, seeds []string, randomSeed uint64) *Core {
	c := &Core{
		cfg:        cfg,
		self:       self,
		random:     rand.New(rand.NewPCG(randomSeed, 0)),
		tombstones: map[string]*tombstone{},
		pending:    map[uint64]*pendingCall{},
	}
	c.self.Age = 0
	for _, addr := range seeds {
		if addr != self.Addr && !slices.Contains(c.seeds.addrs, addr) {
			c.seeds.addrs = append(c.seeds.addrs, addr)
		}
	}
	if len(c.seeds.addrs) > 0 {
		c.seeds.last = c.random.IntN(len(c.seeds.addrs))
	}
	c.seeds.nextVisit = len(c.seeds.addrs) + 1 + c.random.IntN(max(1, cfg.ShufflesPerSeedVisit))
	return c
}

// NextTick returns when Tick is due next. Other calls do not change it.
func (c *Core) NextTick() time.Duration { return c.nextShuffle }

// Tick does nothing before NextTick and after Leave. Otherwise it removes what has expired, and returns the call of a
// shuffle: with a seed if a visit is due, else with the neighbour heard of least recently; none if there is neither.
func (c *Core) Tick(now time.Duration) []Call {
	if now < c.nextShuffle || c.leaving {
		return nil
	}
	c.nextShuffle = now + c.cfg.ShuffleInterval*time.Duration(90+c.random.IntN(21))/100
	c.round++
	c.expire(now)
	target := c.oldestNeighbour()
	if addr := c.seedDue(target); addr != "" {
		c.Counters.SeedVisits++
		call := c.newShuffle(now, addr, c.neighbourAt(addr))
		c.pending[call.ID].isSeedVisit = true
		return []Call{call}
	}
	if target == nil {
		return nil
	}
	return []Call{c.newShuffle(now, target.Addr, target)}
}

// oldestNeighbour returns the neighbour with the oldest version, nil if there is none. It skips suspected neighbours
// and those with a call in flight.
func (c *Core) oldestNeighbour() (oldest *neighbour) {
	inFlight := map[string]bool{}
	for _, call := range c.pending {
		inFlight[call.name] = true
	}
	for _, e := range c.neighbours {
		if !e.suspected && !inFlight[e.Name] && (oldest == nil || e.sentAt < oldest.sentAt) {
			oldest = e
		}
	}
	return oldest
}

// neighbourAt returns the neighbour at an address, nil if there is none.
func (c *Core) neighbourAt(addr string) *neighbour {
	for _, e := range c.neighbours {
		if e.Addr == addr {
			return e
		}
	}
	return nil
}

// expire removes suspects without a newer version for SuspectTimeout, which leave a tombstone; versions, directory
// entries and calls at the end of their time; and tombstones once every copy of their version has expired.
func (c *Core) expire(now time.Duration) {
	c.neighbours = slices.DeleteFunc(c.neighbours, func(e *neighbour) bool {
		isGone := e.suspected && now-e.suspectSince >= c.cfg.SuspectTimeout
		if isGone {
			c.addTombstone(e, false)
			c.Counters.Dropped++
		}
		return isGone || now-e.sentAt >= c.cfg.MemberTTL
	})
	c.directory = slices.DeleteFunc(c.directory, func(e *neighbour) bool {
		isExpired := now-e.sentAt >= c.cfg.DirectoryTTL
		if isExpired {
			c.changes = append(c.changes, Change{Expired, e.Member})
		}
		return isExpired
	})
	for name, t := range c.tombstones {
		if now-t.sentAt >= 2*c.cfg.MemberTTL {
			delete(c.tombstones, name)
		}
	}
	for id, call := range c.pending {
		if now-call.sentAt >= c.cfg.MemberTTL {
			delete(c.pending, id)
		}
	}
}
