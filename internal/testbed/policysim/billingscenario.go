package policysim

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/raft"
	"crosstide/internal/signature"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

// The two parties of a run with balances: payer runs dry again and again, rich never does. Team freeTeam is paid for by
// nobody.
const (
	limitedParty   = "acme"
	unlimitedParty = "blue"
	limitedTeam    = "a"
	unlimitedTeam  = "b"
	freeTeam       = "t"
)

// Detail the parties pay, in units.
const (
	corePrice      = 10 // a second of a core
	paidWindow     = 5 * time.Second
	amplePayment   = 1_000_000_000
	maxLongRunning = 2 // lasting jobs of the payer at once
)

const partiesBundle = `{"queues":{"default":{}},"backoff":{"min":"200ms","max":"30s"},"parties":{` +
	`"acme":{"teams":["a"],"price":{"core":10},"reserve":"5s"},"blue":{"teams":["b"],"price":{"core":10},"reserve":"5s"}}}`

const (
	resumeTimeout   = time.Second      // from the yes to a top-up until work goes on, once the faults are over
	reattachTimeout = 10 * time.Second // from the loss of a lasting task's minion until it runs again, the same
)

// lastTopUpAfter is from the quiet part's begin to the top-up that lasts.
const lastTopUpAfter = 22 * time.Second

// paidUpDelay is how long after the faults the payer is topped up for good: what waits for money has its time from there.
func (b *billingScenario) paidUpDelay() time.Duration {
	if b == nil {
		return 0
	}
	return recoveryTime + lastTopUpAfter
}

// billingScenario is what the people do with balances.
type billingScenario struct {
	sim             *sim
	keys            map[string]signature.Key
	ready           bool // parties are in force and their accounts open
	lastNumber      int
	longRunningJobs []*clientJob
	*billingChecker
}

func newBillingScenario(s *sim) *billingScenario {
	b := &billingScenario{sim: s, keys: map[string]signature.Key{}, billingChecker: newBillingChecker(s)}
	for _, name := range []string{"ada", "ben"} {
		key, err := signature.New(name)
		must(err)
		b.keys[name] = key
	}
	return b
}

// start makes the operators known, puts the parties in force and opens their accounts.
func (b *billingScenario) start() {
	if b == nil {
		return
	}
	p := b.sim.clients
	public := map[string]string{}
	for name, key := range b.keys {
		public[name] = key.Public()
	}
	body := []byte(partiesBundle)
	digest := signature.Digest(body)
	credit := int64(0)
	if b.sim.options.WithoutGuard == "balance" {
		credit = amplePayment
	}
	orders := []command.Command{
		&command.PutBundle{Order: "put", Base: 1, By: "ada", Sig: b.keys["ada"].Sign(signature.Put("put", 1, digest)), Body: body},
		&command.SignBundle{Order: "sign1", Version: 2, Digest: digest, By: "ada", Sig: b.keys["ada"].Sign(signature.Bundle(2, digest))},
		b.openAccount(limitedParty, credit), b.openAccount(unlimitedParty, 0), b.topUp(unlimitedParty, amplePayment), b.topUp(limitedParty, 300),
		&command.SignBundle{Order: "sign2", Version: 2, Digest: digest, By: "ben", Sig: b.keys["ben"].Sign(signature.Bundle(2, digest))},
	}
	b.registerOperators(&command.SetOperators{Operators: public}, func() {
		p.sendInOrder(orders, func() {
			b.ready = true
			b.sim.trace("parties are in force")
			b.submitLongRunning()
			b.topUpPeriodically()
		})
	})
	b.sim.schedule(100*time.Millisecond, b.checkDeadlines)
	b.sim.schedule(b.sim.options.FaultPeriod+recoveryTime, b.scheduleQuietTail)
}

// registerOperators makes the operators known; a second time it is a conflict.
func (b *billingScenario) registerOperators(keys command.Command, done func()) {
	p := b.sim.clients
	p.operator.propose(keys, p.Now()+orderTimeout, func(_ json.RawMessage, err error) {
		if err == nil || errs.Is(err, errs.Conflict) {
			done()
			return
		}
		p.after(200*time.Millisecond, func() { b.registerOperators(keys, done) })
	})
}

func (b *billingScenario) openAccount(name string, credit int64) command.Command {
	order := "open-" + name
	return &command.AccountCreate{Order: order, Account: name, Credit: credit, By: "ada",
		Sig: b.keys["ada"].Sign(signature.AccountCreate(order, name, credit))}
}

