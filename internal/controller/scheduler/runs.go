package scheduler

import (
	"cmp"
	"slices"
	"time"

	"crosstide/internal/jobs"
)

// run is what the leader knows of a run whose handle is in the table.
type run struct {
	key    jobs.RunKey
	worker string
	mine   bool // recorded under this term
	sent   bool // its order may have left
	sentAt time.Duration
	// accepted is the sequence at which its start was answered well; 0: not.
	accepted   uint64
	acceptedAt time.Duration
	doubted    bool // its start got no answer
	// doubtedAt is the sequence at which that was known.
	doubtedAt uint64
	// missing: a hold call sent after that did not list it, so it is stopped, lest it start late.
	missing bool
	listed  bool // the worker listed it as running
	saved   string
	percent int
	// percentAt is when the progress was listed.
	percentAt time.Duration
	// advancedAt is when it was first listed, or last listed with more progress than before.
	advancedAt time.Duration
	stop       bool   // it is to be stopped
	cause      Cause  // why; empty: not stopped
	stopping   bool   // a stop order is under way
	stopped    uint64 // sequence at which a stop order was answered; 0: not
	retryAt    time.Duration
	ending     bool // its end waits to be committed
	gang       bool
	lasting    bool
	estimate   time.Duration
	priority   int
	needs      jobs.Resources
}

