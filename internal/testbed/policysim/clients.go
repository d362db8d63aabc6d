package policysim

import (
	"encoding/json"
	"fmt"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
	"crosstide/internal/state/query"
)

// clientTimeout bounds the time for which a client waits for an answer.
const clientTimeout = 3 * time.Second

// jobsPerCore is the maximum number of open jobs per core of the fleet. Under faults the fleet runs far fewer jobs than
// clients would submit: without a limit, the jobs queued within some minutes could not all end in the fault-free part
// of a run. A job is about 10 core-seconds of work, so the open jobs take about 40 s.
const jobsPerCore = 4

// clients simulates the clients and the operators (operators.go) in one process that no partition affects. Clients
// submit jobs, poll each until it has ended, and cancel some. Each answer is checked when it arrives; at the end of a
// run, the history of all answers is checked.
type clients struct {
	*process
	jobs    []*clientJob
	lastJob int // number in the newest job key
	history clientHistory

	operator       *dataPlane      // never opened: only callLeader and its callees are used
	evacuatedZones map[string]bool // at most one, from its first order to the acknowledged lift
	orderCount     int             // number in the newest order ID
}

// clientJob is a job as its client knows it.
type clientJob struct {
	spec            state.Spec
	sentAt          time.Duration
	acceptedAt      time.Duration  // 0: not yet
	cancelRequested bool           // a cancel was sent
	cancelledAt     time.Duration  // when a cancel was acknowledged first; 0: not yet
	outcome         state.JobPhase // terminal phase returned by a poll; "": none yet
	abandoned       bool           // the client gave up before the job was accepted; terminal
}

func (c *clients) start() {
	c.startIncarnation()
	c.operator = &dataPlane{process: c.process}
	c.evacuatedZones = map[string]bool{}
	c.after(2*time.Second, c.submitJobs)
	c.after(4*time.Second, c.resubmit)
}

// submitJobs submits a job at random intervals, sometimes several at once, until the faults have ended.
func (c *clients) submitJobs() {
	s := c.sim
	if s.faultsEnded {
		return
	}
	n := 1
	if s.chance(0.03) {
		n = 8
	}
	for range min(n, c.maxOpen()-c.jobsOpen()-c.abandonedOpen()) {
		j := &clientJob{spec: c.randomSpec(), sentAt: s.now}
		c.add(j)
		c.submit(j, 0)
	}
	c.after(s.between(50*time.Millisecond, 900*time.Millisecond), c.submitJobs)
}

func (c *clients) add(j *clientJob) {
	c.jobs = append(c.jobs, j)
	c.sim.checker.jobs[j.spec.Key] = j
}

// randomSpec draws a job of one to three steps.
func (c *clients) randomSpec() state.Spec {
	s := c.sim
	c.lastJob++
	spec := state.Spec{Key: fmt.Sprintf("j%03d", c.lastJob), Team: s.billing.drawTeam(), Queue: "default"}
	for i := range 1 + s.rng.IntN(3) {
		spec.Steps = append(spec.Steps, s.randomStep(i))
	}
	return spec
}

// randomStep draws the step at a position in a job. The order of the draws is part of every history.
func (s *sim) randomStep(index int) state.StepSpec {
	step := state.StepSpec{Name: fmt.Sprintf("s%d", index), Type: fmt.Sprintf("k%d", s.rng.IntN(3)),
		Tasks: 1 + s.rng.IntN(3), Cores: 1 + s.rng.IntN(2), Retries: 4}
	if index > 0 && s.chance(0.7) {
		step.After = []string{"s0"}
	}
	if s.chance(0.2) {
		step.Labels = map[string]string{"disk": "ssd"}
	}
	step.Gang = step.Tasks > 1 && s.chance(0.15)
	ms := s.rng.IntN(1500)
	if s.chance(0.05) {
		ms = 15000
	}
	step.Run = json.RawMessage(fmt.Sprintf(`{"ms":%d,"ok":%v}`, ms, !s.chance(0.02)))
	return step
}

// call sends a call to a random data-plane node.
func (c *clients) call(serve func(d *dataPlane, reply func(any, error)),
	onAnswer func(d *dataPlane, answer any, err error)) {
	d := pick(c.sim, c.sim.dataPlanes)
	c.sim.request(request{from: c.process, addr: d.addr, timeout: clientTimeout, resendFor: clientTimeout,
		mayRepeat: true,
		serve:     func(_ *process, reply func(any, error)) { serve(d, reply) },
		onAnswer:  func(a any, err error, _ bool) { onAnswer(d, a, err) }})
}

// propose proposes a command through a random data-plane node.
func (c *clients) propose(cmd command.Command, onAnswer func(answer any, err error)) {
	c.call(func(d *dataPlane, reply func(any, error)) {
		d.propose(cmd, d.Now()+clientTimeout, func(answer json.RawMessage, err error) { reply(answer, err) })
	}, func(_ *dataPlane, answer any, err error) { onAnswer(answer, err) })
}

// submit submits a job, and retries until it is accepted or its client abandons it.
func (c *clients) submit(j *clientJob, attempt int) {
	cmd := &command.Submit{Spec: j.spec, Digest: "d-" + j.spec.Key, Bound: 10000}
	op := c.history.called(c.sim.now, j.spec.Key, opSubmit, cmd.Digest)
	c.propose(cmd, func(answer any, err error) {
		op.complete(c.sim.now, answer, err)
		switch {
		case err != nil:
			c.retrySubmit(j, attempt)
		case j.acceptedAt == 0:
			c.onAccepted(j)
		}
	})
}

