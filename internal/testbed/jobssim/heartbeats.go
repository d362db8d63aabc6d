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
	maxHeartbeatDelay = 4 * time.Second // of a late heartbeat
)

// buildWorkers creates the hosts of both services and starts their workers.
func (s *simulator) buildWorkers() {
	for i := range workersPerService * 2 {
		checksCapacity := i%2 == 0
		place := i / 2
		host := &workerHost{sim: s, address: fmt.Sprintf("10.0.0.%d:80", i+1), service: serviceOpen,
			checksCapacity: checksCapacity,
			zone:           fmt.Sprintf("zone%d", place%zoneCount), rack: fmt.Sprintf("r%d", place%rackCount),
			capacity:       jobs.Resources{MilliCPU: 16000, MemoryMB: 65536, GPUs: 2},
			durationFactor: 0.8 + 0.5*s.rng.Float64(), cutFrom: map[*node]bool{}, disruptedUntil: -time.Minute}
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
	serviceGuards     = "guarding" // its workers check their capacity
	serviceOpen       = "open"     // its workers do not check their capacity
	workersPerService = 8
	zoneCount         = 3
	rackCount         = 4
)

// hostAt returns the host with the given address, or nil.
func (s *simulator) hostAt(address string) *workerHost {
	for _, host := range s.hosts {
		if host.address == address {
			return host
		}
	}
	return nil
}

// heartbeatLoop sends heartbeats until the incarnation ends.
func (w *workerIncarnation) heartbeatLoop() {
	if !w.isUp() {
		return
	}
	w.sendHeartbeat(false, func(bool) {})
	w.host.sim.after(w.host.sim.between(heartbeatInterval*9/10, heartbeatInterval*11/10), w.heartbeatLoop)
}

// heartbeat is the report that a worker sends to the leader at intervals.
type heartbeat struct {
	worker    jobs.Worker
	sequence  uint64
	clock     time.Duration
	remaining time.Duration
	leaving   bool
}

// sendHeartbeat sends a heartbeat to a node that considers itself the leader. done is called when a heartbeat that was
// not delayed is acknowledged.
func (w *workerIncarnation) sendHeartbeat(leaving bool, done func(ok bool)) {
	s := w.host.sim
	w.heartbeatSequence++
	call := heartbeat{worker: w.record(), sequence: w.heartbeatSequence, clock: w.clock(), leaving: leaving}
	if w.isDraining {
		call.remaining = drainTimeout
	}
	n := s.anyLeader()
	if n == nil || w.host.isCutOff { // cutFrom is ignored: another node relays the heartbeat
		return
	}
	delay := time.Duration(0)
	if s.chance(0.01) || s.now < w.host.heartbeatsDelayedUntil && s.chance(0.7) {
		delay = s.between(0, maxHeartbeatDelay)
	}
	s.after(s.linkDelay()+delay, func() {
		n.after(0, func() {
			n.receiveHeartbeat(call, func(err error) {
				s.after(s.linkDelay(), func() {
					if ok := err == nil && !w.host.isCutOff; ok && delay == 0 {
						w.heartbeatAcknowledged(call, n)
						done(true)
					}
				})
			})
		})
	})
}

// heartbeatAcknowledged makes a draining worker leave some time after its drain was first acknowledged.
func (w *workerIncarnation) heartbeatAcknowledged(call heartbeat, _ *node) {
	if !call.worker.Draining || w.leavingAcknowledgedAt != 0 || !w.isUp() {
		return
	}
	s := w.host.sim
	w.leavingAcknowledged()
	s.after(drainTimeout+s.between(100*time.Millisecond, 4*time.Second), w.leave)
}

// deregister reports that the worker leaves, without an earlier drain. The worker executes orders for a while longer.
func (w *workerIncarnation) deregister() {
	w.isLeaving, w.leavingSince = true, w.host.sim.now
	w.host.sim.trace("%s deregisters first", w.id)
	w.announceLeaving()
	w.host.sim.after(maxDrainTime, w.terminate) // also without an acknowledgement
}

// announceLeaving sends heartbeats that report the departure until one is acknowledged.
func (w *workerIncarnation) announceLeaving() {
	if !w.isUp() || w.leavingAcknowledgedAt != 0 {
		return
	}
	s := w.host.sim
	w.sendHeartbeat(true, func(bool) {
		if !w.isUp() || w.leavingAcknowledgedAt != 0 {
			return
		}
		w.leavingAcknowledged()
		s.after(drainTimeout+s.between(100*time.Millisecond, 4*time.Second), w.terminate)
	})
	s.after(heartbeatTimeout, w.announceLeaving)
}

// leavingAcknowledged records the first acknowledgement that the worker drains or leaves.
func (w *workerIncarnation) leavingAcknowledged() {
	s := w.host.sim
	w.leavingAcknowledgedAt = s.now
	s.checker.countCase(DrainInvariant)
	if w.leavingSince >= w.host.heartbeatsUnreliableUntil {
		s.checker.checkAcknowledgement("the departure of a worker", w.leavingSince)
	}
}

// leave reports that the worker leaves, without waiting for an acknowledgement, and ends it.
func (w *workerIncarnation) leave() {
	if !w.isUp() {
		return
	}
	w.sendHeartbeat(true, func(bool) {})
	w.host.sim.after(w.host.sim.between(5*time.Millisecond, 50*time.Millisecond), w.terminate)
}

// drain begins a planned shutdown, unless one is in progress.
func (w *workerIncarnation) drain() {
	if w.isDraining || w.isLeaving || !w.isUp() {
		return
	}
	w.isDraining, w.leavingSince = true, w.host.sim.now
	w.host.sim.trace("%s drains", w.id)
	w.host.sim.after(maxDrainTime, w.leave) // also without an acknowledgement
}

// record returns the description of the worker that its heartbeats carry.
func (w *workerIncarnation) record() jobs.Worker {
	host := w.host
	return jobs.Worker{ID: w.id, Address: host.address, Service: host.service, Zone: host.zone, Rack: host.rack,
		Labels: host.labels, Capacity: host.capacity, Draining: w.isDraining}
}

// anyLeader returns a random node among those that consider themselves the leader, or nil.
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

// readTable returns the table if this node leads with its lease in force; it mirrors controller.Leader.readTable.
func (n *node) readTable() (table *jobs.Table, term uint64, err error) {
	term, isLeader := n.leadTerm()
	removed := n.sim.options.WithoutGuard
	if (removed == NoLeaseCheck || removed == OldLeadersAnswer) && n.core.Term() != 0 {
		term, isLeader = n.core.Term(), true
	}
	switch {
	case term == 0:
		return nil, 0, errs.New(errs.NotLeader, "this node is not the leader")
	case !isLeader:
		return nil, term, errs.New(errs.Unavailable, "leadership cannot be confirmed")
	}
	return n.table, term, nil
}

// receiveHeartbeat handles a heartbeat; it mirrors controller.Leader.Heartbeat.
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

// changedWorker reports whether a heartbeat reports a change that must be committed.
func changedWorker(known, reported *jobs.Worker) bool {
	return known.Address != reported.Address || reported.Draining && !known.Draining || reported.Left && !known.Left
}
