package policysim

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/raft"
	"crosstide/internal/signature"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

// The two parties of a run with Options.Parties: the account of limitedParty is exhausted repeatedly, that of
// unlimitedParty never. No party pays for freeTeam.
const (
	limitedParty   = "acme"
	unlimitedParty = "blue"
	limitedTeam    = "a"
	unlimitedTeam  = "b"
	freeTeam       = "t"
)

// partyOf maps a team to the party that pays for it.
var partyOf = map[string]string{limitedTeam: limitedParty, unlimitedTeam: unlimitedParty}

// Prices in partiesBundle and payments, in units, and the length of the window that is paid in advance.
const (
	corePrice    = 10 // price of a core for a second
	paidWindow   = 5 * time.Second
	amplePayment = 1_000_000_000
)

// partiesBundle is the bundle that introduces the parties, with the prices above.
const partiesBundle = `{"queues":{"default":{}},"backoff":{"min":"200ms","max":"30s"},"parties":{` +
	`"acme":{"teams":["a"],"price":{"core":10},"reserve":"5s"},` +
	`"blue":{"teams":["b"],"price":{"core":10},"reserve":"5s"}}}`

// maxLongRunning is the maximum number of open long-running jobs of limitedTeam.
const maxLongRunning = 2

// lastTopUpAfter is the time from the start of the fault-free phase to the top-up after which limitedParty's account is
// never exhausted again.
const lastTopUpAfter = 22 * time.Second

// billingScenario simulates the clients' and operators' calls about accounts in a run with parties; billingChecker
// checks the outcome. Without parties it is nil: start, lastTopUpDelay, signedEvacuation and drawTeam accept that.
type billingScenario struct {
	sim             *sim
	keys            map[string]signature.Key // keys of the operators, by name
	ready           bool                     // the parties' bundle is active and their accounts exist
	lastNumber      int                      // newest number used in a key of a top-up or long-running job
	longRunningJobs []*clientJob             // long-running jobs that may still be open
}

func newBillingScenario(s *sim) *billingScenario {
	b := &billingScenario{sim: s, keys: map[string]signature.Key{}}
	for _, name := range []string{"ada", "ben"} {
		key, err := signature.New(name)
		must(err)
		b.keys[name] = key
	}
	return b
}

// lastTopUpDelay returns the time from the end of the faults to the last top-up of limitedParty. Jobs that wait for
// payment may end that much later.
func (b *billingScenario) lastTopUpDelay() time.Duration {
	if b == nil {
		return 0
	}
	return recoveryTime + lastTopUpAfter
}

// start registers the operators, activates the parties' bundle and opens their accounts.
func (b *billingScenario) start() {
	if b == nil {
		return
	}
	s := b.sim
	public := map[string]string{}
	for name, key := range b.keys {
		public[name] = key.Public()
	}
	orders := b.setUpOrders()
	b.registerOperators(&command.SetOperators{Operators: public}, func() {
		s.clients.sendInOrder(orders, func() {
			b.ready = true
			s.trace("parties are in force")
			b.submitLongRunning()
			b.topUpPeriodically()
		})
	})
	s.schedule(100*time.Millisecond, s.billingChecker.checkDeadlines)
	s.schedule(s.options.FaultPeriod+recoveryTime, b.scheduleFaultFreePhase)
}

func (b *billingScenario) setUpOrders() []command.Command {
	body := []byte(partiesBundle)
	digest := signature.Digest(body)
	sign := func(order, operator string) command.Command {
		return &command.SignBundle{Order: order, Version: 2, Digest: digest, By: operator,
			Sig: b.keys[operator].Sign(signature.Bundle(2, digest))}
	}
	credit := int64(0)
	if b.sim.options.WithoutGuard == "balance" {
		credit = amplePayment
	}
	return []command.Command{
		&command.PutBundle{Order: "put", Base: 1, By: "ada",
			Sig: b.keys["ada"].Sign(signature.BundlePut("put", 1, digest)), Body: body},
		sign("sign1", "ada"),
		b.openAccount(limitedParty, credit), b.openAccount(unlimitedParty, 0),
		b.topUp(unlimitedParty, amplePayment), b.topUp(limitedParty, 300),
		sign("sign2", "ben"),
	}
}

// registerOperators proposes the operators' keys until the store has them. A conflict means that an attempt whose
// answer was lost has succeeded.
func (b *billingScenario) registerOperators(keys command.Command, done func()) {
	c := b.sim.clients
	c.operator.propose(keys, c.Now()+orderTimeout, func(_ json.RawMessage, err error) {
		if err == nil || errs.Is(err, errs.Conflict) {
			done()
			return
		}
		c.after(200*time.Millisecond, func() { b.registerOperators(keys, done) })
	})
}

func (b *billingScenario) openAccount(name string, credit int64) command.Command {
	order := "open-" + name
	return &command.AccountCreate{Order: order, Account: name, Credit: credit, By: "ada",
		Sig: b.keys["ada"].Sign(signature.AccountCreate(order, name, credit))}
}

func (b *billingScenario) topUp(name string, amount int64) *command.AccountTopUp {
	b.lastNumber++
	key := fmt.Sprintf("top-up-%d", b.lastNumber)
	return &command.AccountTopUp{Account: name, Key: key, Amount: amount, By: "ben",
		Sig: b.keys["ben"].Sign(signature.AccountTopUp(key, name, amount))}
}

