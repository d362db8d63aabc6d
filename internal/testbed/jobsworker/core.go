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
	EventBorn   = "born"   // the worker's life began
	EventStart  = "start"  // a run began
	EventRefuse = "refuse" // a start was refused; Why tells the reason
	EventEnd    = "end"    // a run ended; Why tells how
)

// Event is what a worker did, as its journal keeps it.
type Event struct {
	At         time.Time      `json:"at"`
	Event      string         `json:"event"`
	Worker     string         `json:"worker"`
	Run        workerapi.Run  `json:"run,omitzero"`
	Token      uint64         `json:"token,omitempty"`
	Why        string         `json:"why,omitempty"`
	Checkpoint string         `json:"checkpoint,omitempty"`
	Payload    string         `json:"payload,omitempty"`
	Needs      jobs.Resources `json:"needs,omitzero"`
	Zone       string         `json:"zone,omitempty"`
	Rack       string         `json:"rack,omitempty"`
	Labels     []string       `json:"labels,omitempty"`
}

// mostEnds is how many ends one answer lists.
const mostEnds = 200

// Core is one life of a worker, without a clock or a network of its own. Every method takes the time on the worker's
// clock, which must not go back. It has no lock: its owner has.
type Core struct {
	id       string
	capacity jobs.Resources
	draining bool
	token    uint64        // highest fencing token seen
	lease    time.Duration // end of the lease of all that runs
	runs     []*run        // in the order they began
	ends     []workerapi.EndedRun
	sequence uint64               // of the newest end
	floor    map[jobs.TaskRef]int // newest run of a task that was stopped or has ended
	record   func(Event)
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
	return &Core{id: id, capacity: capacity, floor: map[jobs.TaskRef]int{}, record: record}
}

// Drain makes the worker refuse all starts from here on.
func (c *Core) Drain() { c.draining = true }

// Idle tells whether nothing runs and all ends were acknowledged.
func (c *Core) Idle() bool { return len(c.runs) == 0 && len(c.ends) == 0 }

// Next gives when Advance is to be called at the latest; false if nothing runs.
func (c *Core) Next() (time.Duration, bool) {
	if len(c.runs) == 0 {
		return 0, false
	}
	next := c.lease
	for _, r := range c.runs {
		if due, ends := r.due(); ends {
			next = min(next, due)
		}
	}
	return next, true
}

// due is when a run ends by itself; false if it does not.
func (r *run) due() (time.Duration, bool) {
	return r.began - r.resumed + time.Duration(r.program.MS)*time.Millisecond, r.program.MS >= 0
}

