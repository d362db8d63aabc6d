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
	// strays are runs that the worker lists and the table does not have: to be stopped.
	strays map[jobs.RunKey]*stray

	metAt    time.Duration // when its record was first seen under this term
	heardAt  time.Duration // when it last answered or sent a heartbeat; 0: not under this term
	answered bool          // it answered a hold call under this term: no older token counts there any more
	// answeredAt is when it last answered a call; verifyAt, when an answer newer than that began to be needed.
	answeredAt, verifyAt time.Duration
	unansweredAt         time.Duration // when the first call since answeredAt was found to be without an answer; 0: never
	clock                time.Duration // its clock at clockAt
	clockAt              time.Duration
	clockOK              bool
	granted              time.Duration // the latest lease that may be in force there, on its clock; 0: unknown

	holding                    uint64        // the hold call that waits; 0: none
	probing                    uint64        // the hold call that asks at once; 0: none
	probedAt                   time.Duration // when it was sent
	probe                      bool          // something must be asked at once
	noted                      uint64        // highest end taken in
	seen                       uint64        // highest end that is durable
	seenAt                     time.Duration // when it became so
	told                       uint64        // highest end that the worker surely knows to be durable
	holdingTells, probingTells uint64        // what the calls under way tell of it
	failures                   int
	// carefulUntil is when the worker is called without care again.
	carefulUntil time.Duration
	suspect      bool // an order got no answer, and nothing was heard since
	retryAt      time.Duration
	orders       int           // start and stop orders under way
	fullAt       time.Duration // it refused for room then: our account of it is wrong for a moment
	sickAt       time.Duration // it refused as unhealthy then
	stalledAt    time.Duration // a run on it was found standing still then, and none has gone on since; 0: none
	leaving      time.Duration // while draining: when it may be gone, on our clock; 0: unknown
}

type stray struct {
	stopping bool
	retryAt  time.Duration
}

// meet gives the record of a worker.
func (c *Core) meet(id string) *worker {
	w := c.workers[id]
	if w == nil {
		w = &worker{id: id, table: c.table, metAt: c.now, runs: map[jobs.RunKey]*run{}, strays: map[jobs.RunKey]*stray{}, probe: true}
		c.workers[id] = w
		c.names, c.order = append(c.names, id), append(c.order, w)
	}
	return w
}

func (w *worker) record() *jobs.Worker { return w.table.Workers[w.id] }

func (w *worker) strayKeys() []jobs.RunKey {
	if len(w.strays) == 0 {
		return nil
	}
	keys := make([]jobs.RunKey, 0, len(w.strays))
	for key := range w.strays {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, jobs.RunKey.Compare)
	return keys
}

// heard notes a sign of life, with the worker's clock if it was told.
func (w *worker) heard(c *Core, now, clock time.Duration) {
	w.heardAt, w.answeredAt = max(now, 1), max(now, 1)
	w.failures, w.retryAt, w.suspect = 0, 0, false
	if clock > 0 && (!w.clockOK || clock > w.clock) {
		w.clock, w.clockAt, w.clockOK = clock, now, true
	}
}

// failed notes a call without an answer.
func (w *worker) failed(c *Core, now time.Duration) {
	w.failures++
	pause := c.cfg.RetryMin << min(w.failures-1, 8)
	w.retryAt = now + min(pause, c.cfg.RetryMax)
}

// careFor is how long after a call without an answer a worker is called with care.
const careFor = 10 * time.Second

// unanswered notes that a call to the worker got no answer.
//
// From then on the worker is called with care for a while: one order at a time, and hold calls that leave the connection
// free for it. A connection that is given up behind a cut, or whose leader lost its power, stays open at the worker; it
// takes only so many and resets new ones, so that what is left must do for everything.
func (c *Core) unanswered(w *worker, now time.Duration) {
	w.carefulUntil = now + careFor
	if w.unansweredAt <= w.answeredAt {
		w.unansweredAt = max(now, 1)
		c.verifyZone(w, now)
	}
}

