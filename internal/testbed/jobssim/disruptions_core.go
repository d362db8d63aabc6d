package jobssim

import (
	"fmt"
	"slices"
	"time"
)

// majorityWithoutAll tells whether the core can go on without some nodes.
func (s *simulator) majorityWithoutAll(lost []*node) bool {
	able := 0
	for _, n := range s.nodes {
		if n.able() && !slices.Contains(lost, n) {
			able++
		}
	}
	return able > len(s.nodes)/2
}

// killNodes kills processes of the core, which leave a majority, and starts them again after a while.
func (s *simulator) killNodes(lost []*node, back time.Duration) {
	election := time.Duration(0)
	if slices.Contains(lost, s.log.leader) {
		s.log.lose()
		election = s.between(electionLeast, electionMost)
		s.after(election, s.log.elect)
	}
	for _, n := range lost {
		if !n.down {
			n.kill()
			s.after(back, n.boot)
		}
	}
	s.coreDisturbed(s.now + max(back, election) + 300*time.Millisecond)
}

// wipeMember ends a member of the core, the leader now and then, and starts it again with an empty disk.
func (s *simulator) wipeMember() bool {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	if n.down || !s.majorityWithoutAll([]*node{n}) {
		return false
	}
	s.killNodes([]*node{n}, s.between(time.Second, 4*time.Second))
	n.wipe()
	return true
}

// loseZone takes the power from all that stands in a zone.
func (s *simulator) loseZone() bool {
	number := s.rng.IntN(zoneCount)
	var lost []*node
	for i, n := range s.nodes {
		if i%zoneCount == number {
			lost = append(lost, n)
		}
	}
	if !s.majorityWithoutAll(lost) {
		return false
	}
	back := s.between(time.Second, 6*time.Second)
	s.killNodes(lost, back)
	for _, sl := range s.slots {
		if sl.zone == fmt.Sprintf("zone%d", number) {
			s.crashSlot(sl, back)
		}
	}
	return true
}

// crashSlot ends what runs at a slot and starts another life after a while.
func (s *simulator) crashSlot(sl *slot, back time.Duration) {
	w := sl.current
	if w == nil {
		return
	}
	sl.troubled = max(sl.troubled, s.now+back)
	s.disturbed(s.now + back)
	w.die()
	s.after(back+s.between(0, 500*time.Millisecond), sl.newLife)
}

// loseRack cuts all workers of a rack off, or takes their power.
func (s *simulator) loseRack(rack string) {
	back, power := s.between(time.Second, 8*time.Second), s.chance(0.5)
	for _, sl := range s.slots {
		switch {
		case sl.rack != rack || sl.current == nil:
		case power:
			s.crashSlot(sl, back)
		default:
			sl.troubled = max(sl.troubled, s.now+back)
			s.oracle.died(sl.current)
			sl.cutFor(back)
		}
	}
	s.disturbed(s.now + back)
}

// killMany kills half of all workers and the most members of the core that it bears, the leader among them, at one
// moment.
func (s *simulator) killMany() bool {
	leader := s.log.leader
	if leader == nil {
		return false
	}
	lost := []*node{leader}
	for _, n := range s.nodes {
		if more := append(slices.Clone(lost), n); n != leader && s.majorityWithoutAll(more) {
			lost = more
		}
	}
	if !s.majorityWithoutAll(lost) {
		return false
	}
	s.killNodes(lost, s.between(300*time.Millisecond, 3*time.Second))
	for _, sl := range s.slots {
		if s.chance(0.5) {
			s.crashSlot(sl, s.between(300*time.Millisecond, 3*time.Second))
		}
	}
	return true
}

// flap lets the lives at a slot end and begin by turns.
func (sl *slot) flap(until time.Duration) {
	s := sl.sim
	if s.now >= until || s.now >= s.opt.For {
		return
	}
	sl.troubled = max(sl.troubled, until)
	s.crashSlot(sl, s.between(300*time.Millisecond, time.Second))
	s.after(s.between(1500*time.Millisecond, 3*time.Second), func() { sl.flap(until) })
}
