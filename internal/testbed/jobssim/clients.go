package jobssim

import (
	"encoding/json"
	"fmt"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/jobs"
)

// Load is which jobs come.
type Load string

// The loads.
const (
	Mixed Load = "mixed" // jobs of all shapes
	Short Load = "short" // a steady stream of short tasks
)

// clientJob is a job as its client knows it.
type clientJob struct {
	spec         jobs.Spec
	prefix       string
	sentAt       time.Duration
	attempts     int
	isUnclear    bool          // an attempt may have been accepted
	isAccepted   bool          // an attempt was accepted
	acceptedAt   time.Duration // when
	isRejected   bool          // every attempt was rejected
	isCancelSent bool
	cancelFrom   time.Duration // when it was first sent
	afterFault   bool          // submitted when the machines had recovered from the final fault
	isCancelled  bool          // its cancelling was acknowledged
	cancelAt     time.Duration
	lastShown    jobs.JobState
	polls        int // since it was shown as ended
}

// clients submit jobs, poll them and cancel some.
type clients struct {
	sim          *simulator
	jobs         []*clientJob
	byID         map[string]*clientJob
	faultPending bool // the final fault, or the jobs that are submitted after it, are still to come
}

const (
	submitAttempts  = 4
	answerTimeout   = time.Second // for an answer
	retryBackoff    = 400 * time.Millisecond
	minPollInterval = 500 * time.Millisecond
	maxPollInterval = 3 * time.Second
	pollsAfterEnd   = 2
)

func (s *simulator) buildClients() {
	s.clients = &clients{sim: s, byID: map[string]*clientJob{}}
	s.after(2*time.Second, s.clients.arrive)
	s.after(s.options.DisruptionPeriod+time.Second, s.clients.cancelLongRunning)
}

// spec returns a job as a client sent it; nil if none did.
func (c *clients) spec(id string) *jobs.Spec {
	if j := c.byID[id]; j != nil {
		return &j.spec
	}
	return nil
}

// arrive submits one job and schedules the next.
func (c *clients) arrive() {
	s := c.sim
	if s.now >= s.options.DisruptionPeriod {
		return
	}
	pause := s.between(100*time.Millisecond, 900*time.Millisecond)
	if s.options.Load == Short {
		pause = s.between(5*time.Millisecond, 45*time.Millisecond)
		c.submitNew(c.shortJob())
	} else {
		c.submitNew(c.anyJob())
	}
	s.after(pause, c.arrive)
}

// submitNew begins to submit a job.
func (c *clients) submitNew(spec jobs.Spec, prefix string) *clientJob {
	j := &clientJob{spec: spec, prefix: prefix, sentAt: c.sim.now}
	c.jobs = append(c.jobs, j)
	c.byID[spec.ID] = j
	c.sim.trace("job %s %s steps %s", spec.ID, prefix, stepsText(spec.Steps))
	c.submit(j)
	return j
}

// call makes a call to a node that may lead; done is called once, with a Timeout if no answer comes.
func (c *clients) call(send func(n *node, done func(any, error)), done func(any, error)) {
	s := c.sim
	over := false
	finish := func(answer any, err error) {
		if !over {
			over = true
			done(answer, err)
		}
	}
	n := s.anyLeader()
	if n == nil {
		s.after(s.linkDelay(), func() { finish(nil, errs.New(errs.Unavailable, "no leader")) })
		return
	}
	s.after(answerTimeout, func() { finish(nil, errs.New(errs.Timeout, "no answer")) })
	s.after(s.linkDelay(), func() {
		n.after(0, func() {
			send(n, func(answer any, err error) { s.after(s.linkDelay(), func() { finish(answer, err) }) })
		})
	})
}

// isCertainlyNotAccepted reports whether an error says that a job was not accepted.
func isCertainlyNotAccepted(err error) bool {
	switch errs.KindOf(err) {
	case errs.Unavailable, errs.NotLeader, errs.Unknown:
		return true
	}
	return false
}

func (c *clients) submit(j *clientJob) {
	j.attempts++
	c.call(func(n *node, done func(any, error)) { n.submit(j, done) }, func(_ any, err error) {
		switch {
		case err == nil:
			if !j.isAccepted {
				j.isAccepted, j.acceptedAt = true, c.sim.now
				c.sim.report.Jobs++
				c.sim.checker.accepted(j)
				c.follow(j)
				if c.sim.chance(0.1) {
					c.sim.after(c.sim.between(0, 6*time.Second), func() { c.submitAgain(j) })
				}
			}
			return
		case !isCertainlyNotAccepted(err):
			j.isUnclear = true
		}
		if j.attempts < submitAttempts {
			c.sim.after(c.sim.between(retryBackoff/2, retryBackoff*3/2), func() { c.submit(j) })
		} else if !j.isUnclear {
			j.isRejected = true
			c.sim.checker.rejected(j)
		}
	})
}

// submitAgain submits a job once more that was accepted, at whatever node leads by then.
func (c *clients) submitAgain(j *clientJob) {
	c.sim.report.Seen["handed in again after its acceptance"]++
	c.call(func(n *node, done func(any, error)) { n.submit(j, done) }, func(_ any, err error) {
		switch errs.KindOf(err) {
		case "", errs.Unavailable, errs.NotLeader, errs.Timeout, errs.Unknown:
		default:
			c.sim.checker.breach(LostRule, "job %s was accepted and is refused when it is handed in again: %v",
				j.spec.ID, err)
		}
	})
}

