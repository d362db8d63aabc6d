package jobssim

import (
	"fmt"
	"time"

	"crosstide/internal/controller/scheduler"
	"crosstide/internal/errs"
	"crosstide/internal/jobs"
)

const (
	beatEvery   = 500 * time.Millisecond
	beatTimeout = time.Second
	beatLatest  = 4 * time.Second // how late a heartbeat may come
)

// buildWorkers makes the machines of both services.
func (s *simulator) buildWorkers() {
	for i := range workersPerService * 2 {
		guards := i%2 == 0
		place := i / 2
		sl := &slot{sim: s, address: fmt.Sprintf("10.0.0.%d:80", i+1), service: serviceOpen, guards: guards,
			zone: fmt.Sprintf("zone%d", place%zoneCount), rack: fmt.Sprintf("r%d", place%rackCount),
			capacity: jobs.Resources{MilliCPU: 16000, MemoryMB: 65536, GPUs: 2},
			speed:    0.8 + 0.5*s.rng.Float64(), cutFrom: map[*node]bool{}, troubled: -time.Minute}
		if guards {
			sl.service = serviceGuards
		}
		sl.labels = []string{"kind" + string(rune('a'+place%2)), sl.rack}
		sl.kinds = [2]string{sl.labels[0], "kind" + string(rune('a'+(place+1)%2))}
		s.slots = append(s.slots, sl)
		s.after(s.between(0, beatEvery), sl.newLife)
	}
}

const (
	serviceGuards     = "guarding"
	serviceOpen       = "open"
	workersPerService = 8
	zoneCount         = 3
	rackCount         = 4
)

func (s *simulator) slotOf(address string) *slot {
	for _, sl := range s.slots {
		if sl.address == address {
			return sl
		}
	}
	return nil
}

// beatLoop sends heartbeats for as long as the life lasts.
func (w *life) beatLoop() {
	if !w.up() {
		return
	}
	w.sendBeat(false, func(bool) {})
	w.slot.sim.after(w.slot.sim.between(beatEvery*9/10, beatEvery*11/10), w.beatLoop)
}

// beatCall is a heartbeat as it was sent.
type beatCall struct {
	worker    jobs.Worker
	sequence  uint64
	clock     time.Duration
	remaining time.Duration
	leaving   bool
}

// sendBeat sends one heartbeat to a node that may lead.
func (w *life) sendBeat(leaving bool, done func(ok bool)) {
	s := w.slot.sim
	w.beat++
	call := beatCall{worker: w.record(), sequence: w.beat, clock: w.clock(), leaving: leaving}
	if w.draining {
		call.remaining = drainTimeout
	}
	n := s.anyLeader()
	if n == nil || w.slot.cut { // a node that it is cut from is reached by way of another
		return
	}
	late := time.Duration(0)
	if s.chance(0.01) || s.now < w.slot.beatsLateUntil && s.chance(0.7) {
		late = s.between(0, beatLatest)
	}
	s.after(s.link()+late, func() {
		n.do(0, func() {
			n.takeBeat(call, func(err error) {
				s.after(s.link(), func() {
					if ok := err == nil && !w.slot.cut; ok && late == 0 {
						w.beatAcknowledged(call, n)
						done(true)
					}
				})
			})
		})
	})
}

// beatAcknowledged counts the time of a drain from its first acknowledgement.
func (w *life) beatAcknowledged(call beatCall, _ *node) {
	if !call.worker.Draining || w.drainTold != 0 || !w.up() {
		return
	}
	s := w.slot.sim
	w.leavingTold()
	s.after(drainTimeout+s.between(100*time.Millisecond, 4*time.Second), w.leave)
}

// deregister says that the worker ends, without saying that it drains, serves on for a while and ends.
func (w *life) deregister() {
	w.leaving, w.leaveFrom = true, w.slot.sim.now
	w.slot.sim.trace("%s deregisters first", w.id)
	w.tellLeaving()
	w.slot.sim.after(plannedEnd, w.die) // also without an acknowledgement
}

func (w *life) tellLeaving() {
	if !w.up() || w.drainTold != 0 {
		return
	}
	s := w.slot.sim
	w.sendBeat(true, func(bool) {
		if !w.up() || w.drainTold != 0 {
			return
		}
		w.leavingTold()
		s.after(drainTimeout+s.between(100*time.Millisecond, 4*time.Second), w.die)
	})
	s.after(beatTimeout, w.tellLeaving)
}

// leavingTold takes in the acknowledgement of the worker's leaving.
func (w *life) leavingTold() {
	s := w.slot.sim
	w.drainTold = s.now
	s.oracle.count(DrainRule)
	if w.leaveFrom >= w.slot.unheardUntil {
		s.oracle.acknowledged("the leaving of a worker", w.leaveFrom)
	}
}

// leave says that the worker ends, and ends it.
func (w *life) leave() {
	if !w.up() {
		return
	}
	w.sendBeat(true, func(bool) {})
	w.slot.sim.after(w.slot.sim.between(5*time.Millisecond, 50*time.Millisecond), w.die)
}

// drain begins a planned end.
func (w *life) drain() {
	if w.draining || w.leaving || !w.up() {
		return
	}
	w.draining, w.leaveFrom = true, w.slot.sim.now
	w.slot.sim.trace("%s drains", w.id)
	w.slot.sim.after(plannedEnd, w.leave) // also without an acknowledgement
}

// record is what the worker tells of itself.
func (w *life) record() jobs.Worker {
	sl := w.slot
	return jobs.Worker{ID: w.id, Address: sl.address, Service: sl.service, Zone: sl.zone, Rack: sl.rack,
		Labels: sl.labels, Capacity: sl.capacity, Draining: w.draining}
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
	term, held := n.leadTerm()
	if without := n.sim.opt.Break; (without == NoLeaseCheck || without == OldLeadersAnswer) && n.core.Term() != 0 {
		term, held = n.core.Term(), true
	}
	switch {
	case term == 0:
		return nil, 0, errs.New(errs.NotLeader, "this node does not lead")
	case !held:
		return nil, term, errs.New(errs.Unavailable, "the lead cannot be confirmed now")
	}
	return n.table, term, nil
}

// takeBeat takes a heartbeat in, as controller.Leader.Beat.
func (n *node) takeBeat(call beatCall, done func(error)) {
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
	} else if call.sequence < n.beats[worker.ID] && n.sim.opt.Break != LateBeatsCount {
		done(nil)
		return
	} else {
		n.beats[worker.ID] = call.sequence
	}
	finish := func(err error) {
		if err == nil && !call.leaving {
			n.tell(func(c *scheduler.Core, now time.Duration) { c.Heartbeat(now, worker.ID, call.clock, call.remaining) })
		}
		done(err)
	}
	if known != nil && !changedWorker(known, &worker) && (n.sim.opt.Break != LateBeatsCount || known.Draining == worker.Draining) {
		finish(nil)
		return
	}
	n.sim.log.propose(n, term, jobs.Register{Workers: []jobs.Worker{worker}}, func(_ any, err error) { finish(err) })
}

func changedWorker(known, told *jobs.Worker) bool {
	return known.Address != told.Address || told.Draining && !known.Draining || told.Left && !known.Left
}
