package controller

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// failureBackoff is how long an address that failed is not picked while there are others.
	failureBackoff = 500 * time.Millisecond
	// maxMembers bounds the addresses that are learnt from nodes that do not lead.
	maxMembers = 64
)

// directory is what a client knows of the control plane: the presumed leader, the members, and which of them failed
// lately. It is safe for concurrent use.
type directory struct {
	self string // the own address, never in the rotation

	mu           sync.Mutex
	seeds        []string
	members      []string
	leader       string                   // "" if none is presumed
	backoffUntil map[string]time.Duration // of the addresses that failed lately
	rotation     int                      // index of the next address in addresses, modulo its length
}

// newDirectory begins the rotation at random, so that clients that start together spread over the core.
func newDirectory(self string, seeds []string) *directory {
	return &directory{
		self:         self,
		seeds:        slices.Clone(seeds),
		backoffUntil: map[string]time.Duration{},
		rotation:     rand.IntN(1 << 16),
	}
}

// addresses lists every address of the rotation once. The mutex is held.
func (d *directory) addresses() []string {
	list := make([]string, 0, len(d.members)+len(d.seeds))
	for _, addr := range slices.Concat(d.members, d.seeds) {
		if addr != d.self && !slices.Contains(list, addr) {
			list = append(list, addr)
		}
	}
	return list
}

// isBackedOff reports whether the node at addr failed lately. The mutex is held.
func (d *directory) isBackedOff(addr string, now time.Duration) bool {
	return now < d.backoffUntil[addr]
}

// pick returns the address to ask: the presumed leader, else the next one in rotation; one that failed lately only if
// all did. It is "" if no address is known.
func (d *directory) pick(now time.Duration) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leader != "" && !d.isBackedOff(d.leader, now) {
		return d.leader
	}
	return d.nextInRotation(now, "")
}

// pickOther returns the next address in rotation that is not except.
func (d *directory) pickOther(now time.Duration, except string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.nextInRotation(now, except)
}

// nextInRotation returns the next address that is not backed off, else the one whose backoff ends first. The mutex is
// held.
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

// followHint presumes the leader that the node at from named, "" if it named none. A hint that names the node itself,
// or one that failed lately, only ends the presumption that the node at from leads.
func (d *directory) followHint(from, leader string, now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if leader == from || leader == "" || d.isBackedOff(leader, now) {
		if d.leader == from {
			d.leader = ""
		}
		return
	}
	d.leader = leader
}

// isLeader reports whether the node at addr is presumed to lead and is not backed off.
func (d *directory) isLeader(addr string, now time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return addr != "" && addr == d.leader && !d.isBackedOff(addr, now)
}

// recordLeader records that the node at addr has answered as the leader.
func (d *directory) recordLeader(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leader = addr
	delete(d.backoffUntil, addr)
}

// clearLeader ends the presumption that the node at addr leads.
func (d *directory) clearLeader(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leader == addr {
		d.leader = ""
	}
}

// recordFailure records that the node at addr did not answer: it is backed off.
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

// updateMembers records the members that a node lists: the leader's list replaces the known ones, another node's adds
// to them.
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