// Bounds of the suspicion that a whole zone is lost.
const (
	zoneLosses   = 3                     // workers of a zone without an answer, at least
	zonePart     = 16                    // and one in so many of its workers
	zoneLossSpan = time.Second           // within which they were found
	freshAnswer  = 50 * time.Millisecond // an answer that is younger needs no other
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
	for _, other := range c.order {
		otherRec := other.record()
		if otherRec == nil || otherRec.Zone != rec.Zone || isLeaving(otherRec) {
			continue
		}
		members++
		if other.unansweredAt > other.answeredAt && now-other.unansweredAt <= zoneLossSpan {
			losses++
		} else if now-other.answeredAt > freshAnswer {
			others = append(others, other)
		}
	}
	if losses < max(zoneLosses, members/zonePart) {
		return
	}
	for _, other := range others {
		other.verifyAt, other.probe = now, true
	}
}

// mayOrder tells whether one more order may be under way to the worker.
func (w *worker) mayOrder(c *Core) bool {
	if c.now < w.carefulUntil {
		return w.orders == 0
	}
	return w.orders < c.cfg.MostOrders
}

// mayWait tells whether a hold call that waits for an end may be sent.
func (w *worker) mayWait(c *Core) bool {
	if !w.reachable() || w.holding != 0 || len(w.runs) == 0 || !w.answered {
		return false
	}
	return c.now >= w.carefulUntil || w.orders == 0 && w.probing == 0 && !w.stopWanted()
}

// stopWanted tells whether a run on the worker is to be stopped.
func (w *worker) stopWanted() bool {
	for _, r := range w.runs {
		if r.wantsStop() {
			return true
		}
	}
	return len(w.strays) > 0
}

// Shorter waits of hold calls.
const (
	carefulWait = 250 * time.Millisecond // at a worker that is called with care
	overdueWait = 400 * time.Millisecond // while a run takes longer than expected: it may stand still
)

// holdWait is how long the next hold call waits.
func (w *worker) holdWait(c *Core) time.Duration {
	switch {
	case c.now < w.carefulUntil:
		return min(c.cfg.HoldWait, carefulWait)
	case w.overdue(c):
		return min(c.cfg.HoldWait, overdueWait)
	}
	return c.cfg.HoldWait
}

// overdue tells whether a run on the worker takes longer than expected and might be moved.
func (w *worker) overdue(c *Core) bool {
	for _, r := range w.runs {
		if r.mine && r.sent && !r.lasting && !r.gang && !r.ending && c.now-r.sentAt > c.expected(r.estimate) {
			return true
		}
	}
	return false
}

// reachable tells whether the newest call to the worker was answered.
func (w *worker) reachable() bool { return w.failures == 0 && !w.suspect }

// refused notes why a worker did not take a start.
func (w *worker) refused(c *Core, now time.Duration, why Refusal) {
	switch why {
	case RefusedRoom:
		w.fullAt = max(now, 1)
		w.probe = true
	case RefusedUnhealthy, RefusedInvalid:
		w.sickAt = max(now, 1)
	}
}

// grant gives the deadline of a new lease, on the worker's clock, and notes that it may be in force.
func (w *worker) grant(c *Core, now time.Duration) time.Duration {
	if !w.clockOK {
		return 0
	}
	deadline := w.clock + (now - w.clockAt) + c.cfg.Lease
	w.granted = max(w.granted, deadline)
	return deadline
}

// clockLeast is the least that the worker's clock shows at now.
func (w *worker) clockLeast(c *Core, now time.Duration) time.Duration {
	return w.clock + time.Duration(float64(now-w.clockAt)*(1-c.cfg.ClockSlack))
}

// lapsed tells whether every lease that may have been given to the worker is surely over. Heartbeats say nothing of it:
// they may come by way of another node while no call gets through.
func (w *worker) lapsed(c *Core, now time.Duration) bool {
	// An earlier leader may have granted a whole lease just before this term began.
	if !w.answered && time.Duration(float64(now-c.since)*(1-c.cfg.ClockSlack)) <= c.cfg.Lease+2*c.cfg.LapseMargin {
		return false
	}
	if !w.answered && w.granted == 0 {
		return true
	}
	return w.clockLeast(c, now) > w.granted+c.cfg.LapseMargin
}

// gone ends all runs of a worker in whose place another life answers.
func (c *Core) gone(w *worker) {
	for _, key := range sortedRuns(w.runs) {
		if r := w.runs[key]; r.sent {
			c.end(r, jobs.EndLost, "")
		}
	}
	w.dead(c)
}