// signedEvacuation returns the commands that evacuate a zone or lift its evacuation. Once the store has operators, one
// of them signs an evacuation, and two sign its lifting.
func (b *billingScenario) signedEvacuation(z command.EvacuateZone) []command.Command {
	if b == nil {
		return []command.Command{&z}
	}
	if z.Start {
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

// drawTeam draws the team of the next job.
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

// topUpPeriodically tops limitedParty up at random intervals. The amounts are about as high as its consumption, so that
// its account is often exhausted.
func (b *billingScenario) topUpPeriodically() {
	s := b.sim
	if s.faultsEnded {
		return
	}
	b.topUpLimited(int64(50 + s.rng.IntN(350)))
	s.clients.after(s.between(time.Second, 9*time.Second), b.topUpPeriodically)
}

// topUpLimited tops limitedParty up. In a quarter of the cases the leader of the store is killed within 20 ms.
func (b *billingScenario) topUpLimited(amount int64) {
	s := b.sim
	if s.chance(0.25) {
		b.killLeader("leader killed at a top-up", s.between(0, 20*time.Millisecond))
	}
	topUp := b.topUp(limitedParty, amount)
	s.clients.sendOrder(topUp, nil, func() { s.billingChecker.observeTopUpAnswer(topUp) })
}

// topUpLimitedTo tops limitedParty up to a balance of about amount.
func (b *billingScenario) topUpLimitedTo(amount int64) {
	if account := b.sim.billingChecker.account(limitedParty); account != nil {
		b.topUpLimited(max(0, -account.Balance) + amount)
	}
}

// killLeader crashes the leader of the store after the delay, and restarts it later. name is the key of the count in
// Report.Faults.
func (b *billingScenario) killLeader(name string, delay time.Duration) {
	s := b.sim
	if s.faultsEnded || !s.faults.enabled["kill"] {
		return
	}
	s.schedule(delay, func() {
		i := slices.IndexFunc(s.controlPlanes, func(c *controlPlane) bool {
			return c.alive && c.driver != nil && c.driver.Core() != nil && c.driver.Core().Status().Role == raft.Leader
		})
		if i < 0 {
			return
		}
		c := s.controlPlanes[i]
		s.report.Faults[name]++
		s.trace("fault %s: %s", name, c.addr)
		c.crash(s.chance(0.5))
		s.schedule(s.faults.drawDuration(), c.restart)
	})
}

// submitLongRunning keeps up to maxLongRunning long-running jobs open until the faults have ended, and cancels half of
// them later.
func (b *billingScenario) submitLongRunning() {
	s := b.sim
	if s.faultsEnded {
		return
	}
	b.longRunningJobs = slices.DeleteFunc(b.longRunningJobs,
		func(j *clientJob) bool { return j.abandoned || j.outcome != "" })
	if len(b.longRunningJobs) < maxLongRunning {
		j := &clientJob{spec: b.longRunningSpec(), sentAt: s.now}
		s.clients.add(j)
		b.longRunningJobs = append(b.longRunningJobs, j)
		s.clients.submit(j, 0)
		if s.chance(0.5) {
			s.clients.after(s.between(5*time.Second, 25*time.Second), func() { b.cancel(j) })
		}
	}
	s.clients.after(s.between(time.Second, 5*time.Second), b.submitLongRunning)
}

func (b *billingScenario) longRunningSpec() state.Spec {
	b.lastNumber++
	step := state.StepSpec{Name: "s0", Type: "feed", Tasks: 1, Cores: 1, LongRunning: true,
		Run: json.RawMessage(`{"ms":-1}`)}
	return state.Spec{Key: fmt.Sprintf("lasting-%d", b.lastNumber), Team: limitedTeam, Queue: "default",
		Steps: []state.StepSpec{step}}
}

// cancel cancels a job as soon as it is accepted.
func (b *billingScenario) cancel(j *clientJob) {
	switch {
	case j.abandoned || j.cancelRequested:
	case j.acceptedAt == 0:
		b.sim.clients.after(200*time.Millisecond, func() { b.cancel(j) })
	default:
		b.sim.clients.cancel(j)
	}
}

// scheduleFaultFreePhase schedules the last phase of a run, without faults: a long-running task loses its worker while
// the account of limitedParty is exhausted, two top-ups are used up, a third is ample, and finally the long-running
// jobs are cancelled.
func (b *billingScenario) scheduleFaultFreePhase() {
	for _, step := range []struct {
		delay time.Duration
		do    func()
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
		b.sim.clients.after(step.delay, step.do)
	}
}

// killLongRunningWorker kills the worker of a long-running task, and restarts it soon after.
func (b *billingScenario) killLongRunningWorker() {
	s := b.sim
	for _, r := range s.checker.running {
		j := s.checker.reference.Jobs[r.ref.Job]
		if j == nil || j.Phase != state.JobRunning || !j.Spec.Steps[r.ref.Step].LongRunning || !r.worker.alive {
			continue
		}
		s.trace("%s, which runs %v, is ended", r.worker.addr, r.ref)
		s.billingChecker.expectReattachment(r)
		r.worker.kill()
		s.schedule(500*time.Millisecond, r.worker.restart)
		return
	}
}
