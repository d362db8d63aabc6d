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

	runs    map[jobs.RunKey]*run        // the subset of Core.runs on the worker
	orphans map[jobs.RunKey]*orderRetry // stop orders for listed runs that have no handle in the table

	contact  contact      // owned by contact.go
	lease    leaseState   // owned by lease.go
	renewal  renewalState // owned by renewal.go; other files set probeDue
	ends     endAcks      // owned by ack.go; recordEnds sets received, RenewalAnswered acknowledged
	cooldown cooldown     // owned by feasible.go; reconcile.go and move.go set stalledAt

	ordersInFlight int // start and stop orders in flight, see Config.MaxOrdersPerWorker
}

// trackWorker returns the record of a worker, which it creates if it is missing. A new worker must be probed before it
// is sent starts.
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

// untrackWorker deletes the record of a worker that was deleted from the table.
func (c *Core) untrackWorker(id string) {
	if w := c.workers[id]; w != nil {
		c.ordersInFlight -= w.ordersInFlight
	}
	delete(c.workers, id)
	c.speeds.forgetWorker(id)
	c.workerList = slices.DeleteFunc(c.workerList, func(w *worker) bool { return w.id == id })
}

// record returns the worker's entry in the table, or nil if it has none.
func (w *worker) record() *jobs.Worker { return w.table.Workers[w.id] }

// isLeaving reports whether a worker has announced its shutdown.
func isLeaving(rec *jobs.Worker) bool { return rec.Draining || rec.Left }

// markAnswered records an answered call, with the worker's clock (0: unknown).
func (w *worker) markAnswered(now, clock time.Duration) {
	w.contact.markAnswered(now)
	w.lease.setClock(now, clock)
}

// endReplacedWorker ends the runs of a worker at whose address another incarnation answers, as the runs died with the
// old process. The worker is sent no starts and no renewals until it is deleted from the table.
func (c *Core) endReplacedWorker(w *worker) {
	for _, key := range sortedRuns(w.runs) {
		if r := w.runs[key]; r.start.sent {
			c.endRun(r, jobs.EndLost, "")
		}
	}
	w.contact.heardAt, w.contact.failures, w.contact.retryAt = 0, 1, c.now+time.Hour
	clear(w.orphans)
}

// workersToForget returns the workers without runs that were silent for Config.ForgetAfter and are to be deleted from
// the table. ForgetAfter must be long enough for a worker that has announced its shutdown: it continues for a while and
// its heartbeats may come late. If it were deleted too soon, a late heartbeat would register it as a new worker.
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