// dead makes a worker take no starts until it is forgotten.
func (w *worker) dead(c *Core) {
	w.heardAt, w.failures, w.retryAt = 0, 1, c.now+time.Hour
	clear(w.strays)
}

// Beat takes in a heartbeat. remaining is how long a draining worker stays at least; 0 if it did not say.
func (c *Core) Beat(now time.Duration, id string, clock, remaining time.Duration) {
	w := c.workers[id]
	if c.term == 0 || w == nil {
		return
	}
	silent := w.heardAt == 0 || w.failures > 0 || now-w.heardAt > c.cfg.Silence
	if w.retryAt > now+c.cfg.RetryMax {
		return // another life has its address
	}
	w.heardAt = max(now, 1)
	if clock > 0 && !w.clockOK {
		w.clock, w.clockAt, w.clockOK = clock, now, true
	}
	if remaining > 0 {
		w.leaving = now + remaining
	}
	if silent {
		w.probe, w.retryAt = true, min(w.retryAt, now)
		c.moved = true
	}
}

// tellAfter is how long an end that is durable may wait for a call that tells the worker so. Mostly the next run brings one.
const tellAfter = 1500 * time.Millisecond

// untold tells whether a worker on which nothing runs waits to hear that its last ends are durable.
func (w *worker) untold(now time.Duration) bool {
	calling := w.holding != 0 || w.probing != 0
	return w.seen > w.told && len(w.runs) == 0 && !calling && now-w.seenAt >= tellAfter
}

// probeSpan is how long a hold call that asks at once counts as under way for Config.MostProbes: a worker that is there
// answers within it, and those that are not must not keep the leader from asking the others.
const probeSpan = 50 * time.Millisecond

// probes counts the workers that were asked at once just now and have not answered.
func (c *Core) probes(now time.Duration) int {
	count := 0
	for _, w := range c.order {
		if w.probing != 0 && now-w.probedAt < probeSpan {
			count++
		}
	}
	return count
}

// sendHolds gives the hold calls that are due. A new leader asks every worker at once; it does so a few at a time, as the
// store's heartbeats share its processor. It tells whether some must wait for that.
func (c *Core) sendHolds(now time.Duration, out *Out) (waiting bool) {
	probes := c.probes(now)
	for _, w := range c.order {
		if !w.probe && (w.holding != 0 || len(w.runs) == 0) || now < w.retryAt {
			continue // nothing to ask: the rule for most workers in most passes
		}
		rec := w.record()
		if rec == nil || rec.Left && len(w.runs) == 0 && w.told >= w.seen {
			continue // it takes no starts any more, and nothing of it is waited for
		}
		if w.probe && w.probing == 0 {
			if probes < c.cfg.MostProbes {
				w.probe, w.probedAt, w.probingTells = false, now, w.seen
				w.probing = c.hold(w, rec, 0, out)
				probes++
			} else {
				waiting = true
			}
			continue
		}
		_, pending := c.seen[w.id]
		committing := c.flight != nil && c.flight.seen[w.id] > 0
		if w.mayWait(c) && !pending && !committing {
			w.holding, w.holdingTells = c.hold(w, rec, w.holdWait(c), out), w.seen
		}
	}
	return waiting
}

// hold makes one hold call and gives its number. A worker that did not answer the call before gets no new lease: a call
// that may or may not have arrived must not put the lapse off for ever.
func (c *Core) hold(w *worker, rec *jobs.Worker, wait time.Duration, out *Out) uint64 {
	c.sequence++
	call := HoldCall{Token: c.term, SeenUpTo: w.seen, Wait: wait}
	if len(w.runs) > 0 && w.failures == 0 {
		call.Deadline = w.grant(c, c.now)
	}
	out.Holds = append(out.Holds, HoldOut{Worker: *rec, Number: c.sequence, Call: call})
	return c.sequence
}

// HoldError says how a hold call without an answer failed.
type HoldError int

// The failures of a hold call.
const (
	HoldOK        HoldError = iota // it was answered
	HoldFailed                     // no answer
	HoldOtherLife                  // another life answered: the worker is gone for good
	HoldFenced                     // the worker has seen a higher token: this leader is an old one
	HoldNoRoom                     // it never left, for want of a connection here: it says nothing of the worker
)

