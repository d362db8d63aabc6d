package scheduler

import (
	"slices"
	"time"

	"crosstide/internal/jobs"
)

// worker is the record of a worker under one term.
type worker struct {
	id        string
	table     *jobs.Table   // Core.table
	trackedAt time.Duration // when the worker was first seen under this term

	runs    map[jobs.RunKey]*run        // those of Core.runs that are on the worker
	orphans map[jobs.RunKey]*orderRetry // stop orders for runs that it lists without a handle in the table

	contact  contact      // owned by contact.go
	lease    leaseState   // owned by lease.go
	renewal  renewalState // owned by renewal.go; others set probeDue
	ends     endAcks      // owned by ack.go; recordEnds sets received, RenewalAnswered acknowledged
	cooldown cooldown     // owned by feasible.go; reconcile.go and move.go set stalledAt

	ordersInFlight int // start and stop orders, see Config.MaxOrdersPerWorker
}

// trackWorker returns the record of a worker, made on first sight. A new one must be probed before it takes starts.
func (c *Core) trackWorker(id string) *worker {
	w := c.workers[id]
	if w == nil {
		w = &worker{
			id:        id,
			table:     c.table,
			trackedAt: c.now,
			runs:      map[jobs.RunKey]*run{},
			orphans:   map[jobs.RunKey]*orderRetry{},
			renewal:   renewalState{probeDue: true},
		}
		c.workers[id] = w
		c.workerList = append(c.workerList, w)
	}
	return w
}

// untrackWorker drops the record of a worker that was deleted from the table.
func (c *Core) untrackWorker(id string) {
	if w := c.workers[id]; w != nil {
		c.ordersInFlight -= w.ordersInFlight
	}
	delete(c.workers, id)
	c.speeds.forgetWorker(id)
	c.workerList = slices.DeleteFunc(c.workerList, func(w *worker) bool { return w.id == id })
}

// record returns the worker's entry in the table; nil if it has none.
func (w *worker) record() *jobs.Worker { return w.table.Workers[w.id] }

// isLeaving reports whether a worker has announced that it shuts down.
func isLeaving(rec *jobs.Worker) bool { return rec.Draining || rec.Left }

// markAnswered records an answered call, with the worker's clock (0: unknown).
func (w *worker) markAnswered(now, clock time.Duration) {
	w.contact.answered(now)
	w.lease.setClock(now, clock)
}

// endReplacedWorker ends the runs of a worker in whose place another incarnation answers: they died with their process.
// The worker takes no starts and isn't called until it is forgotten.
func (c *Core) endReplacedWorker(w *worker) {
	for _, key := range sortedRuns(w.runs) {
		if r := w.runs[key]; r.start.sent {
			c.endRun(r, jobs.EndLost, "")
		}
	}
	w.contact.heardAt, w.contact.failures, w.contact.retryAt = 0, 1, c.now+time.Hour
	clear(w.orphans)
}

// workersToForget returns the workers without runs that were silent for Config.ForgetAfter, and count as gone. A worker
// that has announced its shutdown serves on for a while, and its heartbeats may come late: deleted from the table too
// soon, it would register again as a new one.
func (c *Core) workersToForget(now time.Duration) []string {
	var ids []string
	for _, w := range c.workerList {
		if w.record() == nil || len(w.runs) > 0 || w.ordersInFlight > 0 {
			continue
		}
		if now-max(w.contact.heardAt, w.trackedAt) > c.cfg.ForgetAfter {
			ids = append(ids, w.id)
		}
	}
	return ids
}
