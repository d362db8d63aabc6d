package jobssim

import (
	"encoding/json"
	"fmt"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/jobs"
)

// Load selects the jobs that clients submit.
type Load string

// The loads.
const (
	Mixed Load = "mixed" // jobs of all shapes
	Short Load = "short" // a steady stream of short tasks
)

// clientJob is a job and what its client knows about it.
type clientJob struct {
	spec          jobs.Spec
	prefix        string
	sentAt        time.Duration
	attempts      int
	mayBeAccepted bool          // an attempt had an unknown outcome
	isAccepted    bool          // an attempt was acknowledged
	acceptedAt    time.Duration // when
	isRejected    bool          // all attempts were rejected
	isCancelSent  bool
	cancelSentAt  time.Duration // when the cancel was first sent
	afterFault    bool          // submitted after the machines had recovered from the final fault
	isCancelled   bool          // the cancel was acknowledged
	cancelledAt   time.Duration
	lastState     jobs.JobState
	polls         int // that returned a terminal state
}

// clients submits jobs, polls their states and cancels some of them.
type clients struct {
	sim           *simulator
	jobs          []*clientJob
	byID          map[string]*clientJob
	nextLargeJobs time.Duration // earliest time of the next large jobs
	faultPending  bool          // the final fault is planned and the jobs that follow it are not yet submitted
}

const (
	submitAttempts  = 4           // for each job
	answerTimeout   = time.Second // of a client, for the answer to a call
	retryBackoff    = 400 * time.Millisecond
	minPollInterval = 500 * time.Millisecond
	maxPollInterval = 3 * time.Second
	pollsAfterEnd   = 2 // polls that return a terminal state before the polling ends
)

func (s *simulator) buildClients() {
	s.clients = &clients{sim: s, byID: map[string]*clientJob{}}
	s.after(2*time.Second, s.clients.submitNext)
	s.after(s.options.DisruptionPeriod+time.Second, s.clients.cancelLongRunning)
}

// spec returns the specification of a submitted job, or nil if no client submitted it.
func (c *clients) spec(id string) *jobs.Spec {
	if j := c.byID[id]; j != nil {
		return &j.spec
	}
	return nil
}

// submitNext submits a job and schedules the next one, until the end of the disruption period.
func (c *clients) submitNext() {
	s := c.sim
	if s.now >= s.options.DisruptionPeriod {
		return
	}
	pause := s.between(100*time.Millisecond, 900*time.Millisecond)
	if s.options.Load == Short {
		pause = s.between(5*time.Millisecond, 45*time.Millisecond)
		c.submitNew(c.shortJob())
	} else {
		c.submitNew(c.randomJob())
	}
	s.after(pause, c.submitNext)
}

// submitNew records a new job and submits it.
func (c *clients) submitNew(spec jobs.Spec, prefix string) *clientJob {
	j := &clientJob{spec: spec, prefix: prefix, sentAt: c.sim.now}
	c.jobs = append(c.jobs, j)
	c.byID[spec.ID] = j
	c.sim.trace("job %s %s steps %s", spec.ID, prefix, stepsText(spec.Steps))
	c.submit(j)
	return j
}

