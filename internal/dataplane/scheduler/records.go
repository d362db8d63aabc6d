package scheduler

import (
	"maps"
	"slices"
	"time"

	"crosstide/internal/state"
)

// run is the record of a handle. Owner: Core; it lives from addRun until removeRun.
type run struct {
	handle *state.Handle
	team   string

	// How far its start order is, under this epoch.
	ofThisEpoch bool   // its run ID was given under this epoch, and not before the newest return to it
	inOutbox    bool   // waits in its worker's outbox
	orderedIn   uint64 // the call that carried its order; 0: not sent by this leader
	inFlight    bool   // that call is unanswered
	listed      bool   // the newest answer that proves anything about it lists it as running

	// The latest lease that the worker may know, by its clock in leaseIncarnation; 0: unknown.
	leaseUntil       time.Duration
	leaseIncarnation string

	// For a worker of kind obey: its clock when an answer of absentIncarnation first lacked the run although its floor
	// had reached the run ID.
	absentSince       time.Duration
	absentIncarnation string

	stopReason string // why it is to be stopped; "" if it is not
	closing    bool   // its end, or the proof that it is dead, waits in the next plan
	endPending bool   // its end waits in the next plan; implies closing
}

// releasedRun is a run whose handle was released without a good end while its task is due again. A good end of it may
// still arrive, and counts until the task has a newer run ID.
type releasedRun struct {
	ref        state.TaskRef
	endPending bool // its end waits in the next plan
}

// worker is the record of a worker: what its answers said under this epoch.
type worker struct {
	name string
	runs map[uint64]*run

	// From the newest answer.
	incarnation      string
	pastIncarnations map[string]bool
	kind             string
	draining         bool
	heardAt          time.Duration // when it came; 0: none under this epoch
	clock            time.Duration // the worker's clock in it
	ackedFloor       uint64        // the highest floor that the worker has received
	report           *state.Worker // what differs from the store's record, for the next plan; nil if nothing does

	// Calls. Their numbers go up by one with each call to the worker under the epoch.
	lastCall            uint64
	lastAnswered        uint64 // the newest call whose answer was handled
	pollCall            uint64 // in flight on the poll connection; 0: none
	orderCall           uint64 // in flight on the order connection; 0: none
	lastCallBeforePause uint64 // calls up to it left before the newest pause of the role's lease
	unanswered          bool   // a call after lastCallBeforePause failed, and none was answered since
	failures            int    // calls in a row that failed
	retryAt             time.Duration

	// What the next call carries.
	floor          uint64   // run IDs at or below it that the worker has not started are invalid
	outbox         []uint64 // committed run IDs whose orders are to be sent, ascending
	outboxDeadline time.Duration
	acks           []uint64          // ends that the worker may forget
	orphans        map[uint64]string // runs that it listed and that have no handle, with the reason to stop them
	urgent         bool              // something must be sent before the poll call comes back
}

// clockAt returns the least that the worker's clock shows at now.
func (w *worker) clockAt(now time.Duration) time.Duration { return w.clock + (now - w.heardAt) }

// obeys reports whether the worker is of the kind that carries out a start order whenever it arrives, without a check
// of its StartBy, run ID and incarnation. How late that may be is bounded by Config.Lateness instead.
func (w *worker) obeys() bool { return w.kind == "obey" }

// StateChanged updates the records after a change of the replica. The owner calls it before it releases the lock under
// which the change was applied.
func (c *Core) StateChanged(e state.Event) {
	if c.role.phase != Ready {
		return
	}
	switch e.Kind {
	case state.EventTaskDue:
		c.enqueue(e.Ref)
	case state.EventHandleCreated:
		c.addRun(e.Handle)
	case state.EventHandleReleased:
		c.removeRun(e.Handle)
	case state.EventWorkerChanged:
		w := c.trackWorker(e.Name)
		c.callsDue[w.name], c.placement.freedWorkers[w.name] = true, true
		for _, r := range w.runs {
			c.reviewRun(r)
		}
	case state.EventWorkerRetired:
		delete(c.workers, e.Name)
		c.placement.ring = slices.DeleteFunc(c.placement.ring, func(name string) bool { return name == e.Name })
	case state.EventJobStopping:
		c.reviewJob(c.st.Jobs[e.Name])
	case state.EventAccountChanged:
		c.placement.fullScan = true
	case state.EventPlacementChanged:
		c.placement.fullScan = true
		for _, r := range c.runs {
			c.reviewRun(r)
		}
	}
	c.placement.current = false
}