// Advance carries out what time has brought: runs that end by themselves, and the end of the lease, which kills all
// that still runs. It tells whether anything ended.
func (c *Core) Advance(now time.Duration) bool {
	ended := false
	for _, r := range slices.Clone(c.runs) {
		due, ends := r.due()
		switch {
		case ends && due <= now && due < c.lease:
			c.end(r, due, r.outcome())
		case now >= c.lease:
			c.end(r, c.lease, jobs.EndLeaseExpired)
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
	saved := (now - r.began + r.resumed) / save * save
	if saved <= 0 {
		return ""
	}
	return strconv.FormatInt(saved.Milliseconds(), 10)
}

// percent is how much of a run is done.
func (r *run) percent(now time.Duration) int {
	if r.program.MS <= 0 {
		return 0
	}
	return min(100, int(100*(now-r.began+r.resumed)/(time.Duration(r.program.MS)*time.Millisecond)))
}

func (c *Core) end(r *run, at time.Duration, how jobs.EndReason) {
	c.runs = slices.DeleteFunc(c.runs, func(other *run) bool { return other == r })
	c.raise(r.key)
	c.sequence++
	ended := workerapi.EndedRun{Sequence: c.sequence, Run: workerapi.RunOf(r.key), EndReason: how, Checkpoint: r.checkpoint(at)}
	c.ends = append(c.ends, ended)
	c.record(Event{Event: EventEnd, Worker: c.id, Run: ended.Run, Why: string(how), Checkpoint: ended.Checkpoint})
}

// raise makes a run, and all before it of the same task, impossible to start.
func (c *Core) raise(key jobs.RunKey) { c.floor[key.Task] = max(c.floor[key.Task], key.Number) }

// fenced tells whether a call is under a lower token than one seen before.
func (c *Core) fenced(token uint64) bool {
	if token < c.token {
		return true
	}
	c.token = token
	return false
}

func (c *Core) checkName(worker string) error {
	if worker != c.id {
		return errs.Field(errs.Unknown, "worker", "%q is not here, %q is", worker, c.id)
	}
	return nil
}

// Start carries a start order out. Failure: Unknown: another life is meant.
func (c *Core) Start(now time.Duration, call workerapi.StartCall) (workerapi.StartAnswer, error) {
	if err := c.checkName(call.Worker); err != nil {
		return workerapi.StartAnswer{}, errs.Pass(err, "start")
	}
	c.Advance(now)
	refused := c.start(now, call)
	if refused != "" {
		c.record(Event{Event: EventRefuse, Worker: c.id, Run: call.Run, Token: call.Token, Why: string(refused)})
	}
	return workerapi.StartAnswer{Worker: c.id, Clock: now, Refused: refused}, nil
}

func (c *Core) start(now time.Duration, call workerapi.StartCall) scheduler.Refusal {
	key := call.Run.Key()
	if c.fenced(call.Token) {
		return scheduler.RefusedFenced
	}
	if c.find(key) != nil { // the order came twice
		c.lease = max(c.lease, call.Deadline)
		return ""
	}
	var program Program
	switch {
	case call.Deadline <= now:
		return scheduler.RefusedExpired
	case key.Number <= c.floor[key.Task]:
		return scheduler.RefusedStale
	case c.draining:
		return scheduler.RefusedUnhealthy
	case json.Unmarshal([]byte(call.Payload), &program) != nil:
		return scheduler.RefusedInvalid
	case !c.fits(call.Needs.Resources()):
		return scheduler.RefusedCapacity
	}
	c.lease = max(c.lease, call.Deadline)
	c.runs = append(c.runs, &run{key: key, needs: call.Needs.Resources(), program: program, began: now, resumed: saved(call.Checkpoint)})
	c.record(Event{Event: EventStart, Worker: c.id, Run: call.Run, Token: call.Token, Checkpoint: call.Checkpoint,
		Payload: call.Payload, Needs: call.Needs.Resources()})
	return ""
}

// saved reads a checkpoint; one that cannot be read is none.
func saved(checkpoint string) time.Duration {
	ms, err := strconv.ParseInt(checkpoint, 10, 32)
	if err != nil || ms < 0 {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

func (c *Core) find(key jobs.RunKey) *run {
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
	c.raise(key)
	if r := c.find(key); r != nil {
		c.end(r, now, jobs.EndStopped)
	}
	return workerapi.StopAnswer{Worker: c.id}, nil
}

func (c *Core) checkCall(now time.Duration, worker string, token uint64) error {
	if err := c.checkName(worker); err != nil {
		return errs.Pass(err, "call")
	}
	c.Advance(now)
	if c.fenced(token) {
		return errs.Field(errs.Stale, "token", "%d was seen, this is %d", c.token, token)
	}
	return nil
}

// Hold takes a hold call in. The answer is Lists, at once or after a while. Failures: Unknown, Stale: it is fenced.
func (c *Core) Hold(now time.Duration, call workerapi.RenewLeaseCall) error {
	if err := c.checkCall(now, call.Worker, call.Token); err != nil {
		return errs.Pass(err, "hold")
	}
	c.ends = slices.DeleteFunc(c.ends, func(e workerapi.EndedRun) bool { return e.Sequence <= call.SeenUpTo })
	c.lease = max(c.lease, call.Deadline)
	return nil
}

// Lists gives what runs and what has ended.
func (c *Core) Lists(now time.Duration) workerapi.RenewLeaseAnswer {
	answer := workerapi.RenewLeaseAnswer{Worker: c.id, Clock: now, Running: []workerapi.RunningRun{}, More: len(c.ends) > mostEnds}
	for _, r := range c.runs {
		answer.Running = append(answer.Running, workerapi.RunningRun{Run: workerapi.RunOf(r.key), Checkpoint: r.checkpoint(now), Percent: r.percent(now)})
	}
	answer.Ended = append([]workerapi.EndedRun{}, c.ends[:min(mostEnds, len(c.ends))]...)
	return answer
}

// StopAll ends all that runs, as the worker goes.
func (c *Core) StopAll(now time.Duration) {
	c.Advance(now)
	for _, r := range slices.Clone(c.runs) {
		c.end(r, now, jobs.EndStopped)
	}
}
