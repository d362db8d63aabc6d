package jobsworker

import (
	"encoding/json"
	"slices"
	"time"

	"crosstide/internal/controller/scheduler"
	"crosstide/internal/errs"
	"crosstide/internal/httpapi/workerapi"
	"crosstide/internal/jobs"
)

// maxEndsPerAnswer limits the ends that one answer lists.
const maxEndsPerAnswer = 200

// core is the step function of one incarnation of a worker: it has no clock, network or goroutine. Times are on the
// worker's clock, which must not go back. It is not safe for concurrent use; its owner is Host.
type core struct {
	id             string
	capacity       jobs.Resources
	isDraining     bool
	token          uint64               // highest fencing token seen
	leaseDeadline  time.Duration        // of all runs; never decreases
	runs           []*run               // in the order they began; their total needs never exceed capacity
	unacknowledged []workerapi.EndedRun // ends that the leader has not acknowledged, in order of their sequence
	endSequence    uint64               // of the newest end
	closedUpTo     map[jobs.TaskRef]int // highest run number stopped or ended; runs up to it must not start
	record         func(Event)          // appends an event to the journal
}

// newCore returns a core without runs. It passes each event to record.
func newCore(id string, capacity jobs.Resources, record func(Event)) *core {
	return &core{id: id, capacity: capacity, closedUpTo: map[jobs.TaskRef]int{}, record: record}
}

// Drain makes the worker refuse all further starts.
func (c *core) Drain() { c.isDraining = true }

// IsIdle reports whether no run is in progress and all ends are acknowledged.
func (c *core) IsIdle() bool { return len(c.runs) == 0 && !c.hasUnacknowledged() }

func (c *core) hasUnacknowledged() bool { return len(c.unacknowledged) > 0 }

// NextDeadline returns when Advance must be called next, and false if no run is in progress.
func (c *core) NextDeadline() (time.Duration, bool) {
	if len(c.runs) == 0 {
		return 0, false
	}
	next := c.leaseDeadline
	for _, r := range c.runs {
		if at, ends := r.endsAt(); ends {
			next = min(next, at)
		}
	}
	return next, true
}

// Advance ends the runs whose programs are complete, and all others once the lease has expired. A run whose program was
// complete before the lease expired ends with the outcome of its program, even if Advance is called later. It reports
// whether any run ended.
func (c *core) Advance(now time.Duration) bool {
	hasEnded := false
	for _, r := range slices.Clone(c.runs) {
		at, ends := r.endsAt()
		switch {
		case ends && at <= now && at < c.leaseDeadline:
			c.end(r, at, r.outcome())
		case now >= c.leaseDeadline:
			c.end(r, c.leaseDeadline, jobs.EndLeaseExpired)
		default:
			continue
		}
		hasEnded = true
	}
	return hasEnded
}

// end removes a run, lists its end until that is acknowledged, and journals it. Every run ends here. at is when the run
// ended, which may be before the current time: it determines the checkpoint.
func (c *core) end(r *run, at time.Duration, reason jobs.EndReason) {
	c.runs = slices.DeleteFunc(c.runs, func(other *run) bool { return other == r })
	c.closeUpTo(r.key)
	c.endSequence++
	ended := workerapi.EndedRun{Sequence: c.endSequence, Run: workerapi.RunOf(r.key), EndReason: reason,
		Checkpoint: r.checkpoint(at)}
	c.unacknowledged = append(c.unacknowledged, ended)
	c.record(Event{Event: EventRunEnd, Worker: c.id, Run: ended.Run, Reason: string(reason),
		Checkpoint: ended.Checkpoint})
}

// closeUpTo bars a run and all earlier runs of its task from starting.
func (c *core) closeUpTo(key jobs.RunKey) {
	c.closedUpTo[key.Task] = max(c.closedUpTo[key.Task], key.Number)
}

// observeToken keeps the highest fencing token. It returns false if token is lower; the call must then have no effect.
func (c *core) observeToken(token uint64) bool {
	if token < c.token {
		return false
	}
	c.token = token
	return true
}

func (c *core) checkWorker(worker string) error {
	if worker != c.id {
		return errs.Field(errs.Unknown, "worker", "call for worker %q reached worker %q", worker, c.id)
	}
	return nil
}

// Start carries out a start order. Failure: Unknown if the call is for another incarnation.
func (c *core) Start(now time.Duration, call workerapi.StartCall) (workerapi.StartAnswer, error) {
	if err := c.checkWorker(call.Worker); err != nil {
		return workerapi.StartAnswer{}, errs.Pass(err, "start")
	}
	c.Advance(now)
	refusal := c.startRun(now, call)
	if refusal != "" {
		c.record(Event{Event: EventRunRefuse, Worker: c.id, Run: call.Run, Token: call.Token, Reason: string(refusal)})
	}
	return workerapi.StartAnswer{Worker: c.id, Clock: now, Refused: refusal}, nil
}

