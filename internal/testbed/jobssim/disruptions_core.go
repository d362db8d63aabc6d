package jobssim

import (
	"fmt"
	"slices"
	"time"
)

// majorityWithoutAll reports whether the running nodes that are not in lost are a majority.
func (s *simulator) majorityWithoutAll(lost []*node) bool {
	running := 0
	for _, n := range s.nodes {
		if n.isRunning() && !slices.Contains(lost, n) {
			running++
		}
	}
	return running > len(s.nodes)/2
}

// killNodes kills the processes of some nodes and starts them again after downtime. The other nodes must be a majority.
func (s *simulator) killNodes(lost []*node, downtime time.Duration) {
	election := time.Duration(0)
	if slices.Contains(lost, s.log.leader) {
		s.log.endLeadership()
		election = s.between(minElectionTime, maxElectionTime)
		s.after(election, s.log.elect)
	}
	for _, n := range lost {
		if !n.isDown {
			n.kill()
			s.after(downtime, n.startProcess)
		}
	}
	s.markCoreDisrupted(s.now + max(downtime, election) + 300*time.Millisecond)
}

// wipeMember kills a random node, possibly the leader, and starts it again with an empty disk.
func (s *simulator) wipeMember() bool {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	if n.isDown || !s.majorityWithoutAll([]*node{n}) {
		return false
	}
	s.killNodes([]*node{n}, s.between(time.Second, 4*time.Second))
	n.wipe()
	return true
}

// loseZone kills all nodes and workers in a zone, as a power failure does.
func (s *simulator) loseZone() bool {
	zone := s.rng.IntN(zoneCount)
	var lost []*node
	for i, n := range s.nodes {
		if i%zoneCount == zone {
			lost = append(lost, n)
		}
	}
	if !s.majorityWithoutAll(lost) {
		return false
	}
	downtime := s.between(time.Second, 6*time.Second)
	s.killNodes(lost, downtime)
	for _, host := range s.hosts {
		if host.zone == fmt.Sprintf("zone%d", zone) {
			s.crashHost(host, downtime)
		}
	}
	return true
}

// crashHost ends the worker on a host and starts another incarnation after downtime.
func (s *simulator) crashHost(host *workerHost, downtime time.Duration) {
	w := host.current
	if w == nil {
		return
	}
	host.disruptedUntil = max(host.disruptedUntil, s.now+downtime)
	s.markDisrupted(s.now + downtime)
	w.terminate()
	s.after(downtime+s.between(0, 500*time.Millisecond), host.startWorker)
}

// loseRack either disconnects or kills all workers of a rack.
func (s *simulator) loseRack(rack string) {
	duration, losesPower := s.between(time.Second, 8*time.Second), s.chance(0.5)
	for _, host := range s.hosts {
		switch {
		case host.rack != rack || host.current == nil:
		case losesPower:
			s.crashHost(host, duration)
		default:
			host.disruptedUntil = max(host.disruptedUntil, s.now+duration)
			s.checker.workerLost(host.current)
			host.cutFor(duration)
		}
	}
	s.markDisrupted(s.now + duration)
}

// killMany kills about half of the workers at once, together with the leader and as many other nodes as possible while
// a majority remains.
func (s *simulator) killMany() bool {
	leader := s.log.leader
	if leader == nil {
		return false
	}
	lost := []*node{leader}
	for _, n := range s.nodes {
		if candidates := append(slices.Clone(lost), n); n != leader && s.majorityWithoutAll(candidates) {
			lost = candidates
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

// flap repeatedly ends the worker on a host and starts another incarnation.
func (host *workerHost) flap(until time.Duration) {
	s := host.sim
	if s.now >= until || s.now >= s.options.DisruptionPeriod {
		return
	}
	host.disruptedUntil = max(host.disruptedUntil, until)
	s.crashHost(host, s.between(300*time.Millisecond, time.Second))
	s.after(s.between(1500*time.Millisecond, 3*time.Second), func() { host.flap(until) })
}
