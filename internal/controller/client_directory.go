package controller

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// failureBackoff is how long an address that failed is passed over while there are others.
const failureBackoff = 500 * time.Millisecond

// maxMembers bounds the addresses that are learnt from nodes that do not lead.
const maxMembers = 64

// directory is what a client knows of the core: the believed leader, the members, and which of them failed lately.
type directory struct {
	self string // our own address, never picked in turn

	mu           sync.Mutex
	seeds        []string
	members      []string
	leader       string                   // "" when none is believed in
	backoffUntil map[string]time.Duration // until when an address is passed over
	rotation     int                      // where the turn through all addresses goes on
}

func newDirectory(self string, seeds []string) *directory {
	return &directory{self: self, seeds: slices.Clone(seeds), backoffUntil: map[string]time.Duration{}, rotation: rand.IntN(1 << 16)}
}

// addresses lists every address once; the turn goes through it. The mutex is held.
func (d *directory) addresses() []string {
	list := make([]string, 0, len(d.members)+len(d.seeds))
	for _, addr := range slices.Concat(d.members, d.seeds) {
		if addr != d.self && !slices.Contains(list, addr) {
			list = append(list, addr)
		}
	}
	return list
}

func (d *directory) isBackedOff(addr string, now time.Duration) bool {
	return now < d.backoffUntil[addr]
}

// pick gives the address to ask: the believed leader, else the next one in turn; one that failed lately only when all
// did. It is "" when no address is known.
func (d *directory) pick(now time.Duration) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leader != "" && !d.isBackedOff(d.leader, now) {
		return d.leader
	}
	return d.nextInRotation(now, "")
}

// pickOther is pick of an address that is not except.
func (d *directory) pickOther(now time.Duration, except string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.nextInRotation(now, except)
}

func (d *directory) nextInRotation(now time.Duration, except string) string {
	list := d.addresses()
	soonest := ""
	for i := range list {
		addr := list[(d.rotation+i)%len(list)]
		if addr == except {
			continue
		}
		if !d.isBackedOff(addr, now) {
			d.rotation += i + 1
			return addr
		}
		if soonest == "" || d.backoffUntil[addr] < d.backoffUntil[soonest] {
			soonest = addr
		}
	}
	return soonest
}

// followHint takes the word of the node at from that leader leads; "" for none. It tells whether to ask leader at once.
func (d *directory) followHint(from, leader string, now time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if leader == from || leader == "" || d.isBackedOff(leader, now) {
		if d.leader == from {
			d.leader = ""
		}
		return false
	}
	d.leader = leader
	return true
}

// isLeader tells whether the node at addr is taken for the leader and may be asked.
func (d *directory) isLeader(addr string, now time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return addr != "" && addr == d.leader && !d.isBackedOff(addr, now)
}

// lastLeaderAt notes that the node at addr has answered as the leader.
func (d *directory) recordLeader(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leader = addr
	delete(d.backoffUntil, addr)
}

// clearLeader drops the belief that the node at addr leads.
func (d *directory) clearLeader(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leader == addr {
		d.leader = ""
	}
}

// recordFailure notes that the node at addr did not answer.
func (d *directory) recordFailure(addr string, now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leader == addr {
		d.leader = ""
	}
	for old, until := range d.backoffUntil {
		if until <= now {
			delete(d.backoffUntil, old)
		}
	}
	d.backoffUntil[addr] = now + failureBackoff
}

// updateMembers takes the members that a node lists: the leader's word is all of them, another's adds to them.
func (d *directory) updateMembers(members []string, fromLeader bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if fromLeader && len(members) > 0 {
		d.members = slices.Clone(members)
		return
	}
	for _, addr := range members {
		if len(d.members) < maxMembers && !slices.Contains(d.members, addr) {
			d.members = append(d.members, addr)
		}
	}
}

func (d *directory) setSeeds(seeds []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seeds = slices.Clone(seeds)
}
