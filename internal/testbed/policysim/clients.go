package policysim

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
	"crosstide/internal/state/query"
)

// clients are the clients and the operators. They stand outside of all cuts.
type clients struct {
	*process
	jobs           []*job
	lastJob        int
	operator       *dataPlane // only its way to the leader
	evacuatedZones map[string]bool
	orderCount     int
	history        clientHistory
}

// job is what its client knows.
type job struct {
	spec            state.Spec
	sentAt          time.Duration
	acceptedAt      time.Duration // when a yes came; 0: none
	cancelRequested bool          // a cancel was asked for
	cancelledAt     time.Duration // when it was acknowledged
	outcome         state.JobPhase
	abandoned       bool // given up before it was accepted
}

func (p *clients) start() {
	p.startIncarnation()
	p.operator = &dataPlane{process: p.process}
	p.evacuatedZones = map[string]bool{}
	p.after(2*time.Second, p.submitJobs)
	p.after(4*time.Second, p.resubmit)
}

// jobsPerCore is how many jobs may be open for each core of the fleet. Under faults the fleet does far less than its
// clients would ask for: without a bound the queue of some minutes takes longer to work off than the quiet tail of a
// run lasts. A job is about 10 core-seconds of work, so what may be open is worked off in about 40 s.
const jobsPerCore = 4

// maxOpen is how many jobs the clients have open at most.
func (p *clients) maxOpen() int {
	cores := 0
	for _, m := range p.sim.workers {
		cores += m.cores
	}
	return jobsPerCore * cores
}

// deliver hands a job in, again and again until it is accepted or its client loses patience.
func (p *clients) submitJobs() {
	s := p.sim
	if s.faultsOver {
		return
	}
	n := 1
	if s.chance(0.03) { // a crowd
		n = 8
	}
	for range min(n, p.maxOpen()-p.jobsOpen()-p.abandonedOpen()) {
		j := &job{spec: p.randomSpec(), sentAt: s.now}
		p.jobs = append(p.jobs, j)
		s.checker.jobs[j.spec.Key] = j
		p.submit(j, 0)
	}
	p.after(s.between(50*time.Millisecond, 900*time.Millisecond), p.submitJobs)
}