func (c *clients) retrySubmit(j *clientJob, attempt int) {
	s := c.sim
	if attempt > 20 && !s.faultsEnded {
		j.abandoned = true
		return
	}
	s.report.Counts["submits sent again"]++
	c.after(s.between(50*time.Millisecond, time.Second), func() { c.submit(j, attempt+1) })
}

func (c *clients) onAccepted(j *clientJob) {
	s := c.sim
	j.acceptedAt = s.now
	s.trace("%s accepted", j.spec.Key)
	c.after(s.between(100*time.Millisecond, time.Second), func() { c.poll(j) })
	if s.chance(0.05) { // the client submits again, as if the answer had been lost
		c.submit(j, 0)
	}
	if s.faults.enabled["cancel"] && s.chance(0.12) {
		c.after(s.between(0, 4*time.Second), func() { c.cancel(j) })
	}
}

// resubmit submits a random accepted job again, periodically. The store must not create a second job.
func (c *clients) resubmit() {
	s := c.sim
	if len(c.jobs) > 0 {
		if j := pick(s, c.jobs); j.acceptedAt > 0 {
			c.submit(j, 0)
		}
	}
	if !s.faultsEnded {
		c.after(s.between(time.Second, 4*time.Second), c.resubmit)
	}
}

// cancel cancels an accepted job, and retries until the cancel is acknowledged.
func (c *clients) cancel(j *clientJob) {
	s := c.sim
	j.cancelRequested = true
	op := c.history.called(s.now, j.spec.Key, opCancel, "")
	c.propose(&command.Cancel{Key: j.spec.Key}, func(answer any, err error) {
		op.complete(s.now, answer, err)
		if err != nil {
			if errs.Is(err, errs.Unknown) {
				s.reportViolation("known", "cancel of %s, accepted at %v: %v", j.spec.Key, j.acceptedAt, err)
			}
			c.after(s.between(50*time.Millisecond, time.Second), func() { c.cancel(j) })
			return
		}
		if j.cancelledAt == 0 {
			c.onCancelled(j, answer.(json.RawMessage))
		}
	})
}

func (c *clients) onCancelled(j *clientJob, answer json.RawMessage) {
	s := c.sim
	j.cancelledAt = s.now
	s.report.Faults["cancel"]++
	known := s.checker.reference.Jobs[j.spec.Key]
	if known != nil && (known.Outcome == state.JobCancelled || known.Phase == state.JobCancelled) {
		s.countCase("cancelled starts nothing")
	}
	s.trace("%s cancelled: %s", j.spec.Key, answer)
}

// poll reads a job repeatedly until it has ended, and sometimes once more (invariants: known, done).
func (c *clients) poll(j *clientJob) {
	s := c.sim
	op := c.history.called(s.now, j.spec.Key, opPoll, "")
	c.call(func(d *dataPlane, reply func(any, error)) {
		d.readJob(j.spec.Key, func(view query.JobView, err error) { reply(view, err) })
	}, func(d *dataPlane, answer any, err error) {
		if errs.Is(err, errs.Unknown) {
			op.observe(s.now, answerUnknown, "")
			s.reportViolation("known", "%s, accepted at %v, is unknown at %s", j.spec.Key, j.acceptedAt, d.addr)
		}
		if err == nil {
			c.onPolled(j, op, answer.(query.JobView))
		}
		if j.outcome == "" || s.chance(0.2) {
			c.after(s.between(200*time.Millisecond, 1500*time.Millisecond), func() { c.poll(j) })
		}
	})
}

func (c *clients) onPolled(j *clientJob, op *operation, view query.JobView) {
	s := c.sim
	s.countCase("known")
	op.observe(s.now, answerPhase, view.State)
	if j.outcome != "" && view.State != j.outcome {
		s.reportViolation("done", "%s was %s, now it is %s", j.spec.Key, j.outcome, view.State)
	}
	if view.State.IsTerminal() {
		j.outcome = view.State
		s.checker.checkDone(j)
	}
}

// maxOpen returns the maximum number of jobs that the clients keep open.
func (c *clients) maxOpen() int {
	cores := 0
	for _, w := range c.sim.workers {
		cores += w.cores
	}
	return jobsPerCore * cores
}

// jobsOpen returns the number of jobs that have not ended as far as their clients know. Abandoned jobs do not count.
func (c *clients) jobsOpen() int {
	n := 0
	for _, j := range c.jobs {
		if !j.abandoned && j.outcome == "" {
			n++
		}
	}
	return n
}

// abandonedOpen returns the number of jobs that are open in the store but abandoned by their clients, which never got
// an acknowledgement.
func (c *clients) abandonedOpen() int {
	n := 0
	for _, j := range c.jobs {
		known := c.sim.checker.reference.Jobs[j.spec.Key]
		if j.abandoned && known != nil && !known.Phase.IsTerminal() {
			n++
		}
	}
	return n
}

// allEnded reports whether all jobs have ended as far as their clients know. Abandoned jobs do not count.
func (c *clients) allEnded() bool { return c.jobsOpen() == 0 }
