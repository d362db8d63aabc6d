package scheduler

import (
	"maps"
	"slices"
	"time"

	"crosstide/internal/state"
)

// run is the record of a handle. Core owns it; it exists from addRun until removeRun.
type run struct {
	handle *state.Handle
	team   string

	// Progress of its start order under this epoch.
	ofThisEpoch bool   // its run ID was assigned under this epoch, after this node last took the role
	inOutbox    bool   // its order is in its worker's outbox
	orderCall   uint64 // number of the call that carried its order; 0 if this leader sent none
	inFlight    bool   // that call is unanswered
	listed      bool   // set by an answer that lists it as running, unset by a later one that should but does not

	// The latest lease end that the worker may have received, by its clock in leaseIncarnation; 0 if unknown.
	leaseUntil       time.Duration
	leaseIncarnation string

	// For a worker of kind obey: its clock when an answer of absentIncarnation first omitted the run although the
	// floor of the answer had reached the run ID.
	absentSince       time.Duration
	absentIncarnation string

	stopReason string // why it must be stopped; "" if it may continue
	closing    bool   // its end, or the proof that it is dead, is to be committed
	endPending bool   // its end is to be committed; implies closing
}

// releasedRun is a run whose handle was released before any successful end was reported, and whose task is due again.
// A successful end may still arrive, and is accepted until the task has a newer run ID.
type releasedRun struct {
	ref        state.TaskRef
	endPending bool // its end is to be committed
}

// worker is the record of a worker: its answers and calls under this epoch.
type worker struct {
	name string
	runs map[uint64]*run

	// From the latest answer.
	incarnation      string
	pastIncarnations map[string]bool
	kind             string
	draining         bool
	heardAt          time.Duration // when the answer arrived; 0 if there was none under this epoch
	clock            time.Duration // the worker's clock in the answer
	ackedFloor       uint64        // the highest floor that the worker has received
	report           *state.Worker // for the next plan; nil if it agrees with the store's record

	// Calls, by number. The number increases by one with each call to the worker under the epoch.
	lastCall            uint64
	lastAnswered        uint64        // the latest call whose answer was handled
	pollCall            uint64        // in flight on the poll connection; 0 if none
	orderCall           uint64        // in flight on the order connection; 0 if none
	lastCallBeforePause uint64        // the last call sent before the role lease last kept this node from acting
	unanswered          bool          // a call after lastCallBeforePause failed, and none has been answered since
	failures            int           // consecutive failed calls
	retryAt             time.Duration // no call is sent before it while failures > 0

	// Contents of the next call.
	floor          uint64   // the worker must not start run IDs at or below it that it has not started yet
	outbox         []uint64 // committed run IDs whose orders are to be sent, ascending
	outboxDeadline time.Duration
	acks           []uint64          // ends that the worker may forget
	orphans        map[uint64]string // listed runs without a handle, with the reason to stop them
	urgent         bool              // a call must be sent before the poll call in flight is answered
}

// clockAt returns a lower bound of the worker's clock at now, without regard to drift: its answer was made before
// heardAt.
func (w *worker) clockAt(now time.Duration) time.Duration { return w.clock + (now - w.heardAt) }

// obeys reports whether the worker is of the kind that executes a start order whenever it arrives, without checking
// its StartBy, run ID and incarnation. Config.MaxOrderDelay bounds how late that may be.
func (w *worker) obeys() bool { return w.kind == "obey" }

// StateChanged updates the records after a change of the replica. The owner must call it under the same lock as the
// change, before releasing the lock.
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
	c.placement.isCurrent = false
}

// trackWorker returns the record of a worker and creates it if it does not exist.
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
	if c.role.phase != Ready { // rebuilding: events that require a stop have occurred already
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

// reviewJob calls reviewRun for each run of a job; job may be nil.
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

// reviewRun sets or clears the stop reason of a run. A run must stop if its job is stopping, or if the placement
// policy, an evacuated zone or a draining worker no longer allows it. Its worker is then due for an urgent call.
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
		if reason == string(state.RefusedIncarnation) { // the store does not have the worker's incarnation yet
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

// findReleased returns the record of a released run if its task is due and has no newer run ID. Otherwise it drops the
// record and returns nil.
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

// sortedRunIDs returns the run IDs of runs in ascending order.
func sortedRunIDs(runs map[uint64]*run) []uint64 { return slices.Sorted(maps.Keys(runs)) }