func (b *billingScenario) topUp(name string, amount int64) command.Command {
	b.lastNumber++
	key := fmt.Sprintf("top-up-%d", b.lastNumber)
	return &command.AccountTopUp{Account: name, Key: key, Amount: amount, By: "ben", Sig: b.keys["ben"].Sign(signature.AccountTopUp(key, name, amount))}
}

// signedEvacuation makes the commands that evacuate a zone or lift that: once there are operators they sign.
func (b *billingScenario) signedEvacuation(z command.EvacuateZone) []command.Command {
	if b == nil {
		return []command.Command{&z}
	}
	if z.Out {
		z.By, z.Sig = "ada", b.keys["ada"].Sign(signature.Evacuate(z.Order, z.Zone))
		return []command.Command{&z}
	}
	text := signature.Lift(z.Zone, b.sim.checker.reference.Evacuated[z.Zone])
	first, second := z, z
	first.Order += "a"
	first.By, first.Sig = "ada", b.keys["ada"].Sign(text)
	second.By, second.Sig = "ben", b.keys["ben"].Sign(text)
	return []command.Command{&first, &second}
}

// drawTeam draws whose the next job is.
func (b *billingScenario) drawTeam() string {
	if b == nil || !b.ready {
		return freeTeam
	}
	switch n := b.sim.rng.IntN(10); {
	case n < 6:
		return limitedTeam
	case n < 8:
		return unlimitedTeam
	}
	return freeTeam
}

// topUpPeriodically tops the payer up now and then with about what it needs, so that it is dry for a good part of the time.
func (b *billingScenario) topUpPeriodically() {
	s := b.sim
	if s.faultsOver {
		return
	}
	b.topUpLimited(int64(50 + s.rng.IntN(350)))
	s.clients.after(s.between(time.Second, 9*time.Second), b.topUpPeriodically)
}

// topUpLimited tops the payer up; now and then the leader is killed meanwhile.
func (b *billingScenario) topUpLimited(amount int64) {
	s := b.sim
	if s.chance(0.25) {
		b.killLeader("leader killed at a top-up", s.between(0, 20*time.Millisecond))
	}
	cmd := b.topUp(limitedParty, amount)
	s.clients.sendOrder(cmd, nil, func() { b.observeTopUpAnswer(cmd.(*command.AccountTopUp)) })
}

// killLeader ends the leader of the store, and starts it again.
func (b *billingScenario) killLeader(what string, in time.Duration) {
	s := b.sim
	if s.faultsOver || !s.faults.enabled["kill"] {
		return
	}
	s.schedule(in, func() {
		for _, c := range s.controlPlanes {
			if c.alive && c.driver != nil && c.driver.Core() != nil && c.driver.Core().Status().Role == raft.Leader {
				s.report.Faults[what]++
				s.trace("fault %s: %s", what, c.addr)
				c.crash(s.chance(0.5))
				s.schedule(s.faults.drawDuration(), c.restart)
				return
			}
		}
	})
}

// submitLongRunning hands lasting jobs in, and cancels them after a while.
func (b *billingScenario) submitLongRunning() {
	s := b.sim
	if s.faultsOver {
		return
	}
	b.longRunningJobs = slices.DeleteFunc(b.longRunningJobs, func(j *clientJob) bool { return j.abandoned || j.outcome != "" })
	if len(b.longRunningJobs) < maxLongRunning {
		b.lastNumber++
		j := &clientJob{sentAt: s.now, spec: state.Spec{Key: fmt.Sprintf("lasting-%d", b.lastNumber), Team: limitedTeam, Queue: "default",
			Steps: []state.StepSpec{{Name: "s0", Type: "feed", Tasks: 1, Cores: 1, LongRunning: true, Run: json.RawMessage(`{"ms":-1}`)}}}}
		s.clients.jobs = append(s.clients.jobs, j)
		s.checker.jobs[j.spec.Key] = j
		b.longRunningJobs = append(b.longRunningJobs, j)
		s.clients.submit(j, 0)
		if s.chance(0.5) {
			s.clients.after(s.between(5*time.Second, 25*time.Second), func() { b.cancel(j) })
		}
	}
	s.clients.after(s.between(time.Second, 5*time.Second), b.submitLongRunning)
}

