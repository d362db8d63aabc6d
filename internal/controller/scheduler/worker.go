package scheduler

import (
	"cmp"
	"slices"
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

type orphan struct {
	stopInFlight bool
	retryAt      time.Duration
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

func (w *worker) orphanKeys() []jobs.RunKey {
	if len(w.orphans) == 0 {
		return nil
	}
	keys := make([]jobs.RunKey, 0, len(w.orphans))
	for key := range w.orphans {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, jobs.RunKey.Compare)
	return keys
}

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

// throttlePeriod is how long after a call without an answer a worker is called with care.
const throttlePeriod = 10 * time.Second

// markUnanswered notes that a call to the worker got no answer.
//
// From then on the worker is called with care for a while: one order at a time, and hold calls that leave the connection
// free for it. A connection that is given up behind a cut, or whose leader lost its power, stays open at the worker; it
// takes only so many and resets new ones, so that what is left must do for everything.
func (c *Core) markUnanswered(w *worker, now time.Duration) {
	w.throttledUntil = now + throttlePeriod
	if w.unansweredAt <= w.answeredAt {
		w.unansweredAt = max(now, 1)
		c.verifyZone(w, now)
	}
}

// Bounds of the suspicion that a whole zone is lost.
const (
	minZoneLosses  = 3                     // workers of a zone without an answer, at least
	zoneFraction   = 16                    // and one in so many of its workers
	zoneLossWindow = time.Second           // within which they were found
	freshAnswer    = 50 * time.Millisecond // an answer that is younger needs no other
)

// isLeaving tells whether a worker has said that it ends.
func isLeaving(rec *jobs.Worker) bool { return rec.Draining || rec.Left }

// verifyZone asks all workers of a worker's zone at once, if several of them have stopped answering. None takes starts
// before it has answered: a start that is sent into a lost zone is stuck until the worker's lease ends. Workers that have
// said that they end tell nothing of their zone when they do.
func (c *Core) verifyZone(w *worker, now time.Duration) {
	rec := w.record()
	if rec == nil || isLeaving(rec) {
		return
	}
	var others []*worker
	losses, members := 0, 0
	for _, other := range c.workerList {
		otherRec := other.record()
		if otherRec == nil || otherRec.Zone != rec.Zone || isLeaving(otherRec) {
			continue
		}
		members++
		if other.unansweredAt > other.answeredAt && now-other.unansweredAt <= zoneLossWindow {
			losses++
		} else if now-other.answeredAt > freshAnswer {
			others = append(others, other)
		}
	}
	if losses < max(minZoneLosses, members/zoneFraction) {
		return
	}
	for _, other := range others {
		other.verifyAt, other.probeDue = now, true
	}
}

// canOrder tells whether one more order may be under way to the worker.
func (w *worker) canOrder(c *Core) bool {
	if c.now < w.throttledUntil {
		return w.ordersInFlight == 0
	}
	return w.ordersInFlight < c.cfg.MaxOrdersPerWorker
}

// canLongPoll tells whether a hold call that waits for an end may be sent.
func (w *worker) canLongPoll(c *Core) bool {
	if !w.isReachable() || w.longPoll != 0 || len(w.runs) == 0 || !w.answered {
		return false
	}
	return c.now >= w.throttledUntil || w.ordersInFlight == 0 && w.probeCall == 0 && !w.hasRunsToStop()
}

// hasRunsToStop tells whether a run on the worker is to be stopped.
func (w *worker) hasRunsToStop() bool {
	for _, r := range w.runs {
		if r.needsStop() {
			return true
		}
	}
	return len(w.orphans) > 0
}

// Shorter waits of hold calls.
const (
	throttledWait = 250 * time.Millisecond // at a worker that is called with care
	overdueWait   = 400 * time.Millisecond // while a run takes longer than expected: it may stand still
)

// renewalWait is how long the next hold call waits.
func (w *worker) renewalWait(c *Core) time.Duration {
	switch {
	case c.now < w.throttledUntil:
		return min(c.cfg.RenewalWait, throttledWait)
	case w.isOverdue(c):
		return min(c.cfg.RenewalWait, overdueWait)
	}
	return c.cfg.RenewalWait
}

// isOverdue tells whether a run on the worker takes longer than expected and might be moved.
func (w *worker) isOverdue(c *Core) bool {
	for _, r := range w.runs {
		if r.ownTerm && r.sent && !r.longRunning && !r.gang && !r.ending && c.now-r.sentAt > c.expected(r.estimate) {
			return true
		}
	}
	return false
}

// isReachable tells whether the newest call to the worker was answered.
func (w *worker) isReachable() bool { return w.failures == 0 && !w.suspect }

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

// grantLease gives the deadline of a new lease, on the worker's clock, and notes that it may be in force.
func (w *worker) grantLease(c *Core, now time.Duration) time.Duration {
	if !w.clockOK {
		return 0
	}
	deadline := w.clock + (now - w.clockAt) + c.cfg.Lease
	w.leaseUntil = max(w.leaseUntil, deadline)
	return deadline
}

// minClock is the least that the worker's clock shows at now.
func (w *worker) minClock(c *Core, now time.Duration) time.Duration {
	return w.clock + time.Duration(float64(now-w.clockAt)*(1-c.cfg.ClockSlack))
}

// leaseExpired tells whether every lease that may have been given to the worker is surely over. Heartbeats say nothing of it:
// they may come by way of another node while no call gets through.
func (w *worker) leaseExpired(c *Core, now time.Duration) bool {
	// An earlier leader may have granted a whole lease just before this term began.
	if !w.answered && time.Duration(float64(now-c.leaderSince)*(1-c.cfg.ClockSlack)) <= c.cfg.Lease+2*c.cfg.ExpiryMargin {
		return false
	}
	if !w.answered && w.leaseUntil == 0 {
		return true
	}
	return w.minClock(c, now) > w.leaseUntil+c.cfg.ExpiryMargin
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

// ackDelay is how long an end that is durable may wait for a call that tells the worker so. Mostly the next run brings one.
const ackDelay = 1500 * time.Millisecond

// needsAck tells whether a worker on which nothing runs waits to hear that its last ends are durable.
func (w *worker) needsAck(now time.Duration) bool {
	calling := w.longPoll != 0 || w.probeCall != 0
	return w.durableEnd > w.acknowledgedEnd && len(w.runs) == 0 && !calling && now-w.durableAt >= ackDelay
}

// probeWindow is how long a hold call that asks at once counts as under way for Config.MaxProbes: a worker that is there
// answers within it, and those that are not must not keep the leader from asking the others.
const probeWindow = 50 * time.Millisecond

// probesInFlight counts the workers that were asked at once just now and have not answered.
func (c *Core) probesInFlight(now time.Duration) int {
	count := 0
	for _, w := range c.workerList {
		if w.probeCall != 0 && now-w.probeSentAt < probeWindow {
			count++
		}
	}
	return count
}

// sendRenewals gives the hold calls that are due. A new leader asks every worker at once; it does so a few at a time, as the
// store's heartbeats share its processor. It tells whether some must wait for that.
func (c *Core) sendRenewals(now time.Duration, out *Actions) (waiting bool) {
	probes := c.probesInFlight(now)
	for _, w := range c.workerList {
		if !w.probeDue && (w.longPoll != 0 || len(w.runs) == 0) || now < w.retryAt {
			continue // nothing to ask: the rule for most workers in most passes
		}
		rec := w.record()
		if rec == nil || rec.Left && len(w.runs) == 0 && w.acknowledgedEnd >= w.durableEnd {
			continue // it takes no starts any more, and nothing of it is waited for
		}
		if w.probeDue && w.probeCall == 0 {
			if probes < c.cfg.MaxProbes {
				w.probeDue, w.probeSentAt, w.probeAck = false, now, w.durableEnd
				w.probeCall = c.renewLease(w, rec, 0, out)
				probes++
			} else {
				waiting = true
			}
			continue
		}
		_, pending := c.highestEnd[w.id]
		committing := c.inFlight != nil && c.inFlight.highestEnd[w.id] > 0
		if w.canLongPoll(c) && !pending && !committing {
			w.longPoll, w.longPollAck = c.renewLease(w, rec, w.renewalWait(c), out), w.durableEnd
		}
	}
	return waiting
}

// renewal makes one hold call and gives its number. A worker that did not answer the call before gets no new lease: a call
// that may or may not have arrived must not put the lapse off for ever.
func (c *Core) renewLease(w *worker, rec *jobs.Worker, wait time.Duration, out *Actions) uint64 {
	c.sequence++
	call := LeaseRenewal{Token: c.term, AcknowledgedUpTo: w.durableEnd, Wait: wait}
	if len(w.runs) > 0 && w.failures == 0 {
		call.LeaseDeadline = w.grantLease(c, c.now)
	}
	out.Renewals = append(out.Renewals, RenewalAction{Worker: *rec, Number: c.sequence, Call: call})
	return c.sequence
}

// RenewalError says how a hold call without an answer failed.
type RenewalError int

// The failures of a hold call.
const (
	RenewalOK               RenewalError = iota // it was answered
	RenewalFailed                               // no answer
	RenewalOtherIncarnation                     // another life answered: the worker is gone for good
	RenewalFenced                               // the worker has seen a higher token: this leader is an old one
	RenewalNoConnection                         // it never left, for want of a connection here: it says nothing of the worker
)

// RenewalAnswered takes in the answer to the hold call of a number.
func (c *Core) RenewalAnswered(now time.Duration, id string, number uint64, answer RenewalAnswer, err RenewalError) {
	c.now = now
	w := c.workers[id]
	if c.term == 0 || w == nil || number != w.longPoll && number != w.probeCall {
		return
	}
	acknowledged := w.probeAck
	if number == w.longPoll {
		w.longPoll, acknowledged = 0, w.longPollAck
	} else {
		w.probeCall = 0
	}
	switch err {
	case RenewalNoConnection:
		c.connBackoff.failed(c.cfg, now)
		w.retryAt = max(w.retryAt, c.connBackoff.until)
		w.probeDue = w.probeDue || !w.answered
		return
	case RenewalOtherIncarnation:
		c.endReplacedWorker(w)
		return
	case RenewalFailed, RenewalFenced:
		c.markUnanswered(w, now)
		w.markFailed(c, now)
		w.probeDue = w.probeDue || len(w.runs) > 0 || !w.answered
		return
	}
	w.markHeard(c, now, answer.Clock)
	w.acknowledgedEnd = max(w.acknowledgedEnd, acknowledged)
	if !w.answered {
		w.answered = true
		// No earlier leader can renew from here on; what one granted ends by then, as all go by the same settings.
		w.leaseUntil = max(w.leaseUntil, answer.Clock+c.cfg.Lease+c.cfg.ExpiryMargin)
	}
	c.placementDue = true
	c.recordEnds(w, answer.Ended)
	c.reconcileRunning(w, number, answer)
}

// recordEnds takes in ended runs; an end is a fact however old the answer is.
func (c *Core) recordEnds(w *worker, ended []EndedRun) {
	for _, e := range ended {
		if e.Sequence <= w.receivedEnd {
			continue
		}
		w.receivedEnd = e.Sequence
		c.highestEnd[w.id] = e.Sequence
		delete(w.orphans, e.Key)
		r := w.runs[e.Key]
		if r == nil || r.ending {
			continue
		}
		if e.Reason == jobs.EndDone {
			w.stalledAt = 0
		}
		c.speeds.observeEnd(c, w, r, e.Reason)
		c.endRun(r, e.Reason, e.Checkpoint)
	}
}

// reconcileRunning holds the list of running runs against the handles, both ways.
func (c *Core) reconcileRunning(w *worker, number uint64, answer RenewalAnswer) {
	present := make(map[jobs.RunKey]bool, len(answer.Running)+len(answer.Ended))
	for _, e := range answer.Ended {
		present[e.Key] = true
	}
	for _, l := range answer.Running {
		present[l.Key] = true
		r := w.runs[l.Key]
		if r == nil {
			if w.orphans[l.Key] == nil && c.runs[l.Key] == nil && !c.startInFlight(l.Key) {
				w.orphans[l.Key] = &orphan{}
				c.workersWithOrphans[w.id] = true
			}
			continue
		}
		if !r.listed {
			r.listed, r.advancedAt = true, c.now
			if r.accepted != 0 {
				r.advancedAt = r.acceptedAt
			}
		}
		if l.Percent > r.percent {
			r.advancedAt, w.stalledAt = c.now, 0
		}
		r.checkpoint, r.percent, r.progressAt = l.Checkpoint, l.Percent, c.now
	}
	for key := range w.orphans {
		if !present[key] {
			delete(w.orphans, key)
		}
	}
	if answer.Full {
		return
	}
	for _, key := range sortedRuns(w.runs) {
		r := w.runs[key]
		switch {
		case present[key] || r.ending:
		case r.isProvedDead(number):
			c.endRun(r, jobs.EndLost, "")
		case r.unconfirmed && r.unconfirmedAt < number:
			r.missing, r.cause = true, cmp.Or(r.cause, CauseUnanswered)
			c.queueStop(r)
		}
	}
}

func (c *Core) startInFlight(key jobs.RunKey) bool {
	return c.inFlight != nil && c.inFlight.starts[key]
}

// isProvedDead tells whether a run that the answer to the hold call of a number does not list is surely dead and never
// starts later: a run of an earlier term, whose orders the token of that call has fenced; one whose start or stop was
// answered before the call left. A start without an answer proves nothing: it may be carried out late.
func (r *run) isProvedDead(number uint64) bool {
	switch {
	case !r.ownTerm:
		return true
	case !r.sent:
		return false
	case r.stopped != 0 && r.stopped < number:
		return true
	}
	return r.accepted != 0 && r.accepted < number
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
