// Package jobsworker is a stand-in worker for the contract of internal/httpapi/workerapi: it guards its own capacity, keeps its
// lease by its own clock, refuses fenced orders and journals all that it does.
package jobsworker

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"crosstide/internal/controller/scheduler"
	"crosstide/internal/errs"
	"crosstide/internal/httpapi/workerapi"
	"crosstide/internal/jobs"
)

// Program is the payload of a run on a stand-in worker.
type Program struct {
	MS     int `json:"ms"`      // length of the run; below 0: until it is stopped
	Fails  int `json:"fails"`   // so many runs of a task fail first
	SaveMS int `json:"save_ms"` // progress is saved so often; 0: never
}

// What an Event tells.
const (
	EventWorkerStart = "born"   // the worker's life began
	EventRunStart    = "start"  // a run began
	EventRunRefuse   = "refuse" // a start was refused; Why tells the reason
	EventRunEnd      = "end"    // a run ended; Why tells how
)

// Event is what a worker did, as its journal keeps it.
type Event struct {
	At         time.Time      `json:"at"`
	Event      string         `json:"event"`
	Worker     string         `json:"worker"`
	Run        workerapi.Run  `json:"run,omitzero"`
	Token      uint64         `json:"token,omitempty"`
	Reason     string         `json:"why,omitempty"`
	Checkpoint string         `json:"checkpoint,omitempty"`
	Payload    string         `json:"payload,omitempty"`
	Needs      jobs.Resources `json:"needs,omitzero"`
	Zone       string         `json:"zone,omitempty"`
	Rack       string         `json:"rack,omitempty"`
	Labels     []string       `json:"labels,omitempty"`
}

// maxEndsPerAnswer is how many ends one answer lists.
const maxEndsPerAnswer = 200

// ControlAddrs is one life of a worker, without a clock or a network of its own. Every method takes the time on the worker's
// clock, which must not go back. It has no lock: its owner has.
type Core struct {
	id             string
	capacity       jobs.Resources
	draining       bool
	token          uint64        // highest fencing token seen
	leaseDeadline  time.Duration // end of the lease of all that runs
	runs           []*run        // in the order they began
	unacknowledged []workerapi.EndedRun
	endSequence    uint64               // of the newest end
	closedUpTo     map[jobs.TaskRef]int // newest run of a task that was stopped or has ended
	record         func(Event)
}

// run is a run that is not over.
type run struct {
	key     jobs.RunKey
	needs   jobs.Resources
	program Program
	began   time.Duration
	resumed time.Duration // work that was saved before
}

// NewCore makes a worker's life; record is told of all that it does.
func NewCore(id string, capacity jobs.Resources, record func(Event)) *Core {
	return &Core{id: id, capacity: capacity, closedUpTo: map[jobs.TaskRef]int{}, record: record}
}

// Drain makes the worker refuse all starts from here on.
func (c *Core) Drain() { c.draining = true }

// IsIdle tells whether nothing runs and all ends were acknowledged.
func (c *Core) IsIdle() bool { return len(c.runs) == 0 && len(c.unacknowledged) == 0 }

// NextDeadline gives when Advance is to be called at the latest; false if nothing runs.
func (c *Core) NextDeadline() (time.Duration, bool) {
	if len(c.runs) == 0 {
		return 0, false
	}
	next := c.leaseDeadline
	for _, r := range c.runs {
		if due, ends := r.endsAt(); ends {
			next = min(next, due)
		}
	}
	return next, true
}

// endsAt is when a run ends by itself; false if it does not.
func (r *run) endsAt() (time.Duration, bool) {
	return r.began - r.resumed + time.Duration(r.program.MS)*time.Millisecond, r.program.MS >= 0
}

