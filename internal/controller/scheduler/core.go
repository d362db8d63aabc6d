// Package scheduler decides which task runs on which worker, and proves which runs are dead. It runs beside the leader
// of the store, under the leader's term.
//
// Core is a step function without clock, socket or goroutine: its owner feeds it changes of the job table, answers of
// workers and the time, and carries out what Pass gives. The order on the ordinary path:
//
//  1. Pass chooses workers for due tasks and gives a Progress to be committed: the run handles.
//  2. After the commit (Committed) the start orders leave, under the term as fencing token.
//  3. Hold calls renew the lease of each worker and bring the lists of running and ended runs.
//  4. Ends go into the next Progress; only after its commit are they acknowledged to the worker.
//
// A new leader takes over with Lead: every handle in the table is a run of unknown fate until the first answer of its
// worker under the new term lists it, or does not.
package scheduler

import (
	"cmp"
	"slices"
	"time"

	"crosstide/internal/jobs"
)

// Out is what a pass wants done.
type Out struct {
	Progress *jobs.Progress // to be committed under its term; answered by Committed
	Starts   []StartOut     // each answered by StartAnswered
	Stops    []StopOut      // each answered by StopAnswered
	Holds    []HoldOut      // each answered by HoldAnswered
	Next     time.Duration  // when the next pass is due at the latest
}

// StartOut is a start order to be sent.
type StartOut struct {
	Worker jobs.Worker
	Order  StartOrder
}

// StopOut is a stop order to be sent.
type StopOut struct {
	Worker jobs.Worker
	Order  StopOrder
}

// HoldOut is a hold call to be sent. Number tells it from others to the same worker.
type HoldOut struct {
	Worker jobs.Worker
	Number uint64
	Call   HoldCall
}

// Counts are what a Core counted since it was made.
type Counts struct {
	Started, Done, Failed, Lost, Lapsed, Refused, Doubted, Stopped, Preempted, Moved uint64
}

// flight is the Progress under way.
type flight struct {
	progress *jobs.Progress
	seen     map[string]uint64 // by worker: the end that may be acknowledged once it is committed
	starts   map[jobs.RunKey]bool
}

// Core holds the scheduler's records. One caller at a time.
type Core struct {
	cfg   Config
	table *jobs.Table
	term  uint64 // 0: not leading
	since time.Duration
	now   time.Duration
	// sequence counts calls and answers, so that an answer can be told to be of a call sent after something.
	sequence uint64

	workers map[string]*worker
	names   []string  // of workers, in the order they were met
	order   []*worker // the same workers, for looks at all of them
	runs    map[jobs.RunKey]*run
	queue   map[string]*job // jobs that are not over or have handles out
	dirty   map[string]bool // jobs to look at again

	unwanted map[jobs.RunKey]*run // runs to be stopped
	straying map[string]bool      // workers with runs that the table does not have

	ends   []jobs.End
	seen   map[string]uint64 // by worker: highest end in ends
	starts []jobs.RunKey     // recorded, to be sent
	flight *flight
	moved  bool // something changed that may let a due task be placed

	sweepAt   time.Duration
	forgetAt  time.Duration           // the next look for workers to forget
	dueAt     time.Time               // the next round that falls due
	ordersOut int                     // start and stop orders under way to all workers
	shortage  shortage                // of connections, here
	avoid     map[jobs.TaskRef]string // workers that tasks failed on or were moved away from
	moves     map[jobs.TaskRef]int    // how often tasks were moved away from slow workers
	speeds    speeds

	discarded map[Cause]Discarded // since this core was made

	// Counts are for metrics and tests.
	Counts Counts
}

// New makes a core that does not lead.
func New(cfg Config) *Core {
	c := &Core{cfg: cfg, discarded: map[Cause]Discarded{}}
	c.clear()
	return c
}