// call sends a call to a node that considers itself the leader. done is called once, with errs.Timeout if no answer
// arrives within answerTimeout.
func (c *clients) call(send func(n *node, done func(any, error)), done func(any, error)) {
	s := c.sim
	isFinished := false
	finish := func(answer any, err error) {
		if !isFinished {
			isFinished = true
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

// path returns the path to which the job is submitted.
func (j *clientJob) path() string { return j.prefix + j.spec.ID }

// isCertainlyNotAccepted reports whether an error proves that the job was not accepted.
func isCertainlyNotAccepted(err error) bool {
	switch errs.KindOf(err) {
	case errs.Unavailable, errs.NotLeader, errs.Unknown:
		return true
	}
	return false
}

// submit makes an attempt to submit a job, and another one after a failure, up to submitAttempts.
func (c *clients) submit(j *clientJob) {
	j.attempts++
	c.call(func(n *node, done func(any, error)) { n.submit(j, done) }, func(_ any, err error) {
		switch {
		case err == nil:
			if !j.isAccepted {
				j.isAccepted, j.acceptedAt = true, c.sim.now
				c.sim.report.Jobs++
				c.sim.checker.accepted(j)
				c.pollUntilEnded(j)
				if c.sim.chance(0.1) {
					c.sim.after(c.sim.between(0, 6*time.Second), func() { c.submitAgain(j) })
				}
			}
			return
		case !isCertainlyNotAccepted(err):
			j.mayBeAccepted = true
		}
		if j.attempts < submitAttempts {
			c.sim.after(c.sim.between(retryBackoff/2, retryBackoff*3/2), func() { c.submit(j) })
		} else if !j.mayBeAccepted {
			j.isRejected = true
			c.sim.checker.rejected(j)
		}
	})
}

// submitAgain repeats the submission of an accepted job, which must not be refused.
func (c *clients) submitAgain(j *clientJob) {
	c.sim.report.Counts["resubmitted after acceptance"]++
	c.call(func(n *node, done func(any, error)) { n.submit(j, done) }, func(_ any, err error) {
		switch errs.KindOf(err) {
		case "", errs.Unavailable, errs.NotLeader, errs.Timeout, errs.Unknown:
		default:
			c.sim.checker.violate(LostInvariant, "job %s was accepted and is refused when resubmitted: %v",
				j.spec.ID, err)
		}
	})
}

// submit mirrors controller.Leader.Submit.
func (n *node) submit(j *clientJob, done func(any, error)) {
	table, term, err := n.readTable()
	if err != nil {
		done(nil, err)
		return
	}
	if table.Config.Version == 0 {
		done(nil, errs.New(errs.Unavailable, "no configuration has been set"))
		return
	}
	q := table.QueueFor(queueHost, j.path())
	if q == nil {
		done(nil, errs.New(errs.Unknown, "no queue"))
		return
	}
	spec := j.spec
	spec.Queue = q.Name
	if table.Schema >= jobs.SchemaLocations {
		spec.Location = &jobs.Location{Host: queueHost, Path: j.path()}
	}
	n.proposeAndAnswer(term, jobs.Submit{Spec: spec, Digest: "d" + spec.ID, At: n.wall()}, done)
}

// pollUntilEnded polls an accepted job until pollsAfterEnd polls have returned a terminal state. It schedules a cancel
// of some jobs.
func (c *clients) pollUntilEnded(j *clientJob) {
	if !j.isCancelSent && c.sim.chance(0.06) {
		c.sim.after(c.sim.between(0, 4*time.Second), func() { c.cancel(j) })
	}
	c.sim.after(c.sim.between(minPollInterval, maxPollInterval), func() {
		c.poll(j)
		if j.polls < pollsAfterEnd {
			c.pollUntilEnded(j)
		}
	})
}

// jobAnswer is the answer to a poll or a cancel.
type jobAnswer struct {
	state    jobs.JobState
	notFound bool
}

// poll queries the state of a job once.
func (c *clients) poll(j *clientJob) {
	c.call(func(n *node, done func(any, error)) { n.queryJob(j, false, done) }, func(answer any, err error) {
		if err != nil {
			c.sim.checker.checkAnswered(j, "poll", err)
			return
		}
		reported := answer.(jobAnswer)
		c.sim.checker.checkState(j, reported)
		j.lastState = reported.state
		if reported.state.IsTerminal() {
			j.polls++
		}
	})
}

// cancel sends a cancel repeatedly until it is acknowledged.
func (c *clients) cancel(j *clientJob) {
	if j.isCancelled || j.lastState.IsTerminal() {
		return
	}
	if !j.isCancelSent {
		j.isCancelSent, j.cancelSentAt = true, c.sim.now
	}
	c.call(func(n *node, done func(any, error)) { n.queryJob(j, true, done) }, func(answer any, err error) {
		if err != nil {
			c.sim.checker.checkAnswered(j, "cancel", err)
			c.sim.after(c.sim.between(retryBackoff/2, retryBackoff), func() { c.cancel(j) })
			return
		}
		c.sim.checker.checkAcknowledgement("a cancel", j.cancelSentAt)
		c.sim.checker.checkState(j, answer.(jobAnswer))
		if answer.(jobAnswer).state == jobs.Cancelled {
			j.isCancelled, j.cancelledAt = true, c.sim.now
			c.sim.checker.cancelled(j)
		}
	})
}

// queryJob mirrors controller.Leader.Job or, with cancel set, controller.Leader.Cancel.
func (n *node) queryJob(j *clientJob, cancel bool, done func(any, error)) {
	table, term, err := n.readTable()
	if err != nil {
		done(nil, err)
		return
	}
	if table.Config.Version == 0 {
		done(nil, errs.New(errs.Unavailable, "no configuration has been set"))
		return
	}
	known := table.Jobs[j.spec.ID]
	switch {
	case cancel:
		change := jobs.Cancel{ID: j.spec.ID, At: n.wall(), Remember: true}
		n.sim.log.propose(n, term, change, func(answer any, err error) {
			state, _ := answer.(jobs.JobState)
			done(jobAnswer{state: state, notFound: err == nil && state == ""}, err)
		})
	case known == nil:
		done(jobAnswer{notFound: true}, nil)
	default:
		done(jobAnswer{state: known.State}, nil)
	}
}

// cancelMany cancels about half of the jobs that have not ended.
func (c *clients) cancelMany() {
	for _, j := range c.jobs {
		if j.isAccepted && !j.lastState.IsTerminal() && !j.isCancelSent && c.sim.chance(0.5) {
			c.cancel(j)
		}
	}
}

// cancelLongRunning cancels all long-running jobs, which end in no other way, and schedules itself again.
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

// allEnded reports whether no submission is pending and all accepted jobs have been polled in a terminal state
// pollsAfterEnd times.
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

// stepsText returns the JSON encoding of steps, so that the trace does not depend on the names of Go fields.
func stepsText(steps []jobs.Step) string {
	text, err := json.Marshal(steps)
	if err != nil {
		return err.Error()
	}
	return string(text)
}
