package jobssim

import (
	"fmt"
	"slices"
	"time"
)

// majorityWithoutAll reports whether the core can go on without some nodes.
func (s *simulator) majorityWithoutAll(lost []*node) bool {
	running := 0
	for _, n := range s.nodes {
		if n.isRunning() && !slices.Contains(lost, n) {
			running++
		}
	}
	return running > len(s.nodes)/2
}

// killNodes kills processes of the core, which leave a majority, and starts them again after a while.
func (s *simulator) killNodes(lost []*node, back time.Duration) {
	election := time.Duration(0)
	if slices.Contains(lost, s.log.leader) {
		s.log.lose()
		election = s.between(minElectionTime, maxElectionTime)
		s.after(election, s.log.elect)
	}
	for _, n := range lost {
		if !n.isDown {
			n.kill()
			s.after(back, n.startProcess)
		}
	}
	s.markCoreDisrupted(s.now + max(back, election) + 300*time.Millisecond)
}

// wipeMember kills a member of the core, which may be the leader, and starts it again with an empty disk.
func (s *simulator) wipeMember() bool {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	if n.isDown || !s.majorityWithoutAll([]*node{n}) {
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
	for _, host := range s.hosts {
		if host.zone == fmt.Sprintf("zone%d", number) {
			s.crashHost(host, back)
		}
	}
	return true
}

// crashHost ends what runs on a host and starts another incarnation after a while.
func (s *simulator) crashHost(host *workerHost, back time.Duration) {
	w := host.current
	if w == nil {
		return
	}
	host.disruptedAt = max(host.disruptedAt, s.now+back)
	s.markDisrupted(s.now + back)
	w.terminate()
	s.after(back+s.between(0, 500*time.Millisecond), host.startWorker)
}

// loseRack cuts all workers of a rack off, or takes their power.
func (s *simulator) loseRack(rack string) {
	back, power := s.between(time.Second, 8*time.Second), s.chance(0.5)
	for _, host := range s.hosts {
		switch {
		case host.rack != rack || host.current == nil:
		case power:
			s.crashHost(host, back)
		default:
			host.disruptedAt = max(host.disruptedAt, s.now+back)
			s.checker.workerLost(host.current)
			host.cutFor(back)
		}
	}
	s.markDisrupted(s.now + back)
}

// killMany kills half of all workers and as many members of the core as leave a majority, the leader among them, at
// once.
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
	for _, host := range s.hosts {
		if s.chance(0.5) {
			s.crashHost(host, s.between(300*time.Millisecond, 3*time.Second))
		}
	}
	return true
}

// flap ends and starts incarnations on a host by turns.
func (host *workerHost) flap(until time.Duration) {
	s := host.sim
	if s.now >= until || s.now >= s.options.DisruptionPeriod {
		return
	}
	host.disruptedAt = max(host.disruptedAt, until)
	s.crashHost(host, s.between(300*time.Millisecond, time.Second))
	s.after(s.between(1500*time.Millisecond, 3*time.Second), func() { host.flap(until) })
}