func (p *clients) randomSpec() state.Spec {
	s := p.sim
	p.lastJob++
	out := state.Spec{Key: fmt.Sprintf("j%03d", p.lastJob), Team: s.billing.drawTeam(), Queue: "default"}
	for i := range 1 + s.rng.IntN(3) {
		step := state.StepSpec{Name: fmt.Sprintf("s%d", i), Type: fmt.Sprintf("k%d", s.rng.IntN(3)), Tasks: 1 + s.rng.IntN(3),
			Cores: 1 + s.rng.IntN(2), Retries: 4}
		if i > 0 && s.chance(0.7) {
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
		out.Steps = append(out.Steps, step)
	}
	return out
}

func (p *clients) pickDataPlane() *dataPlane { return pick(p.sim, p.sim.dataPlanes) }

func (p *clients) submit(j *job, try int) {
	s := p.sim
	d := p.pickDataPlane()
	cmd := &command.Submit{Spec: j.spec, Digest: "d-" + j.spec.Key, Bound: 10000}
	m := p.history.called(s.now, j.spec.Key, opSubmit, cmd.Digest)
	s.request(request{from: p.process, addr: d.addr, timeout: 3 * time.Second, resendFor: 3 * time.Second, mayRepeat: true,
		serve: func(_ *process, reply func(any, error)) {
			d.propose(cmd, true, d.Now()+3*time.Second, func(_ uint64, a json.RawMessage, err error) { reply(a, err) })
		},
		onAnswer: func(a any, err error, _ bool) {
			m.complete(s.now, a, err)
			if err != nil {
				if try > 20 && !s.faultsOver {
					j.abandoned = true
					return
				}
				s.report.Counts["submits sent again"]++
				p.after(s.between(50*time.Millisecond, time.Second), func() { p.submit(j, try+1) })
				return
			}
			if j.acceptedAt == 0 {
				j.acceptedAt = s.now
				s.trace("%s accepted", j.spec.Key)
				p.after(s.between(100*time.Millisecond, time.Second), func() { p.poll(j) })
				if s.chance(0.05) { // its answer was lost on the way to the client: the same again
					p.submit(j, 0)
				}
				if s.faults.enabled["cancel"] && s.chance(0.12) {
					p.after(s.between(0, 4*time.Second), func() { p.cancel(j) })
				}
			}
		}})
}

func (p *clients) cancel(j *job) {
	s := p.sim
	j.cancelRequested = true
	d := p.pickDataPlane()
	m := p.history.called(s.now, j.spec.Key, opCancel, "")
	s.request(request{from: p.process, addr: d.addr, timeout: 3 * time.Second, resendFor: 3 * time.Second, mayRepeat: true,
		serve: func(_ *process, reply func(any, error)) {
			d.propose(&command.Cancel{Key: j.spec.Key}, true, d.Now()+3*time.Second, func(_ uint64, a json.RawMessage, err error) { reply(a, err) })
		},
		onAnswer: func(a any, err error, _ bool) {
			m.complete(s.now, a, err)
			if err != nil {
				if errs.Is(err, errs.Unknown) {
					s.reportBreach("known", "cancel of %s, accepted at %v: %v", j.spec.Key, j.acceptedAt, err)
				}
				p.after(s.between(50*time.Millisecond, time.Second), func() { p.cancel(j) })
				return
			}
			if j.cancelledAt == 0 {
				j.cancelledAt = s.now
				s.report.Faults["cancel"]++
				if k := s.checker.reference.Jobs[j.spec.Key]; k != nil && k.Outcome == state.JobCancelled || k != nil && k.Phase == state.JobCancelled {
					s.countCase("cancelled starts nothing")
				}
				s.trace("%s cancelled: %s", j.spec.Key, a.(json.RawMessage))
			}
		}})
}

func (p *clients) poll(j *job) {
	s := p.sim
	d := p.pickDataPlane()
	m := p.history.called(s.now, j.spec.Key, opPoll, "")
	s.request(request{from: p.process, addr: d.addr, timeout: 3 * time.Second, resendFor: 3 * time.Second, mayRepeat: true,
		serve: func(_ *process, reply func(any, error)) {
			d.read(j.spec.Key, func(v query.JobView, err error) { reply(v, err) })
		},
		onAnswer: func(a any, err error, _ bool) {
			if errs.Is(err, errs.Unknown) {
				m.observe(s.now, answerUnknown, "")
				s.reportBreach("known", "%s, accepted at %v, is unknown at %s", j.spec.Key, j.acceptedAt, d.addr)
			}
			if err == nil {
				s.countCase("known")
				v := a.(query.JobView)
				m.observe(s.now, answerPhase, v.State)
				if j.outcome != "" && v.State != j.outcome {
					s.reportBreach("done", "%s was %s, now it is %s", j.spec.Key, j.outcome, v.State)
				}
				if v.State.IsTerminal() {
					j.outcome = v.State
					s.checker.checkDone(j)
				}
			}
			if j.outcome == "" || s.chance(0.2) {
				p.after(s.between(200*time.Millisecond, 1500*time.Millisecond), func() { p.poll(j) })
			}
		}})
}

// jobsOpen is how many jobs have not ended in their clients' eyes.
func (p *clients) jobsOpen() int {
	n := 0
	for _, j := range p.jobs {
		if !j.abandoned && j.outcome == "" {
			n++
		}
	}
	return n
}

// abandonedOpen is how many jobs the store works on though their clients have given them up: no yes ever reached them.
func (p *clients) abandonedOpen() int {
	n := 0
	for _, j := range p.jobs {
		if k := p.sim.checker.reference.Jobs[j.spec.Key]; j.abandoned && k != nil && !k.Phase.IsTerminal() {
			n++
		}
	}
	return n
}

// outcome tells whether every accepted job has ended in its client's eyes.
func (p *clients) allEnded() bool { return p.jobsOpen() == 0 }

// sendOrder sends an operator's order until it is acknowledged, and then now and then once more.
func (p *clients) sendOrder(cmd command.Command, first json.RawMessage, done func()) {
	p.operator.propose(cmd, true, p.Now()+5*time.Second, func(_ uint64, a json.RawMessage, err error) {
		s := p.sim
		switch {
		case err != nil:
			p.after(200*time.Millisecond, func() { p.sendOrder(cmd, first, done) })
		case first != nil:
			s.countCase("order once")
			if !bytes.Equal(first, a) {
				s.reportBreach("order once", "an order sent again was answered %s, first %s", a, first)
			}
		default:
			done()
			if s.chance(0.5) {
				p.sendOrder(cmd, a, done)
			}
		}
	})
}

// evacuate empties a zone for a while.
func (p *clients) evacuate(zone string) bool {
	if p.evacuatedZones[zone] || len(p.evacuatedZones) > 0 {
		return false
	}
	s := p.sim
	p.orderCount++
	p.evacuatedZones[zone] = true
	p.sendInOrder(s.billing.signedEvacuation(command.EvacuateZone{Order: fmt.Sprintf("o%d", p.orderCount), Zone: zone, Out: true}), func() {
		s.trace("operator: %s is evacuated", zone)
		s.checker.evacuated[zone] = s.now
		s.countCase("evacuated")
		p.after(s.between(3*time.Second, 12*time.Second), func() { p.liftEvacuation(zone) })
	})
	return true
}

func (p *clients) liftEvacuation(zone string) {
	s := p.sim
	p.orderCount++
	delete(s.checker.evacuated, zone) // from the sending on it may be open
	p.sendInOrder(s.billing.signedEvacuation(command.EvacuateZone{Order: fmt.Sprintf("o%d", p.orderCount), Zone: zone, Out: false}), func() {
		s.trace("operator: %s is open", zone)
		delete(p.evacuatedZones, zone)
	})
}

// resubmit hands a job in that was accepted long ago: it stays one job.
func (p *clients) resubmit() {
	if len(p.jobs) > 0 {
		if j := pick(p.sim, p.jobs); j.acceptedAt > 0 {
			p.submit(j, 0)
		}
	}
	if !p.sim.faultsOver {
		p.after(p.sim.between(time.Second, 4*time.Second), p.resubmit)
	}
}