func (c *Core) clear() {
	c.workers, c.names, c.order, c.runs = map[string]*worker{}, nil, nil, map[jobs.RunKey]*run{}
	c.queue, c.dirty, c.seen = map[string]*job{}, map[string]bool{}, map[string]uint64{}
	c.unwanted, c.straying = map[jobs.RunKey]*run{}, map[string]bool{}
	c.ends, c.starts, c.flight = nil, nil, nil
	c.forgetAt, c.ordersOut, c.shortage = 0, 0, shortage{}
	c.avoid, c.moves, c.speeds = map[jobs.TaskRef]string{}, map[jobs.TaskRef]int{}, newSpeeds()
	c.dueAt = time.Time{}
}

// Lead takes up the scheduling of table under term. The table has every commit of earlier terms. The owner passes the
// table's notes to Note from now on.
func (c *Core) Lead(now time.Duration, term uint64, table *jobs.Table) {
	c.clear()
	c.table, c.term, c.since, c.now = table, term, now, now
	for _, id := range sortedKeys(table.Workers) {
		c.meet(id)
	}
	for _, id := range sortedKeys(table.Jobs) {
		c.refresh(id)
	}
	c.moved, c.sweepAt = true, now
}

// Yield lays the scheduling down.
func (c *Core) Yield() {
	c.term = 0
	c.clear()
}

// Term is the term under which this core schedules; 0 when it does not.
func (c *Core) Term() uint64 { return c.term }

// Note takes in a change of the table.
func (c *Core) Note(note jobs.Event) {
	if c.term == 0 {
		return
	}
	c.moved = true
	switch note.Kind {
	case jobs.JobChanged:
		c.dirty[note.Name] = true
	case jobs.WorkerChanged:
		c.meet(note.Name)
	case jobs.ConfigChanged: // a queue may have gone, come back or moved to another service
		for id := range c.queue {
			c.dirty[id] = true
		}
	case jobs.WorkerGone:
		if w := c.workers[note.Name]; w != nil {
			c.ordersOut -= w.orders
		}
		delete(c.workers, note.Name)
		delete(c.speeds.byWorker, note.Name)
		c.names = slices.DeleteFunc(c.names, func(id string) bool { return id == note.Name })
		c.order = slices.DeleteFunc(c.order, func(w *worker) bool { return w.id == note.Name })
	}
}

// Pass gives what is to be done at now; wall is the time of day.
func (c *Core) Pass(now time.Duration, wall time.Time) Out {
	c.now = now
	if c.term == 0 {
		return Out{Next: now + time.Hour}
	}
	c.refreshDirty(wall)
	if now >= c.sweepAt {
		c.sweep(now)
	}
	var out Out
	c.sendStarts(&out)
	c.sendStops(&out)
	c.decide(now, wall, &out)
	waiting := c.sendHolds(now, &out)
	out.Next = c.nextPass(now, wall)
	if waiting {
		out.Next = min(out.Next, now+probeSpan)
	}
	return out
}

func (c *Core) refreshDirty(wall time.Time) {
	if !c.dueAt.IsZero() && !wall.Before(c.dueAt) {
		c.dueAt = time.Time{}
		for id, j := range c.queue {
			if j.timed {
				c.dirty[id] = true
			}
		}
	}
	if len(c.dirty) == 0 {
		return
	}
	for _, id := range sortedKeys(c.dirty) {
		c.refreshAt(id, wall)
	}
	clear(c.dirty)
}

// sweepEvery is the pause between looks at all workers and runs.
const sweepEvery = 250 * time.Millisecond

// sweep looks at everything that time alone changes.
func (c *Core) sweep(now time.Duration) {
	c.sweepAt = now + sweepEvery
	for _, w := range c.order {
		w.probe = w.probe || w.untold(now)
		if w.lapsed(c, now) {
			for _, key := range sortedRuns(w.runs) {
				if r := w.runs[key]; r.sent && !r.ending {
					r.cause = cmp.Or(r.cause, CauseLapsed)
					c.end(r, jobs.EndLost, "")
					c.Counts.Lapsed++
				}
			}
		}
	}
	for _, r := range c.runs {
		if r.wantsStop() {
			c.askStop(r)
		}
	}
	c.moved = true
}