// Advance carries out what time has brought: runs that end by themselves, and the end of the lease, which kills all
// that still runs. It tells whether anything ended.
func (c *Core) Advance(now time.Duration) bool {
	ended := false
	for _, r := range slices.Clone(c.runs) {
		due, ends := r.endsAt()
		switch {
		case ends && due <= now && due < c.leaseDeadline:
			c.end(r, due, r.outcome())
		case now >= c.leaseDeadline:
			c.end(r, c.leaseDeadline, jobs.EndLeaseExpired)
		default:
			continue
		}
		ended = true
	}
	return ended
}

// outcome is how a run ends by itself.
func (r *run) outcome() jobs.EndReason {
	if r.key.Number <= r.program.Fails {
		return jobs.EndFailed
	}
	return jobs.EndDone
}

// checkpoint is the progress that a run has saved by now: milliseconds of work.
func (r *run) checkpoint(now time.Duration) string {
	save := time.Duration(r.program.SaveMS) * time.Millisecond
	if save <= 0 {
		return ""
	}
	parseCheckpoint := (now - r.began + r.resumed) / save * save
	if parseCheckpoint <= 0 {
		return ""
	}
	return strconv.FormatInt(parseCheckpoint.Milliseconds(), 10)
}

// percent is how much of a run is done.
func (r *run) percent(now time.Duration) int {
	if r.program.MS <= 0 {
		return 0
	}
	return min(100, int(100*(now-r.began+r.resumed)/(time.Duration(r.program.MS)*time.Millisecond)))
}

func (c *Core) end(r *run, at time.Duration, reason jobs.EndReason) {
	c.runs = slices.DeleteFunc(c.runs, func(other *run) bool { return other == r })
	c.closeUpTo(r.key)
	c.endSequence++
	ended := workerapi.EndedRun{Sequence: c.endSequence, Run: workerapi.RunOf(r.key), EndReason: reason, Checkpoint: r.checkpoint(at)}
	c.unacknowledged = append(c.unacknowledged, ended)
	c.record(Event{Event: EventRunEnd, Worker: c.id, Run: ended.Run, Reason: string(reason), Checkpoint: ended.Checkpoint})
}

// closeUpTo makes a run, and all before it of the same task, impossible to start.
func (c *Core) closeUpTo(key jobs.RunKey) {
	c.closedUpTo[key.Task] = max(c.closedUpTo[key.Task], key.Number)
}

// observeToken tells whether a call is under a lower token than one seen before.
func (c *Core) observeToken(token uint64) bool {
	if token < c.token {
		return true
	}
	c.token = token
	return false
}

func (c *Core) checkWorker(worker string) error {
	if worker != c.id {
		return errs.Field(errs.Unknown, "worker", "%q is not here, %q is", worker, c.id)
	}
	return nil
}

// Start carries a start order out. Failure: Unknown: another life is meant.
func (c *Core) Start(now time.Duration, call workerapi.StartCall) (workerapi.StartAnswer, error) {
	if err := c.checkWorker(call.Worker); err != nil {
		return workerapi.StartAnswer{}, errs.Pass(err, "start")
	}
	c.Advance(now)
	refused := c.start(now, call)
	if refused != "" {
		c.record(Event{Event: EventRunRefuse, Worker: c.id, Run: call.Run, Token: call.Token, Reason: string(refused)})
	}
	return workerapi.StartAnswer{Worker: c.id, Clock: now, Refused: refused}, nil
}

func (c *Core) start(now time.Duration, call workerapi.StartCall) scheduler.Refusal {
	key := call.Run.Key()
	if c.observeToken(call.Token) {
		return scheduler.RefusedFenced
	}
	if c.findRun(key) != nil { // the order came twice
		c.leaseDeadline = max(c.leaseDeadline, call.Deadline)
		return ""
	}
	var program Program
	switch {
	case call.Deadline <= now:
		return scheduler.RefusedExpired
	case key.Number <= c.closedUpTo[key.Task]:
		return scheduler.RefusedStale
	case c.draining:
		return scheduler.RefusedUnhealthy
	case json.Unmarshal([]byte(call.Payload), &program) != nil:
		return scheduler.RefusedInvalid
	case !c.fits(call.Needs.Resources()):
		return scheduler.RefusedCapacity
	}
	c.leaseDeadline = max(c.leaseDeadline, call.Deadline)
	c.runs = append(c.runs, &run{key: key, needs: call.Needs.Resources(), program: program, began: now, resumed: parseCheckpoint(call.Checkpoint)})
	c.record(Event{Event: EventRunStart, Worker: c.id, Run: call.Run, Token: call.Token, Checkpoint: call.Checkpoint,
		Payload: call.Payload, Needs: call.Needs.Resources()})
	return ""
}

