package controller

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// passOverFor is how long an address that failed is passed over while there are others.
const passOverFor = 500 * time.Millisecond

// maxMembers bounds the addresses that are learnt from nodes that do not lead.
const maxMembers = 64

// directory is what a client knows of the core: the believed leader, the members, and which of them failed lately.
type directory struct {
	self string // our own address, never picked in turn

	mu      sync.Mutex
	seeds   []string
	members []string
	leader  string                   // "" when none is believed in
	failed  map[string]time.Duration // until when an address is passed over
	next    int                      // where the turn through all addresses goes on
}

func newDirectory(self string, seeds []string) *directory {
	return &directory{self: self, seeds: slices.Clone(seeds), failed: map[string]time.Duration{}, next: rand.IntN(1 << 16)}
}

// all lists every address once; the turn goes through it. The mutex is held.
func (d *directory) all() []string {
	list := make([]string, 0, len(d.members)+len(d.seeds))
	for _, addr := range slices.Concat(d.members, d.seeds) {
		if addr != d.self && !slices.Contains(list, addr) {
			list = append(list, addr)
		}
	}
	return list
}

func (d *directory) passedOver(addr string, now time.Duration) bool { return now < d.failed[addr] }

// pick gives the address to ask: the believed leader, else the next one in turn; one that failed lately only when all
// did. It is "" when no address is known.
func (d *directory) pick(now time.Duration) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leader != "" && !d.passedOver(d.leader, now) {
		return d.leader
	}
	return d.inTurn(now, "")
}

// other is pick of an address that is not except.
func (d *directory) other(now time.Duration, except string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inTurn(now, except)
}

func (d *directory) inTurn(now time.Duration, except string) string {
	list := d.all()
	soonest := ""
	for i := range list {
		addr := list[(d.next+i)%len(list)]
		if addr == except {
			continue
		}
		if !d.passedOver(addr, now) {
			d.next += i + 1
			return addr
		}
		if soonest == "" || d.failed[addr] < d.failed[soonest] {
			soonest = addr
		}
	}
	return soonest
}

// follow takes the word of the node at from that leader leads; "" for none. It tells whether to ask leader at once.
func (d *directory) follow(from, leader string, now time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if leader == from || leader == "" || d.passedOver(leader, now) {
		if d.leader == from {
			d.leader = ""
		}
		return false
	}
	d.leader = leader
	return true
}

// believes tells whether the node at addr is taken for the leader and may be asked.
func (d *directory) believes(addr string, now time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return addr != "" && addr == d.leader && !d.passedOver(addr, now)
}

// led notes that the node at addr has answered as the leader.
func (d *directory) led(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leader = addr
	delete(d.failed, addr)
}

// doubt drops the belief that the node at addr leads.
func (d *directory) doubt(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leader == addr {
		d.leader = ""
	}
}

// lost notes that the node at addr did not answer.
func (d *directory) lost(addr string, now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leader == addr {
		d.leader = ""
	}
	for old, until := range d.failed {
		if until <= now {
			delete(d.failed, old)
		}
	}
	d.failed[addr] = now + passOverFor
}

// learn takes the members that a node lists: the leader's word is all of them, another's adds to them.
func (d *directory) learn(members []string, fromLeader bool) {
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