// decide makes the next Progress, if none is under way.
func (c *Core) decide(now time.Duration, wall time.Time, out *Out) {
	if c.flight != nil {
		return
	}
	var starts []jobs.Start
	if c.moved {
		c.moved = false
		starts = c.place(now, wall)
	}
	var forget []string
	if now >= c.forgetAt {
		forget, c.forgetAt = c.forgotten(now), now+sweepEvery
	}
	if len(c.ends) == 0 && len(starts) == 0 && len(forget) == 0 && len(c.seen) == 0 {
		return
	}
	progress := &jobs.Progress{Term: c.term, At: wall, Ends: c.ends, Starts: starts, Forget: forget}
	c.flight = &flight{progress: progress, seen: c.seen, starts: map[jobs.RunKey]bool{}}
	for _, s := range starts {
		c.flight.starts[jobs.RunKey{Task: s.Task, Number: s.Number}] = true
	}
	c.ends, c.seen = nil, map[string]uint64{}
	if len(progress.Ends)+len(progress.Starts)+len(progress.Forget) == 0 {
		c.acknowledge(c.flight.seen) // only ends of runs that are long settled: nothing to commit
		c.flight = nil
		return
	}
	out.Progress = progress
}

// Committed takes in the outcome of the Progress under way. After an error its starts are never sent; if they were
// recorded all the same, they are found in the table and ended as lost.
func (c *Core) Committed(now time.Duration, progress *jobs.Progress, started jobs.Started, err error) {
	c.now = now
	if c.term == 0 || c.flight == nil || c.flight.progress != progress {
		return
	}
	done := c.flight
	c.flight, c.moved = nil, true
	if err != nil {
		c.ends = append(done.progress.Ends, c.ends...)
		for id, sequence := range done.seen {
			c.seen[id] = max(c.seen[id], sequence)
		}
		for _, s := range done.progress.Starts {
			c.dirty[s.Task.Job] = true
		}
		return
	}
	c.acknowledge(done.seen)
	for i, s := range progress.Starts {
		c.dirty[s.Task.Job] = true
		if i < len(started.Recorded) && started.Recorded[i] {
			c.record(s)
		}
	}
}

func (c *Core) acknowledge(seen map[string]uint64) {
	for id, sequence := range seen {
		if w := c.workers[id]; w != nil && sequence > w.seen {
			w.seen, w.seenAt = sequence, c.now
		}
	}
}

// record notes a run whose handle was committed; its order leaves with the next pass.
func (c *Core) record(s jobs.Start) {
	key := jobs.RunKey{Task: s.Task, Number: s.Number}
	r := c.addRun(key, s.Worker, true)
	if r != nil {
		c.starts = append(c.starts, key)
	}
}

// sendStarts gives the start orders of the handles just recorded. One for a worker that has stopped answering meanwhile
// never leaves: its task is due again at once, and no doubt can come of it.
func (c *Core) sendStarts(out *Out) {
	var later []jobs.RunKey
	for _, key := range c.starts {
		r := c.runs[key]
		if r == nil || r.sent || r.ending {
			continue
		}
		w := c.workers[r.worker]
		j := c.table.Jobs[key.Task.Job]
		if w == nil || w.record() == nil || !w.reachable() || j == nil || j.State.IsTerminal() || r.stop {
			c.end(r, jobs.EndLost, "") // it never left
			continue
		}
		if !w.mayOrder(c) {
			later = append(later, key)
			continue
		}
		r.sent, r.sentAt = true, c.now
		c.ordered(w)
		task := j.Rounds[key.Task.Round][key.Task.Step][key.Task.Index]
		out.Starts = append(out.Starts, StartOut{Worker: *w.record(), Order: StartOrder{
			Key: key, Payload: j.Spec.Payload, Needs: r.needs, Deadline: w.grant(c, c.now), Token: c.term, Checkpoint: task.Checkpoint}})
		c.Counts.Started++
	}
	c.starts = later
}

func (c *Core) nextPass(now time.Duration, wall time.Time) time.Duration {
	next := now + time.Second
	if len(c.runs) > 0 || len(c.queue) > 0 {
		next = max(now+time.Millisecond, c.sweepAt)
	}
	if !c.dueAt.IsZero() {
		next = min(next, now+max(time.Millisecond, c.dueAt.Sub(wall)))
	}
	return next
}
