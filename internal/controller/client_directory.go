package controller

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// failureBackoff is how long an address is avoided after a failure while others are available.
	failureBackoff = 500 * time.Millisecond
	// maxMembers bounds the addresses learned from nodes that are not the leader.
	maxMembers = 64
)

// directory caches a client's view of the control plane: the presumed leader, the members, and which of them are backed
// off after a failure. It is safe for concurrent use.
type directory struct {
	self string // own address, excluded from the rotation

	mu           sync.Mutex
	seeds        []string
	members      []string
	leader       string                   // "" if unknown
	backoffUntil map[string]time.Duration // by address, for those that failed recently
	rotation     int                      // index of the next address in addresses, modulo its length
}

// newDirectory returns a directory whose rotation starts at a random address, so that clients that start together
// spread over the control-plane nodes.
func newDirectory(self string, seeds []string) *directory {
	return &directory{
		self:         self,
		seeds:        slices.Clone(seeds),
		backoffUntil: map[string]time.Duration{},
		rotation:     rand.IntN(1 << 16),
	}
}

// addresses returns the distinct addresses of the rotation. d.mu must be held.
func (d *directory) addresses() []string {
	list := make([]string, 0, len(d.members)+len(d.seeds))
	for _, addr := range slices.Concat(d.members, d.seeds) {
		if addr != d.self && !slices.Contains(list, addr) {
			list = append(list, addr)
		}
	}
	return list
}

// isBackedOff reports whether the node at addr failed within the last failureBackoff. d.mu must be held.
func (d *directory) isBackedOff(addr string, now time.Duration) bool {
	return now < d.backoffUntil[addr]
}

// pick returns the address for the next attempt: the presumed leader unless it is backed off, else the next one in
// rotation. An address that is backed off is returned only if all are; "" if no address is known.
func (d *directory) pick(now time.Duration) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leader != "" && !d.isBackedOff(d.leader, now) {
		return d.leader
	}
	return d.nextInRotation(now, "")
}

// pickOther returns the next address in rotation other than except, or "" if no other address is known.
func (d *directory) pickOther(now time.Duration, except string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.nextInRotation(now, except)
}

// nextInRotation returns the next address that is not backed off, or, if all are, the one whose backoff ends first.
// d.mu must be held.
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

// followHint records leader, which the node at from has named, as the presumed leader. A hint is not followed if it is
// empty or names from itself or a node that is backed off: it then only clears the presumed leader if that is from.
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

// isLeader reports whether the node at addr is the presumed leader and is not backed off.
func (d *directory) isLeader(addr string, now time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return addr != "" && addr == d.leader && !d.isBackedOff(addr, now)
}

// recordLeader records that the node at addr answered as the leader.
func (d *directory) recordLeader(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leader = addr
	delete(d.backoffUntil, addr)
}

// clearLeader clears the presumed leader if it is the node at addr.
func (d *directory) clearLeader(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leader == addr {
		d.leader = ""
	}
}

// recordFailure backs off the node at addr, which did not answer.
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

// updateMembers records the members that a node listed. The leader's list replaces the known members; the list of any
// other node adds to them.
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