// submit is controller.Leader.Submit.
func (n *node) submit(j *clientJob, done func(any, error)) {
	table, term, err := n.readTable()
	if err != nil {
		done(nil, err)
		return
	}
	if table.Config.Version == 0 {
		done(nil, errs.New(errs.Unavailable, "there is no configuration yet"))
		return
	}
	q := table.QueueFor(queueHost, j.prefix+j.spec.ID)
	if q == nil {
		done(nil, errs.New(errs.Unknown, "no queue"))
		return
	}
	spec := j.spec
	spec.Queue = q.Name
	n.answer(term, jobs.Submit{Spec: spec, Digest: "d" + spec.ID, At: n.wall()}, done)
}

// follow polls an accepted job until it has ended, and a little longer; some are cancelled on the way.
func (c *clients) follow(j *clientJob) {
	if !j.isCancelSent && c.sim.chance(0.06) {
		c.sim.after(c.sim.between(0, 4*time.Second), func() { c.cancel(j) })
	}
	c.sim.after(c.sim.between(minPollInterval, maxPollInterval), func() {
		c.poll(j)
		if j.polls < pollsAfterEnd {
			c.follow(j)
		}
	})
}

// jobAnswer is what a poll is answered with.
type jobAnswer struct {
	state jobs.JobState
	gone  bool
}

func (c *clients) poll(j *clientJob) {
	c.call(func(n *node, done func(any, error)) { n.job(j, false, done) }, func(answer any, err error) {
		if err != nil {
			return
		}
		done := answer.(jobAnswer)
		c.sim.checker.shown(j, done)
		j.lastShown = done.state
		if done.state.IsTerminal() {
			j.polls++
		}
	})
}

// cancel sends a cancel until it is acknowledged.
func (c *clients) cancel(j *clientJob) {
	if j.isCancelled || j.lastShown.IsTerminal() {
		return
	}
	if !j.isCancelSent {
		j.isCancelSent, j.cancelFrom = true, c.sim.now
	}
	c.call(func(n *node, done func(any, error)) { n.job(j, true, done) }, func(answer any, err error) {
		if err != nil {
			if errs.KindOf(err) == errs.Unknown {
				j.cancelFrom = c.sim.now // its queue is not there at the moment: that is an answer
			}
			c.sim.after(c.sim.between(retryBackoff/2, retryBackoff), func() { c.cancel(j) })
			return
		}
		c.sim.checker.checkAcknowledgement("a cancel", j.cancelFrom)
		c.sim.checker.shown(j, answer.(jobAnswer))
		if answer.(jobAnswer).state == jobs.Cancelled {
			j.isCancelled, j.cancelAt = true, c.sim.now
			c.sim.checker.cancelled(j)
		}
	})
}

// job is controller.Leader.Job and, with cancel, Cancel.
func (n *node) job(j *clientJob, cancel bool, done func(any, error)) {
	table, term, err := n.readTable()
	if err != nil {
		done(nil, err)
		return
	}
	if table.QueueFor(queueHost, j.prefix+j.spec.ID) == nil {
		done(nil, errs.New(errs.Unknown, "no queue"))
		return
	}
	known := table.Jobs[j.spec.ID]
	switch {
	case known == nil:
		done(jobAnswer{gone: true}, nil)
	case !cancel:
		done(jobAnswer{state: known.State}, nil)
	default:
		n.sim.log.propose(n, term, jobs.Cancel{ID: j.spec.ID, At: n.wall()}, func(answer any, err error) {
			state, _ := answer.(jobs.JobState)
			done(jobAnswer{state: state}, err)
		})
	}
}

// cancelMany cancels half of the jobs that have not ended.
func (c *clients) cancelMany() {
	for _, j := range c.jobs {
		if j.isAccepted && !j.lastShown.IsTerminal() && !j.isCancelSent && c.sim.chance(0.5) {
			c.cancel(j)
		}
	}
}

// cancelLongRunning cancels the long-running jobs, so that a run can end.
func (c *clients) cancelLongRunning() {
	for _, j := range c.jobs {
		if isLongRunning(&j.spec) && j.isAccepted && !j.isCancelSent {
			c.cancel(j)
		}
	}
	c.sim.after(time.Second, c.cancelLongRunning)
}

func isLongRunning(spec *jobs.Spec) bool {
	for i := range spec.Steps {
		if spec.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// allEnded reports whether all accepted jobs were shown as ended and polled again after that.
func (c *clients) allEnded() bool {
	if c.faultPending {
		return false
	}
	for _, j := range c.jobs {
		if j.isAccepted && j.polls < pollsAfterEnd || !j.isAccepted && !j.isRejected && j.attempts < submitAttempts {
			return false
		}
	}
	return true
}

func (c *clients) newID() string { return fmt.Sprintf("%016x", c.sim.rng.Uint64()) }

// stepsText writes steps as they stand in the log, so that a history does not depend on names of Go fields.
func stepsText(steps []jobs.Step) string {
	text, err := json.Marshal(steps)
	if err != nil {
		return err.Error()
	}
	return string(text)
}