// startRun starts a run, or returns the first reason to refuse it. A duplicate order starts no second run.
func (c *core) startRun(now time.Duration, call workerapi.StartCall) scheduler.Refusal {
	key := call.Run.Key()
	if !c.observeToken(call.Token) {
		return scheduler.RefusedFenced
	}
	if c.findRun(key) != nil {
		c.leaseDeadline = max(c.leaseDeadline, call.Deadline)
		return ""
	}
	var program Program
	needs := call.Needs.Resources()
	switch {
	case call.Deadline <= now:
		return scheduler.RefusedExpired
	case key.Number <= c.closedUpTo[key.Task]:
		return scheduler.RefusedStale
	case c.isDraining:
		return scheduler.RefusedUnhealthy
	case json.Unmarshal([]byte(call.Payload), &program) != nil:
		return scheduler.RefusedInvalid
	case !c.fits(needs):
		return scheduler.RefusedCapacity
	}
	c.leaseDeadline = max(c.leaseDeadline, call.Deadline)
	resumed := parseCheckpoint(call.Checkpoint)
	c.runs = append(c.runs, &run{key: key, needs: needs, program: program, began: now, resumed: resumed})
	c.record(Event{Event: EventRunStart, Worker: c.id, Run: call.Run, Token: call.Token, Checkpoint: call.Checkpoint,
		Payload: call.Payload, Needs: needs})
	return ""
}

func (c *core) findRun(key jobs.RunKey) *run {
	for _, r := range c.runs {
		if r.key == key {
			return r
		}
	}
	return nil
}

// fits reports whether the free capacity suffices for needs.
func (c *core) fits(needs jobs.Resources) bool {
	for _, r := range c.runs {
		needs.MilliCPU += r.needs.MilliCPU
		needs.MemoryMB += r.needs.MemoryMB
		needs.GPUs += r.needs.GPUs
	}
	return needs.MilliCPU <= c.capacity.MilliCPU && needs.MemoryMB <= c.capacity.MemoryMB &&
		needs.GPUs <= c.capacity.GPUs
}

// Stop carries out a stop order. If the order arrives before the start order of its run, that one will be refused.
// Failures: Unknown if the call is for another incarnation, Stale if fenced.
func (c *core) Stop(now time.Duration, call workerapi.StopCall) (workerapi.StopAnswer, error) {
	if err := c.admitCall(now, call.Worker, call.Token); err != nil {
		return workerapi.StopAnswer{}, errs.Pass(err, "stop")
	}
	key := call.Run.Key()
	c.closeUpTo(key)
	if r := c.findRun(key); r != nil {
		c.end(r, now, jobs.EndStopped)
	}
	return workerapi.StopAnswer{Worker: c.id}, nil
}

// admitCall advances the core to now and keeps the call's token. It rejects a call to another incarnation, which has no
// effect, and one under a lower token.
func (c *core) admitCall(now time.Duration, worker string, token uint64) error {
	if err := c.checkWorker(worker); err != nil {
		return errs.Pass(err, "call")
	}
	c.Advance(now)
	if !c.observeToken(token) {
		return errs.Field(errs.Stale, "token", "must be at least %d, got %d", c.token, token)
	}
	return nil
}

// RenewLease extends the lease and drops the acknowledged ends. The caller answers with Status, at once or later.
// Failures: Unknown if the call is for another incarnation, Stale if fenced.
func (c *core) RenewLease(now time.Duration, call workerapi.RenewLeaseCall) error {
	if err := c.admitCall(now, call.Worker, call.Token); err != nil {
		return errs.Pass(err, "hold")
	}
	c.unacknowledged = slices.DeleteFunc(c.unacknowledged, func(e workerapi.EndedRun) bool {
		return e.Sequence <= call.AcknowledgedUpTo
	})
	c.leaseDeadline = max(c.leaseDeadline, call.Deadline)
	return nil
}

// Status returns the runs in progress and the first maxEndsPerAnswer unacknowledged ends.
func (c *core) Status(now time.Duration) workerapi.RenewLeaseAnswer {
	answer := workerapi.RenewLeaseAnswer{Worker: c.id, Clock: now, Running: []workerapi.RunningRun{},
		More: len(c.unacknowledged) > maxEndsPerAnswer}
	for _, r := range c.runs {
		answer.Running = append(answer.Running, workerapi.RunningRun{Run: workerapi.RunOf(r.key),
			Checkpoint: r.checkpoint(now), Percent: r.percent(now)})
	}
	listed := c.unacknowledged[:min(maxEndsPerAnswer, len(c.unacknowledged))]
	answer.Ended = append([]workerapi.EndedRun{}, listed...)
	return answer
}

// StopAll stops all runs of a worker that leaves.
func (c *core) StopAll(now time.Duration) {
	c.Advance(now)
	for _, r := range slices.Clone(c.runs) {
		c.end(r, now, jobs.EndStopped)
	}
}