// cancelledAt cancels a job once it is accepted.
func (b *billingScenario) cancel(j *clientJob) {
	switch {
	case j.abandoned || j.cancelRequested:
	case j.acceptedAt == 0:
		b.sim.clients.after(200*time.Millisecond, func() { b.cancel(j) })
	default:
		b.sim.clients.cancel(j)
	}
}

// scheduleQuietTail plays the end when nothing else goes wrong any more: the payer is dry, a lasting task's minion is lost, two
// top-ups come that do not last, then one that does; at last the lasting jobs are cancelled.
func (b *billingScenario) scheduleQuietTail() {
	s := b.sim
	for _, step := range []struct {
		in time.Duration
		do func()
	}{
		{time.Second, b.killLongRunningWorker},
		{12 * time.Second, func() { b.topUpLimitedTo(600) }},
		{17 * time.Second, func() { b.topUpLimitedTo(400) }},
		{lastTopUpAfter, func() { b.topUpLimited(amplePayment) }},
		{30 * time.Second, func() {
			for _, j := range b.longRunningJobs {
				b.cancel(j)
			}
		}},
	} {
		s.clients.after(step.in, step.do)
	}
}

// topUpLimitedTo tops the payer up to about so much above zero.
func (b *billingScenario) topUpLimitedTo(amount int64) {
	if a := b.account(limitedParty); a != nil {
		b.topUpLimited(max(0, -a.Balance) + amount)
	}
}

// killLongRunningWorker ends the minion of a lasting run; it comes back soon.
func (b *billingScenario) killLongRunningWorker() {
	s := b.sim
	for _, r := range s.checker.running {
		j := s.checker.reference.Jobs[r.ref.Job]
		if j == nil || j.Phase != state.JobRunning || !j.Spec.Steps[r.ref.Step].LongRunning || !r.worker.alive {
			continue
		}
		s.trace("%s, which runs %v, is ended", r.worker.addr, r.ref)
		b.pendingAttachments = append(b.pendingAttachments, attachment{ref: r.ref, after: r.runID, since: s.now, exhausted: !b.covers(limitedParty, corePrice*5)})
		m := r.worker
		m.kill()
		s.schedule(500*time.Millisecond, m.restart)
		return
	}
}

func (b *billingScenario) covers(name string, cost int64) bool {
	return b.sim.checker.reference.Accounts.Covers(name, cost)
}

// checkDeadlines judges what must happen in time.
func (b *billingScenario) checkDeadlines() {
	b.sim.schedule(100*time.Millisecond, b.checkDeadlines)
	b.checkResume()
	b.checkAttached()
}

// payable tells whether a due task needs no top-up: nobody pays for it, or the balance covers it and is not kept for one
// that comes before it.
func (b *billingScenario) payable(j *state.Job, ref state.TaskRef) bool {
	if b == nil {
		return true
	}
	ref0 := b.sim.checker.reference
	fee := ref0.Fee(j, ref)
	if fee.Party == "" {
		return true
	}
	fee.Cost *= dueTogether(j, ref.Step)
	if !ref0.Covers(fee) {
		return false
	}
	for _, key := range b.sim.checker.runningJobs() {
		if older := ref0.Jobs[key]; older.Seq < j.Seq && b.hasUncoveredTask(older, fee.Party) {
			return false
		}
	}
	return true
}

// dueTogether is how many due tasks of a step start together.
func dueTogether(j *state.Job, step int) int64 {
	if !j.Spec.Steps[step].Gang {
		return 1
	}
	due := int64(0)
	for i := range j.Tasks[step] {
		if j.Tasks[step][i].Phase == state.TaskDue {
			due++
		}
	}
	return due
}

// hasUncoveredTask tells whether a job has a due task that its party's balance does not cover.
func (b *billingScenario) hasUncoveredTask(j *state.Job, party string) bool {
	o := b.sim.checker
	if o.reference.Bundle.PartyOf(j.Spec.Queue, j.Spec.Team) != party {
		return false
	}
	for i := range j.Tasks {
		for k := range j.Tasks[i] {
			ref := state.TaskRef{Job: j.Spec.Key, Step: i, Task: k}
			if j.Tasks[i][k].Phase != state.TaskDue || b.sim.now < o.dueAt[ref] {
				continue
			}
			fee := o.reference.Fee(j, ref)
			fee.Cost *= dueTogether(j, i)
			if !o.reference.Covers(fee) {
				return true
			}
		}
	}
	return false
}

func sortedNames[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
