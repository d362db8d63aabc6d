package jobssim

import (
	"fmt"
	"time"

	"crosstide/internal/controller/scheduler"
	"crosstide/internal/errs"
	"crosstide/internal/jobs"
)

const (
	heartbeatInterval = 500 * time.Millisecond
	heartbeatTimeout  = time.Second
	maxHeartbeatDelay = 4 * time.Second // how late a heartbeat may come
)

// buildWorkers makes the machines of both services.
func (s *simulator) buildWorkers() {
	for i := range workersPerService * 2 {
		guards := i%2 == 0
		place := i / 2
		host := &workerHost{sim: s, address: fmt.Sprintf("10.0.0.%d:80", i+1), service: serviceOpen, guards: guards,
			zone: fmt.Sprintf("zone%d", place%zoneCount), rack: fmt.Sprintf("r%d", place%rackCount),
			capacity: jobs.Resources{MilliCPU: 16000, MemoryMB: 65536, GPUs: 2},
			speed:    0.8 + 0.5*s.rng.Float64(), cutFrom: map[*node]bool{}, disruptedAt: -time.Minute}
		if guards {
			host.service = serviceGuards
		}
		host.labels = []string{"kind" + string(rune('a'+place%2)), host.rack}
		host.kinds = [2]string{host.labels[0], "kind" + string(rune('a'+(place+1)%2))}
		s.hosts = append(s.hosts, host)
		s.after(s.between(0, heartbeatInterval), host.startWorker)
	}
}

const (
	serviceGuards     = "guarding"
	serviceOpen       = "open"
	workersPerService = 8
	zoneCount         = 3
	rackCount         = 4
)

func (s *simulator) hostAt(address string) *workerHost {
	for _, host := range s.hosts {
		if host.address == address {
			return host
		}
	}
	return nil
}

// heartbeatLoop sends heartbeats for as long as the life lasts.
func (w *workerIncarnation) heartbeatLoop() {
	if !w.up() {
		return
	}
	w.sendHeartbeat(false, func(bool) {})
	w.host.sim.after(w.host.sim.between(heartbeatInterval*9/10, heartbeatInterval*11/10), w.heartbeatLoop)
}

// heartbeat is a heartbeat as it was sent.
type heartbeat struct {
	worker    jobs.Worker
	sequence  uint64
	clock     time.Duration
	remaining time.Duration
	leaving   bool
}

// sendHeartbeat sends one heartbeat to a node that may lead.
func (w *workerIncarnation) sendHeartbeat(leaving bool, done func(ok bool)) {
	s := w.host.sim
	w.heartbeatSequence++
	call := heartbeat{worker: w.record(), sequence: w.heartbeatSequence, clock: w.clock(), leaving: leaving}
	if w.draining {
		call.remaining = drainTimeout
	}
	n := s.anyLeader()
	if n == nil || w.host.cut { // a node that it is cut from is reached by way of another
		return
	}
	late := time.Duration(0)
	if s.chance(0.01) || s.now < w.host.heartbeatsDelayedUntil && s.chance(0.7) {
		late = s.between(0, maxHeartbeatDelay)
	}
	s.after(s.link()+late, func() {
		n.do(0, func() {
			n.receiveHeartbeat(call, func(err error) {
				s.after(s.link(), func() {
					if ok := err == nil && !w.host.cut; ok && late == 0 {
						w.heartbeatAcknowledged(call, n)
						done(true)
					}
				})
			})
		})
	})
}

// heartbeatAcknowledged counts the time of a drain from its first acknowledgement.
func (w *workerIncarnation) heartbeatAcknowledged(call heartbeat, _ *node) {
	if !call.worker.Draining || w.drainAcknowledgedAt != 0 || !w.up() {
		return
	}
	s := w.host.sim
	w.leavingAcknowledged()
	s.after(drainTimeout+s.between(100*time.Millisecond, 4*time.Second), w.leave)
}

// deregister says that the worker ends, without saying that it drains, serves on for a while and ends.
func (w *workerIncarnation) deregister() {
	w.leaving, w.leavingSince = true, w.host.sim.now
	w.host.sim.trace("%s deregisters first", w.id)
	w.announceLeaving()
	w.host.sim.after(plannedEnd, w.die) // also without an acknowledgement
}