// parseCheckpoint reads a checkpoint; one that cannot be read is none.
func parseCheckpoint(checkpoint string) time.Duration {
	ms, err := strconv.ParseInt(checkpoint, 10, 32)
	if err != nil || ms < 0 {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

func (c *Core) findRun(key jobs.RunKey) *run {
	for _, r := range c.runs {
		if r.key == key {
			return r
		}
	}
	return nil
}

// fits tells whether there is room for needs beside all that runs.
func (c *Core) fits(needs jobs.Resources) bool {
	for _, r := range c.runs {
		needs.MilliCPU += r.needs.MilliCPU
		needs.MemoryMB += r.needs.MemoryMB
		needs.GPUs += r.needs.GPUs
	}
	return needs.MilliCPU <= c.capacity.MilliCPU && needs.MemoryMB <= c.capacity.MemoryMB && needs.GPUs <= c.capacity.GPUs
}

// Stop carries a stop order out. Failures: Unknown, Stale: it is fenced.
func (c *Core) Stop(now time.Duration, call workerapi.StopCall) (workerapi.StopAnswer, error) {
	if err := c.checkCall(now, call.Worker, call.Token); err != nil {
		return workerapi.StopAnswer{}, errs.Pass(err, "stop")
	}
	key := call.Run.Key()
	c.closeUpTo(key)
	if r := c.findRun(key); r != nil {
		c.end(r, now, jobs.EndStopped)
	}
	return workerapi.StopAnswer{Worker: c.id}, nil
}

func (c *Core) checkCall(now time.Duration, worker string, token uint64) error {
	if err := c.checkWorker(worker); err != nil {
		return errs.Pass(err, "call")
	}
	c.Advance(now)
	if c.observeToken(token) {
		return errs.Field(errs.Stale, "token", "%d was seen, this is %d", c.token, token)
	}
	return nil
}

// RenewLease takes a hold call in. The answer is Lists, at once or after a while. Failures: Unknown, Stale: it is fenced.
func (c *Core) RenewLease(now time.Duration, call workerapi.RenewLeaseCall) error {
	if err := c.checkCall(now, call.Worker, call.Token); err != nil {
		return errs.Pass(err, "hold")
	}
	c.unacknowledged = slices.DeleteFunc(c.unacknowledged, func(e workerapi.EndedRun) bool { return e.Sequence <= call.AcknowledgedUpTo })
	c.leaseDeadline = max(c.leaseDeadline, call.Deadline)
	return nil
}

// Status gives what runs and what has ended.
func (c *Core) Status(now time.Duration) workerapi.RenewLeaseAnswer {
	answer := workerapi.RenewLeaseAnswer{Worker: c.id, Clock: now, Running: []workerapi.RunningRun{}, More: len(c.unacknowledged) > maxEndsPerAnswer}
	for _, r := range c.runs {
		answer.Running = append(answer.Running, workerapi.RunningRun{Run: workerapi.RunOf(r.key), Checkpoint: r.checkpoint(now), Percent: r.percent(now)})
	}
	answer.Ended = append([]workerapi.EndedRun{}, c.unacknowledged[:min(maxEndsPerAnswer, len(c.unacknowledged))]...)
	return answer
}

// StopAll ends all that runs, as the worker goes.
func (c *Core) StopAll(now time.Duration) {
	c.Advance(now)
	for _, r := range slices.Clone(c.runs) {
		c.end(r, now, jobs.EndStopped)
	}
}
