package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Core is one node's part in the membership: no clock, socket or goroutine of its own. now is a reading of the node's
// clock, which counts suspension. It is not safe for concurrent use.
type Core struct {
	cfg        Config
	self       Member // Age 0; Heartbeat rises with each message
	random     *rand.Rand
	neighbours []*neighbour          // the partial view, at most ViewSize
	directory  []*neighbour          // the control-plane nodes known, this node not counted, at most DirectorySize
	tombstones map[string]*tombstone // by name, at most MaxTombstones

	nextShuffle time.Duration
	round       int // counts shuffles that were due
	seeds       seedRotation
	pending     map[uint64]*pendingCall // calls without an answer yet, by ID
	lastCallID  uint64

	leaving  bool     // Leave was called
	changes  []Change // of the directory, since Changes was called
	Counters Counters
}

// Counters only go up.
type Counters struct {
	Shuffles   uint64 // sent, those to seeds counted
	Failures   uint64 // without an answer
	SeedVisits uint64
	Received   uint64
	Suspects   uint64 // neighbours that were suspected
	Dropped    uint64 // suspects that were removed
}

// neighbour is a node that this one knows, with the newest version of it.
type neighbour struct {
	Member
	sentAt       time.Duration // when the node sent this version, on this node's clock
	suspected    bool
	suspectSince time.Duration // valid while suspected
}

// memberAt is the version with its age at now, as it is sent.
func (e *neighbour) memberAt(now time.Duration) Member {
	m := e.Member
	m.Age = max(0, (now - e.sentAt).Milliseconds())
	return m
}

// tombstone marks a version as ended; with left set, the whole incarnation has ended.
type tombstone struct {
	Member
	sentAt time.Duration
	left   bool
}

// New makes the core of self, which knows nothing but the addresses of its seeds. The same randomSeed leads to the same
// steps. Example:
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

// NextTick is when the next Tick has something to do.
func (c *Core) NextTick() time.Duration { return c.nextShuffle }

// Tick removes what has expired and, when a shuffle is due, returns the call for it.
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

// oldestNeighbour returns the neighbour with the oldest version, nil if there is none. Suspected neighbours and those
// with a call in flight are left out.
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

func (c *Core) neighbourAt(addr string) *neighbour {
	for _, e := range c.neighbours {
		if e.Addr == addr {
			return e
		}
	}
	return nil
}

// expire removes what has expired, and the suspects of which no newer version came in time.
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