// trackWorker returns the record of a worker, which it creates if needed.
func (c *Core) trackWorker(name string) *worker {
	w := c.workers[name]
	if w == nil {
		w = &worker{name: name, runs: map[uint64]*run{}, orphans: map[uint64]string{}, floor: c.st.LastRunID,
			lastCall: c.role.highestCall, lastCallBeforePause: c.role.highestCall}
		c.workers[name] = w
		c.placement.ring = append(c.placement.ring, name)
		c.callsDue[name] = true
	}
	return w
}

// addRun creates the record of a handle.
func (c *Core) addRun(h *state.Handle) {
	r := &run{handle: h, ofThisEpoch: h.Epoch == c.role.epoch && h.RunID > c.role.lastInheritedRunID}
	c.runs[h.RunID] = r
	c.trackWorker(h.Worker).runs[h.RunID] = r
	c.runningCounts[h.Type]++
	c.health.recordProbe(h.Worker, h.RunID)
	if job, _ := c.st.TaskOf(h.Ref); job != nil {
		r.team = job.Spec.Team
	}
	c.runningByTeam[r.team]++
	if c.role.phase != Ready { // rebuilding: the events that would have stopped it are past
		c.reviewRun(r)
	}
}

// removeRun drops the record of a released handle.
func (c *Core) removeRun(h *state.Handle) {
	if r := c.runs[h.RunID]; r != nil {
		if c.runningByTeam[r.team]--; c.runningByTeam[r.team] == 0 {
			delete(c.runningByTeam, r.team)
		}
	}
	delete(c.runs, h.RunID)
	c.placement.freedWorkers[h.Worker] = true
	c.health.recordLost(h.Worker, h.RunID)
	if w := c.workers[h.Worker]; w != nil {
		delete(w.runs, h.RunID)
	}
	if c.runningCounts[h.Type]--; c.runningCounts[h.Type] == 0 {
		delete(c.runningCounts, h.Type)
	}
}

// reviewJob reviews the runs of a job; job may be nil.
func (c *Core) reviewJob(job *state.Job) {
	if job == nil || job.HandleCount() == 0 {
		return
	}
	for _, tasks := range job.Tasks {
		for i := range tasks {
			if r := c.runs[tasks[i].RunID]; tasks[i].Phase.HasHandle() && r != nil {
				c.reviewRun(r)
			}
		}
	}
}

// reviewRun decides whether a run is to be stopped: because its job stops, or because policy, zone or drain no
// longer allow it.
func (c *Core) reviewRun(r *run) {
	job, _ := c.st.TaskOf(r.handle.Ref)
	reason := ""
	switch w := c.st.Workers[r.handle.Worker]; {
	case job == nil:
		reason = "job"
	case job.Phase != state.JobRunning:
		reason = string(job.Outcome)
	case w != nil:
		reason = string(c.st.PlacementRefusal(&job.Spec, &job.Spec.Steps[r.handle.Ref.Step], w))
		if reason == string(state.RefusedIncarnation) { // the store has not heard of the worker's incarnation yet
			reason = ""
		}
	}
	if r.stopReason = reason; reason == "" {
		return
	}
	if w := c.workers[r.handle.Worker]; w != nil {
		w.urgent = true
		c.callsDue[w.name] = true
	}
}

// findReleased returns the record of a released run while its task is due and has no newer run ID. Otherwise it drops
// the record and returns nil.
func (c *Core) findReleased(runID uint64) *releasedRun {
	r := c.released[runID]
	if r == nil {
		return nil
	}
	if _, task := c.st.TaskOf(r.ref); task == nil || task.Phase != state.TaskDue || task.RunID != runID {
		delete(c.released, runID)
		return nil
	}
	return r
}

func sortedRunIDs(runs map[uint64]*run) []uint64 { return slices.Sorted(maps.Keys(runs)) }