func sortedRuns(runs map[jobs.RunKey]*run) []jobs.RunKey {
	keys := make([]jobs.RunKey, 0, len(runs))
	for key := range runs {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, jobs.RunKey.Compare)
	return keys
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// addRun notes a handle of the table; nil if its worker or job is not known.
func (c *Core) addRun(key jobs.RunKey, workerID string, mine bool) *run {
	if r := c.runs[key]; r != nil {
		return r
	}
	j := c.table.Jobs[key.Task.Job]
	if j == nil {
		return nil
	}
	r := &run{key: key, worker: workerID, mine: mine, sent: !mine}
	if key.Task.Step < len(j.Spec.Steps) {
		step := &j.Spec.Steps[key.Task.Step]
		r.gang, r.lasting, r.estimate, r.needs = step.Gang, step.LongRunning, step.Estimate, step.Needs
	}
	if q := c.table.Config.Queue(j.Spec.Queue); q != nil {
		r.priority = q.Priority
	}
	c.runs[key] = r
	w := c.meet(workerID)
	w.runs[key] = r
	return r
}

// dropRun forgets a run whose handle has left the table.
func (c *Core) dropRun(r *run) {
	delete(c.runs, r.key)
	if w := c.workers[r.worker]; w != nil {
		delete(w.runs, r.key)
	}
}

// end puts a run's end into the next Progress.
func (c *Core) end(r *run, how jobs.EndReason, checkpoint string) {
	if r.ending {
		return
	}
	r.ending = true
	c.moved = true
	c.discard(r, how, checkpoint)
	c.ends = append(c.ends, jobs.End{Key: r.key, Worker: r.worker, Reason: how, Checkpoint: cmp.Or(checkpoint, r.saved)})
	switch how {
	case jobs.EndDone:
		c.Counts.Done++
	case jobs.EndFailed:
		c.Counts.Failed++
		c.avoid[r.key.Task] = r.worker
	case jobs.EndLost:
		c.Counts.Lost++
	}
	if r.gang {
		c.stopGang(r)
	}
}

// stopGang stops the other members of a run that has ended: they can do nothing alone.
func (c *Core) stopGang(ended *run) {
	j := c.table.Jobs[ended.key.Task.Job]
	if j == nil || j.Rounds == nil {
		return
	}
	key := ended.key
	for i := range j.Rounds[key.Task.Round][key.Task.Step] {
		key.Task.Index = i
		if r := c.runs[key]; r != nil && !r.ending {
			c.stopFor(r, CauseGang)
		}
	}
}

// askStop puts a run that is to be stopped on the list that sendStops goes through. The sweep adds those that were
// marked in another way.
func (c *Core) askStop(r *run) { c.unwanted[r.key] = r }

// wantsStop tells whether a stop order is wanted for the run and was not answered yet.
func (r *run) wantsStop() bool {
	return (r.stop || r.missing && !r.listed) && !r.ending && r.stopped == 0
}

// sendStops gives the stop orders that are due. It looks only at the runs and workers on its lists: most runs are never
// stopped, and there is a pass for each answer of a worker.
func (c *Core) sendStops(out *Out) {
	for _, key := range sortedRuns(c.unwanted) {
		r := c.unwanted[key]
		w := c.workers[r.worker]
		if c.runs[key] != r || w == nil || !r.wantsStop() {
			delete(c.unwanted, key)
			continue
		}
		rec := w.record()
		if rec == nil || !r.sent || r.stopping || c.now < r.retryAt || !w.mayOrder(c) {
			continue
		}
		r.stopping = true
		c.ordered(w)
		out.Stops = append(out.Stops, StopOut{Worker: *rec, Order: StopOrder{Key: key, Token: c.term}})
		c.Counts.Stopped++
	}
	for _, id := range sortedKeys(c.straying) {
		if w := c.workers[id]; w == nil || len(w.strays) == 0 {
			delete(c.straying, id)
		} else {
			c.stopStrays(w, out)
		}
	}
}

// stopStrays gives the stop orders for runs on a worker that the table does not have.
func (c *Core) stopStrays(w *worker, out *Out) {
	rec := w.record()
	if rec == nil {
		return
	}
	for _, key := range w.strayKeys() {
		if s := w.strays[key]; !s.stopping && c.now >= s.retryAt && w.mayOrder(c) {
			s.stopping = true
			c.ordered(w)
			out.Stops = append(out.Stops, StopOut{Worker: *rec, Order: StopOrder{Key: key, Token: c.term}})
		}
	}
}

// StartAnswered takes in the answer to a start order.
func (c *Core) StartAnswered(now time.Duration, workerID string, key jobs.RunKey, answer StartAnswer, err StartError) {
	c.now = now
	w, r := c.workers[workerID], c.runs[key]
	if c.term == 0 || w == nil {
		return
	}
	c.orderOver(w)
	c.sequence++
	switch err {
	case StartNoRoom:
		c.shortage.found(c.cfg, now)
		if r != nil && r.sent && !r.listed {
			c.end(r, jobs.EndLost, "")
		}
		return
	case StartOtherLife:
		c.gone(w)
		return
	case StartUnsent:
		c.unanswered(w, now)
		w.failed(c, now)
		if r != nil && r.sent && !r.listed {
			c.end(r, jobs.EndLost, "")
		}
		return
	case StartUnknown:
		c.unanswered(w, now)
		w.suspect, w.probe = true, true
		if r != nil && !r.listed {
			r.doubted, r.doubtedAt = true, c.sequence
			c.Counts.Doubted++
		}
		return
	}
	w.heard(c, now, answer.Clock)
	c.shortage.over()
	if r == nil {
		return
	}
	if answer.Refusal == "" {
		r.accepted, r.acceptedAt = c.sequence, now
		return
	}
	c.Counts.Refused++
	w.refused(c, now, answer.Refusal)
	if !r.listed {
		c.end(r, jobs.EndLost, "")
		c.avoid[key.Task] = workerID
	}
}

// StartError says how a start order without an answer failed.
type StartError int

// The failures of a start order.
const (
	StartOK        StartError = iota // it was answered
	StartUnsent                      // no byte of it left: it never starts
	StartUnknown                     // it may be carried out, now or later
	StartOtherLife                   // another life answered: the worker is gone for good
	StartNoRoom                      // no byte of it left, for want of a connection here: it says nothing of the worker
)

// StopError says how a stop order without an answer failed.
type StopError int

// The failures of a stop order.
const (
	StopOK     StopError = iota // it was answered
	StopFailed                  // no answer
	StopNoRoom                  // it never left, for want of a connection here: it says nothing of the worker
)

// StopAnswered takes in the answer to a stop order.
func (c *Core) StopAnswered(now time.Duration, workerID string, key jobs.RunKey, err StopError) {
	c.now = now
	w := c.workers[workerID]
	if c.term == 0 || w == nil {
		return
	}
	c.orderOver(w)
	c.sequence++
	retry := now + c.cfg.RetryMin
	if s := w.strays[key]; s != nil {
		if s.stopping, s.retryAt = false, retry; err == StopOK {
			delete(w.strays, key)
		}
	}
	r := w.runs[key]
	if r == nil {
		return
	}
	r.stopping = false
	switch err {
	case StopNoRoom:
		r.retryAt = retry
		return
	case StopFailed:
		c.unanswered(w, now)
		w.suspect, w.probe = true, true
		r.retryAt = retry
		return
	}
	r.stopped = c.sequence
	w.probe = true
}
