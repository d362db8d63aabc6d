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
	maxHeartbeatDelay = 4 * time.Second // of a heartbeat that is late
)

// buildWorkers builds the machines of both services.
func (s *simulator) buildWorkers() {
	for i := range workersPerService * 2 {
		checksCapacity := i%2 == 0
		place := i / 2
		host := &workerHost{sim: s, address: fmt.Sprintf("10.0.0.%d:80", i+1), service: serviceOpen,
			checksCapacity: checksCapacity,
			zone:           fmt.Sprintf("zone%d", place%zoneCount), rack: fmt.Sprintf("r%d", place%rackCount),
			capacity: jobs.Resources{MilliCPU: 16000, MemoryMB: 65536, GPUs: 2},
			speed:    0.8 + 0.5*s.rng.Float64(), cutFrom: map[*node]bool{}, disruptedAt: -time.Minute}
		if checksCapacity {
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

// heartbeatLoop sends heartbeats for as long as the incarnation lasts.
func (w *workerIncarnation) heartbeatLoop() {
	if !w.isUp() {
		return
	}
	w.sendHeartbeat(false, func(bool) {})
	w.host.sim.after(w.host.sim.between(heartbeatInterval*9/10, heartbeatInterval*11/10), w.heartbeatLoop)
}

// heartbeat is one heartbeat.
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
	if w.isDraining {
		call.remaining = drainTimeout
	}
	n := s.anyLeader()
	if n == nil || w.host.isCutOff { // a node that it is cut from is reached by way of another
		return
	}
	late := time.Duration(0)
	if s.chance(0.01) || s.now < w.host.heartbeatsDelayedUntil && s.chance(0.7) {
		late = s.between(0, maxHeartbeatDelay)
	}
	s.after(s.linkDelay()+late, func() {
		n.after(0, func() {
			n.receiveHeartbeat(call, func(err error) {
				s.after(s.linkDelay(), func() {
					if ok := err == nil && !w.host.isCutOff; ok && late == 0 {
						w.heartbeatAcknowledged(call, n)
						done(true)
					}
				})
			})
		})
	})
}

// heartbeatAcknowledged ends a drain some time after its first acknowledgement.
func (w *workerIncarnation) heartbeatAcknowledged(call heartbeat, _ *node) {
	if !call.worker.Draining || w.drainAcknowledgedAt != 0 || !w.isUp() {
		return
	}
	s := w.host.sim
	w.leavingAcknowledged()
	s.after(drainTimeout+s.between(100*time.Millisecond, 4*time.Second), w.leave)
}

// deregister reports that the worker leaves, without a drain before; it serves on for a while and ends.
func (w *workerIncarnation) deregister() {
	w.isLeaving, w.leavingSince = true, w.host.sim.now
	w.host.sim.trace("%s deregisters first", w.id)
	w.announceLeaving()
	w.host.sim.after(maxDrainTime, w.terminate) // also without an acknowledgement
}

func (w *workerIncarnation) announceLeaving() {
	if !w.isUp() || w.drainAcknowledgedAt != 0 {
		return
	}
	s := w.host.sim
	w.sendHeartbeat(true, func(bool) {
		if !w.isUp() || w.drainAcknowledgedAt != 0 {
			return
		}
		w.leavingAcknowledged()
		s.after(drainTimeout+s.between(100*time.Millisecond, 4*time.Second), w.terminate)
	})
	s.after(heartbeatTimeout, w.announceLeaving)
}

// leavingAcknowledged records the first acknowledgement that the worker leaves.
func (w *workerIncarnation) leavingAcknowledged() {
	s := w.host.sim
	w.drainAcknowledgedAt = s.now
	s.checker.count(DrainRule)
	if w.leavingSince >= w.host.heartbeatsUnreliableUntil {
		s.checker.checkAcknowledgement("the leaving of a worker", w.leavingSince)
	}
}

// leave reports that the worker leaves, and ends it.
func (w *workerIncarnation) leave() {
	if !w.isUp() {
		return
	}
	w.sendHeartbeat(true, func(bool) {})
	w.host.sim.after(w.host.sim.between(5*time.Millisecond, 50*time.Millisecond), w.terminate)
}

// drain begins a planned end.
func (w *workerIncarnation) drain() {
	if w.isDraining || w.isLeaving || !w.isUp() {
		return
	}
	w.isDraining, w.leavingSince = true, w.host.sim.now
	w.host.sim.trace("%s drains", w.id)
	w.host.sim.after(maxDrainTime, w.leave) // also without an acknowledgement
}

// record returns what the worker reports of itself.
func (w *workerIncarnation) record() jobs.Worker {
	host := w.host
	return jobs.Worker{ID: w.id, Address: host.address, Service: host.service, Zone: host.zone, Rack: host.rack,
		Labels: host.labels, Capacity: host.capacity, Draining: w.isDraining}
}

// anyLeader returns a node that takes itself for the leader; nil if there is none.
func (s *simulator) anyLeader() *node {
	var leading []*node
	for _, n := range s.nodes {
		if n.term != 0 && !n.isDown {
			leading = append(leading, n)
		}
	}
	if len(leading) == 0 {
		return nil
	}
	return leading[s.rng.IntN(len(leading))]
}

// readTable reads the table if this node may answer for it, as controller.Leader.readTable.
func (n *node) readTable() (table *jobs.Table, term uint64, err error) {
	term, isLeader := n.leadTerm()
	removed := n.sim.options.WithoutGuard
	if (removed == NoLeaseCheck || removed == OldLeadersAnswer) && n.core.Term() != 0 {
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

// receiveHeartbeat handles a heartbeat, as controller.Leader.Heartbeat.
func (n *node) receiveHeartbeat(call heartbeat, done func(error)) {
	table, term, err := n.readTable()
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
	} else if call.sequence < n.newestHeartbeat[worker.ID] && n.sim.options.WithoutGuard != StaleHeartbeatsCount {
		done(nil)
		return
	} else {
		n.newestHeartbeat[worker.ID] = call.sequence
	}
	finish := func(err error) {
		if err == nil && !call.leaving {
			n.deliver(func(c *scheduler.Core, now time.Duration) { c.Heartbeat(now, worker.ID, call.clock) })
		}
		done(err)
	}
	countsStale := n.sim.options.WithoutGuard == StaleHeartbeatsCount
	if known != nil && !changedWorker(known, &worker) && (!countsStale || known.Draining == worker.Draining) {
		finish(nil)
		return
	}
	n.sim.log.propose(n, term, jobs.Register{Workers: []jobs.Worker{worker}}, func(_ any, err error) { finish(err) })
}

func changedWorker(known, done *jobs.Worker) bool {
	return known.Address != done.Address || done.Draining && !known.Draining || done.Left && !known.Left
}