// HoldAnswered takes in the answer to the hold call of a number.
func (c *Core) HoldAnswered(now time.Duration, id string, number uint64, answer HoldAnswer, err HoldError) {
	c.now = now
	w := c.workers[id]
	if c.term == 0 || w == nil || number != w.holding && number != w.probing {
		return
	}
	tells := w.probingTells
	if number == w.holding {
		w.holding, tells = 0, w.holdingTells
	} else {
		w.probing = 0
	}
	switch err {
	case HoldNoRoom:
		c.shortage.found(c.cfg, now)
		w.retryAt = max(w.retryAt, c.shortage.until)
		w.probe = w.probe || !w.answered
		return
	case HoldOtherLife:
		c.gone(w)
		return
	case HoldFailed, HoldFenced:
		c.unanswered(w, now)
		w.failed(c, now)
		w.probe = w.probe || len(w.runs) > 0 || !w.answered
		return
	}
	w.heard(c, now, answer.Clock)
	w.told = max(w.told, tells)
	if !w.answered {
		w.answered = true
		// No earlier leader can renew from here on; what one granted ends by then, as all go by the same settings.
		w.granted = max(w.granted, answer.Clock+c.cfg.Lease+c.cfg.LapseMargin)
	}
	c.moved = true
	c.takeEnds(w, answer.Ended)
	c.takeRunning(w, number, answer)
}

// takeEnds takes in ended runs; an end is a fact however old the answer is.
func (c *Core) takeEnds(w *worker, ended []Ended) {
	for _, e := range ended {
		if e.Sequence <= w.noted {
			continue
		}
		w.noted = e.Sequence
		c.seen[w.id] = e.Sequence
		delete(w.strays, e.Key)
		r := w.runs[e.Key]
		if r == nil || r.ending {
			continue
		}
		if e.How == jobs.EndDone {
			w.stalledAt = 0
		}
		c.speeds.ended(c, w, r, e.How)
		c.end(r, e.How, e.Checkpoint)
	}
}

// takeRunning holds the list of running runs against the handles, both ways.
func (c *Core) takeRunning(w *worker, number uint64, answer HoldAnswer) {
	present := make(map[jobs.RunKey]bool, len(answer.Running)+len(answer.Ended))
	for _, e := range answer.Ended {
		present[e.Key] = true
	}
	for _, l := range answer.Running {
		present[l.Key] = true
		r := w.runs[l.Key]
		if r == nil {
			if w.strays[l.Key] == nil && c.runs[l.Key] == nil && !c.inFlight(l.Key) {
				w.strays[l.Key] = &stray{}
				c.straying[w.id] = true
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
		r.saved, r.percent, r.percentAt = l.Checkpoint, l.Percent, c.now
	}
	for key := range w.strays {
		if !present[key] {
			delete(w.strays, key)
		}
	}
	if answer.Full {
		return
	}
	for _, key := range sortedRuns(w.runs) {
		r := w.runs[key]
		switch {
		case present[key] || r.ending:
		case r.provedAbsent(number):
			c.end(r, jobs.EndLost, "")
		case r.doubted && r.doubtedAt < number:
			r.missing, r.cause = true, cmp.Or(r.cause, CauseUnanswered)
			c.askStop(r)
		}
	}
}

func (c *Core) inFlight(key jobs.RunKey) bool { return c.flight != nil && c.flight.starts[key] }

// provedAbsent tells whether a run that the answer to the hold call of a number does not list is surely dead and never
// starts later: a run of an earlier term, whose orders the token of that call has fenced; one whose start or stop was
// answered before the call left. A start without an answer proves nothing: it may be carried out late.
func (r *run) provedAbsent(number uint64) bool {
	switch {
	case !r.mine:
		return true
	case !r.sent:
		return false
	case r.stopped != 0 && r.stopped < number:
		return true
	}
	return r.accepted != 0 && r.accepted < number
}

// forgotten gives the workers without runs that are gone: silent for long. One that said that it ends serves on for a
// while, and heartbeats that it sent before may come late; forgotten too soon, it would come back as a new one.
func (c *Core) forgotten(now time.Duration) []string {
	var out []string
	for _, w := range c.order {
		rec := w.record()
		if rec == nil || len(w.runs) > 0 || w.orders > 0 {
			continue
		}
		if now-max(w.heardAt, w.metAt) > c.cfg.ForgetAfter {
			out = append(out, w.id)
		}
	}
	return out
}