func (w *workerIncarnation) announceLeaving() {
	if !w.up() || w.drainAcknowledgedAt != 0 {
		return
	}
	s := w.host.sim
	w.sendHeartbeat(true, func(bool) {
		if !w.up() || w.drainAcknowledgedAt != 0 {
			return
		}
		w.leavingAcknowledged()
		s.after(drainTimeout+s.between(100*time.Millisecond, 4*time.Second), w.die)
	})
	s.after(heartbeatTimeout, w.announceLeaving)
}

// leavingAcknowledged takes in the acknowledgement of the worker's leaving.
func (w *workerIncarnation) leavingAcknowledged() {
	s := w.host.sim
	w.drainAcknowledgedAt = s.now
	s.invariantChecker.count(DrainRule)
	if w.leavingSince >= w.host.heartbeatsUnreliableUntil {
		s.invariantChecker.acknowledged("the leaving of a worker", w.leavingSince)
	}
}

// leave says that the worker ends, and ends it.
func (w *workerIncarnation) leave() {
	if !w.up() {
		return
	}
	w.sendHeartbeat(true, func(bool) {})
	w.host.sim.after(w.host.sim.between(5*time.Millisecond, 50*time.Millisecond), w.die)
}

// drain begins a planned end.
func (w *workerIncarnation) drain() {
	if w.draining || w.leaving || !w.up() {
		return
	}
	w.draining, w.leavingSince = true, w.host.sim.now
	w.host.sim.trace("%s drains", w.id)
	w.host.sim.after(plannedEnd, w.leave) // also without an acknowledgement
}

// record is what the worker tells of itself.
func (w *workerIncarnation) record() jobs.Worker {
	host := w.host
	return jobs.Worker{ID: w.id, Address: host.address, Service: host.service, Zone: host.zone, Rack: host.rack,
		Labels: host.labels, Capacity: host.capacity, Draining: w.draining}
}

// anyLeader gives a node that takes itself for the leader; nil if there is none.
func (s *simulator) anyLeader() *node {
	var leading []*node
	for _, n := range s.nodes {
		if n.term != 0 && !n.down {
			leading = append(leading, n)
		}
	}
	if len(leading) == 0 {
		return nil
	}
	return leading[s.rng.IntN(len(leading))]
}

// look reads the table if this node may answer for it, as controller.Leader.look.
func (n *node) look() (table *jobs.Table, term uint64, err error) {
	term, isLeader := n.leadTerm()
	if without := n.sim.opt.Break; (without == NoLeaseCheck || without == OldLeadersAnswer) && n.core.Term() != 0 {
		term, isLeader = n.core.Term(), true
	}
	switch {
	case term == 0:
		return nil, 0, errs.New(errs.NotLeader, "this node does not lead")
	case !isLeader:
		return nil, term, errs.New(errs.Unavailable, "the lead cannot be confirmed now")
	}
	return n.table, term, nil
}

// receiveHeartbeat takes a heartbeat in, as controller.Leader.Beat.
func (n *node) receiveHeartbeat(call heartbeat, done func(error)) {
	table, term, err := n.look()
	if err != nil {
		done(err)
		return
	}
	worker := call.worker
	known := table.Workers[worker.ID]
	if call.leaving {
		if known != nil && known.Left {
			done(nil)
			return
		}
		worker = jobs.Worker{ID: worker.ID}
		if known != nil {
			worker = *known
		}
		worker.Left = true
	} else if call.sequence < n.beats[worker.ID] && n.sim.opt.Break != StaleHeartbeatsCount {
		done(nil)
		return
	} else {
		n.beats[worker.ID] = call.sequence
	}
	finish := func(err error) {
		if err == nil && !call.leaving {
			n.deliver(func(c *scheduler.Core, now time.Duration) { c.Heartbeat(now, worker.ID, call.clock) })
		}
		done(err)
	}
	if known != nil && !changedWorker(known, &worker) && (n.sim.opt.Break != StaleHeartbeatsCount || known.Draining == worker.Draining) {
		finish(nil)
		return
	}
	n.sim.log.propose(n, term, jobs.Register{Workers: []jobs.Worker{worker}}, func(_ any, err error) { finish(err) })
}

func changedWorker(known, done *jobs.Worker) bool {
	return known.Address != done.Address || done.Draining && !known.Draining || done.Left && !known.Left
}
