package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Core is the membership protocol of one node, as a deterministic state machine without clock, sockets or goroutines.
// The argument now of its methods is a reading of the node's clock, which includes suspended time and never goes
// backwards. A Core is not safe for concurrent use.
type Core struct {
	cfg        Config
	self       Member // Age is 0; Heartbeat rises with each message, Incarnation if a newer version of self is received
	random     *rand.Rand
	neighbours []*neighbour          // the partial view: at most ViewSize, names unique, never self
	directory  []*neighbour          // the known control-plane nodes: at most DirectorySize, names unique, never self
	tombstones map[string]*tombstone // by name, at most MaxTombstones

	nextShuffle time.Duration
	round       int // number of times that Tick was due
	seeds       seedRotation
	pending     map[uint64]*pendingCall // calls whose outcome is not known yet, by ID
	lastCallID  uint64

	leaving  bool     // Leave was called
	changes  []Change // of the directory since the last call to Changes
	Counters Counters // read by the owner
}

// Counters are totals since New.
type Counters struct {
	Shuffles   uint64 // shuffles sent, visits to seeds included
	Failures   uint64 // shuffles sent that failed
	SeedVisits uint64
	Received   uint64 // shuffles received from other nodes
	Suspects   uint64 // neighbours that became suspected
	Dropped    uint64 // suspects that were removed
}

// neighbour is another node that this one knows, at the newest version received. The directory has entries of this
// type too.
type neighbour struct {
	Member                     // Age is 0: the age follows from sentAt
	sentAt       time.Duration // when the node itself sent this version, on this node's clock
	suspected    bool          // a call to it failed, and no newer version has been received since
	suspectSince time.Duration // valid while suspected
}

// memberAt returns the member with its age at now, in the form that is sent.
func (e *neighbour) memberAt(now time.Duration) Member {
	m := e.Member
	m.Age = max(0, (now - e.sentAt).Milliseconds())
	return m
}

// tombstone marks a version of a node and all older ones as ended, so that copies that other nodes still pass on are
// not stored again.
type tombstone struct {
	Member
	sentAt time.Duration // of the version, as in neighbour
	left   bool          // the node announced its departure: the whole incarnation has ended
}

// New returns the Core of self, which initially knows only the addresses of its seeds. It is deterministic: the same
// randomSeed and the same calls produce the same results. Example:
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

// NextTick returns when Tick is due next. Only Tick changes it.
func (c *Core) NextTick() time.Duration { return c.nextShuffle }

// Tick removes expired state and returns the call of a shuffle: with a seed if a visit is due, otherwise with the
// neighbour whose version is the oldest. It returns nil if there is neither, before NextTick, and after Leave.
func (c *Core) Tick(now time.Duration) []Call {
	if now < c.nextShuffle || c.leaving {
		return nil
	}
	c.nextShuffle = now + c.cfg.ShuffleInterval*time.Duration(90+c.random.IntN(21))/100
	c.round++
	c.expire(now)
	target := c.oldestNeighbour()
	if addr := c.takeDueSeed(target); addr != "" {
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

// oldestNeighbour returns the neighbour with the oldest version, or nil. It skips suspected neighbours and those with a
// call in flight.
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

// neighbourAt returns the neighbour at addr, or nil.
func (c *Core) neighbourAt(addr string) *neighbour {
	for _, e := range c.neighbours {
		if e.Addr == addr {
			return e
		}
	}
	return nil
}

// expire removes suspects without a newer version for SuspectTimeout, and adds a tombstone for each. It also removes
// neighbours and pending calls older than MemberTTL, directory entries older than DirectoryTTL, and tombstones once
// every copy of their version has expired.
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
