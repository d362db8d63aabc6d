package scheduler

import (
	"time"

	"crosstide/internal/jobs"
)

// worker is what the leader knows of a worker under its term.
type worker struct {
	id    string
	table *jobs.Table
	runs  map[jobs.RunKey]*run
	// orphans are runs that the worker lists and the table does not have: to be stopped.
	orphans map[jobs.RunKey]*orphan

	trackedAt time.Duration // when its record was first seen under this term
	heardAt   time.Duration // when it last answered or sent a heartbeat; 0: not under this term
	answered  bool          // it answered a hold call under this term: no older token counts there any more
	// answeredAt is when it last answered a call; verifyAt, when an answer newer than that began to be needed.
	answeredAt, verifyAt time.Duration
	unansweredAt         time.Duration // when the first call since answeredAt was found to be without an answer; 0: never
	clock                time.Duration // its clock at clockAt
	clockAt              time.Duration
	clockOK              bool
	leaseUntil           time.Duration // the latest lease that may be in force there, on its clock; 0: unknown

	longPoll              uint64        // the hold call that waits; 0: none
	probeCall             uint64        // the hold call that asks at once; 0: none
	probeSentAt           time.Duration // when it was sent
	probeDue              bool          // something must be asked at once
	receivedEnd           uint64        // highest end taken in
	durableEnd            uint64        // highest end that is durable
	durableAt             time.Duration // when it became so
	acknowledgedEnd       uint64        // highest end that the worker surely knows to be durable
	longPollAck, probeAck uint64        // what the calls under way tell of it
	failures              int
	// throttledUntil is when the worker is called without care again.
	throttledUntil time.Duration
	suspect        bool // an order got no answer, and nothing was heard since
	retryAt        time.Duration
	ordersInFlight int           // start and stop orders under way
	fullAt         time.Duration // it refused for room then: our account of it is wrong for a moment
	unhealthyAt    time.Duration // it refused as unhealthy then
	stalledAt      time.Duration // a run on it was found standing still then, and none has gone on since; 0: none
	leavesAt       time.Duration // while draining: when it may be gone, on our clock; 0: unknown
}

// trackWorker gives the record of a worker.
func (c *Core) trackWorker(id string) *worker {
	w := c.workers[id]
	if w == nil {
		w = &worker{id: id, table: c.table, trackedAt: c.now, runs: map[jobs.RunKey]*run{}, orphans: map[jobs.RunKey]*orphan{}, probeDue: true}
		c.workers[id] = w
		c.workerIDs, c.workerList = append(c.workerIDs, id), append(c.workerList, w)
	}
	return w
}

func (w *worker) record() *jobs.Worker { return w.table.Workers[w.id] }

// isLeaving tells whether a worker has said that it ends.
func isLeaving(rec *jobs.Worker) bool { return rec.Draining || rec.Left }

// isReachable tells whether the newest call to the worker was answered.
func (w *worker) isReachable() bool { return w.failures == 0 && !w.suspect }

// markHeard notes a sign of life, with the worker's clock if it was told.
func (w *worker) markHeard(c *Core, now, clock time.Duration) {
	w.heardAt, w.answeredAt = max(now, 1), max(now, 1)
	w.failures, w.retryAt, w.suspect = 0, 0, false
	if clock > 0 && (!w.clockOK || clock > w.clock) {
		w.clock, w.clockAt, w.clockOK = clock, now, true
	}
}

// markFailed notes a call without an answer.
func (w *worker) markFailed(c *Core, now time.Duration) {
	w.failures++
	pause := c.cfg.RetryMin << min(w.failures-1, 8)
	w.retryAt = now + min(pause, c.cfg.RetryMax)
}

// markRefused notes why a worker did not take a start.
func (w *worker) markRefused(c *Core, now time.Duration, why Refusal) {
	switch why {
	case RefusedCapacity:
		w.fullAt = max(now, 1)
		w.probeDue = true
	case RefusedUnhealthy, RefusedInvalid:
		w.unhealthyAt = max(now, 1)
	}
}

// Heartbeat takes in a heartbeat. remaining is how long a draining worker stays at least; 0 if it did not say.
func (c *Core) Heartbeat(now time.Duration, id string, clock, remaining time.Duration) {
	w := c.workers[id]
	if c.term == 0 || w == nil {
		return
	}
	silent := w.heardAt == 0 || w.failures > 0 || now-w.heardAt > c.cfg.SilenceTimeout
	if w.retryAt > now+c.cfg.RetryMax {
		return // another life has its address
	}
	w.heardAt = max(now, 1)
	if clock > 0 && !w.clockOK {
		w.clock, w.clockAt, w.clockOK = clock, now, true
	}
	if remaining > 0 {
		w.leavesAt = now + remaining
	}
	if silent {
		w.probeDue, w.retryAt = true, min(w.retryAt, now)
		c.placementDue = true
	}
}

// endReplacedWorker ends all runs of a worker in whose place another life answers.
func (c *Core) endReplacedWorker(w *worker) {
	for _, key := range sortedRuns(w.runs) {
		if r := w.runs[key]; r.sent {
			c.endRun(r, jobs.EndLost, "")
		}
	}
	w.markDead(c)
}

// markDead makes a worker take no starts until it is forgotten.
func (w *worker) markDead(c *Core) {
	w.heardAt, w.failures, w.retryAt = 0, 1, c.now+time.Hour
	clear(w.orphans)
}

// workersToForget gives the workers without runs that are gone: silent for long. One that said that it ends serves on for a
// while, and heartbeats that it sent before may come late; forgotten too soon, it would come back as a new one.
func (c *Core) workersToForget(now time.Duration) []string {
	var out []string
	for _, w := range c.workerList {
		rec := w.record()
		if rec == nil || len(w.runs) > 0 || w.ordersInFlight > 0 {
			continue
		}
		if now-max(w.heardAt, w.trackedAt) > c.cfg.ForgetAfter {
			out = append(out, w.id)
		}
	}
	return out
}
