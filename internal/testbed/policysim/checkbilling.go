package policysim

import (
	"encoding/json"
	"slices"
	"time"

	"crosstide/internal/account"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
	"crosstide/internal/testbed/policyworker"
)

// billingChecker keeps accounts of its own, from the commands in the log and from when handles open and go, and holds the
// replicated ones against them after every entry.
type billingChecker struct {
	sim                *sim
	accountModels      map[string]*accountModel
	runs               map[uint64]*paidRun
	everRan            map[state.TaskRef]bool   // lasting tasks that had a run ID
	plan               *command.Plan            // of the entry being applied
	incarnations       map[string]string        // of minions, before that entry
	checks             uint64                   // entries judged
	pendingResume      *resumption              // a top-up after which work is to go on
	pendingAttachments []attachment             // lasting tasks to be started again
	starts             map[string]uint64        // newest run ID that was started, by team
	topUps             map[string]time.Duration // when the commit of a top-up was seen, by key
}

// accountModel is what the oracle knows of an account.
type accountModel struct {
	topUps           map[string]int64 // by key
	spent            int64            // by runs that are over
	exhausted        bool
	nonNegativeSince time.Time // the newest time at which the balance was not below zero
	endedSinceBound  int64     // bound on what runs that ended since then drew
}

type paidRun struct {
	party string
	rate  int64 // units a second
	start time.Time
}

// pendingResume is a top-up that ends a dry spell.
type resumption struct {
	key     string
	team    string
	runID   uint64 // newest before it
	acked   time.Duration
	started time.Duration
}

// attachment is a lasting task that was lost and is to run again.
type attachment struct {
	ref       state.TaskRef
	after     uint64 // its run ID
	since     time.Duration
	exhausted bool
}

// BillingPromises are the names that the oracle uses where parties pay.
var BillingPromises = []string{"conserved", "paid for", "bounded below zero", "resumes in time", "attached"}

func newBillingChecker(s *sim) *billingChecker {
	o := &billingChecker{sim: s, accountModels: map[string]*accountModel{}, runs: map[uint64]*paidRun{}, everRan: map[state.TaskRef]bool{},
		starts: map[string]uint64{}, topUps: map[string]time.Duration{}}
	watch := s.checker.reference.OnEvent
	s.checker.reference.OnEvent = func(n state.Event) {
		watch(n)
		switch n.Kind {
		case state.EventHandleCreated:
			o.checkOpened(n.Handle)
		case state.EventHandleReleased:
			o.observeClosed(n.Handle)
		}
	}
	return o
}

func (o *billingChecker) account(name string) *account.Account {
	if o.sim.checker.reference.Accounts == nil {
		return nil
	}
	return o.sim.checker.reference.Accounts.Accounts[name]
}

// recentNext is the store's time.
func (o *billingChecker) storeTime() time.Time { return o.sim.checker.reference.At }

// price is what a rate costs for a time, rounded up.
func price(rate int64, length time.Duration) int64 {
	return (rate*int64(length) + int64(time.Second) - 1) / int64(time.Second)
}

// closedWindows is the length of all windows of a run that are over at a time.
func (r *paidRun) closedWindows(at time.Time) time.Duration {
	return at.Sub(r.start) / paidWindow * paidWindow
}

// expectedSums are topped up, balance, reserved and spent of a party at a time, by the oracle's own accounts.
func (o *billingChecker) expectedSums(party string, at time.Time) (toppedUp, balance, reserved, spent int64) {
	p := o.accountModels[party]
	if p == nil {
		return 0, 0, 0, 0
	}
	for _, amount := range p.topUps {
		toppedUp += amount
	}
	spent = p.spent
	for _, r := range o.runs {
		if r.party == party {
			over := r.closedWindows(at)
			spent += price(r.rate, over)
			reserved += price(r.rate, over+paidWindow) - price(r.rate, over)
		}
	}
	return toppedUp, toppedUp - reserved - spent, reserved, spent
}

// apply applies an entry to the oracle's copy of the state, and judges the accounts after it.
func (b *billingScenario) apply(data []byte, apply func()) {
	if b == nil {
		apply()
		return
	}
	o := b.billingChecker
	o.plan = nil
	var e command.Entry
	if len(data) > 0 {
		must(json.Unmarshal(data, &e))
	}
	runID := o.sim.checker.reference.LastRunID
	waiting := false
	switch e.Op {
	case "plan":
		o.plan = &command.Plan{}
		must(json.Unmarshal(e.Body, o.plan))
		o.incarnations = map[string]string{}
		for name, m := range o.sim.checker.reference.Workers {
			o.incarnations[name] = m.Incarnation
		}
	case "account-top-up":
		waiting = b.hasWaitingTask(limitedTeam, false)
	}
	apply()
	switch e.Op {
	case "account-create":
		o.observeCreate(e.Body)
	case "account-top-up":
		o.observeTopUp(e.Body)
		if waiting && b.hasWaitingTask(limitedTeam, true) {
			o.expectResume(e.Body, runID)
		}
	}
	o.checkAccounts(b)
}

// hasWaitingTask tells whether a due task of a team has room on a minion, and can or cannot be paid.
func (b *billingScenario) hasWaitingTask(team string, payable bool) bool {
	so := b.sim.checker
	for _, key := range so.runningJobs() {
		j := so.reference.Jobs[key]
		if j.Spec.Team != team {
			continue
		}
		for i := range j.Tasks {
			for k := range j.Tasks[i] {
				ref := state.TaskRef{Job: key, Step: i, Task: k}
				if so.fitsNow(j, ref) && b.payable(j, ref) == payable && so.reference.Fee(j, ref).Party != "" {
					return true
				}
			}
		}
	}
	return false
}

func (o *billingChecker) observeCreate(body []byte) {
	var c command.AccountCreate
	must(json.Unmarshal(body, &c))
	if o.account(c.Account) != nil && o.accountModels[c.Account] == nil {
		o.accountModels[c.Account] = &accountModel{topUps: map[string]int64{}, nonNegativeSince: o.storeTime()}
	}
}

func (o *billingChecker) observeTopUp(body []byte) {
	var c command.AccountTopUp
	must(json.Unmarshal(body, &c))
	p := o.accountModels[c.Account]
	if p == nil {
		return
	}
	if _, again := p.topUps[c.Key]; again {
		o.sim.report.Counts["top-ups that came again"]++
		return
	}
	p.topUps[c.Key] = c.Amount
	o.topUps[c.Key] = o.sim.now
	o.sim.report.Counts["top-ups"]++
	o.sim.trace("account %s is topped up with %d by %s", c.Account, c.Amount, c.Key)
}

// checkOpened takes in that a run ID was given. A start must have been covered; only a lasting task that ran before need not.
func (o *billingChecker) checkOpened(h *state.Handle) {
	j, _ := o.sim.checker.reference.TaskOf(h.Ref)
	party := map[string]string{limitedTeam: limitedParty, unlimitedTeam: unlimitedParty}[j.Spec.Team]
	if party == "" || o.sim.checker.reference.Bundle.Version < 2 {
		return
	}
	longRunning := j.Spec.Steps[h.Ref.Step].LongRunning
	rate := int64(h.Cores) * corePrice
	if longRunning && o.everRan[h.Ref] {
		o.sim.report.Counts["lasting tasks started again"]++
	} else {
		o.sim.countCase("paid for")
		if _, balance, _, _ := o.expectedSums(party, o.storeTime()); balance < price(rate, paidWindow) {
			o.sim.reportBreach("paid for", "run ID %d of %v is given at a balance of %d, it needs %d", h.RunID, h.Ref, balance, price(rate, paidWindow))
		}
	}
	o.everRan[h.Ref] = longRunning
	o.runs[h.RunID] = &paidRun{party, rate, o.storeTime()}
}

// observeClosed takes in that a handle goes: its time is spent, or only its windows if it was lost.
func (o *billingChecker) observeClosed(h *state.Handle) {
	r := o.runs[h.RunID]
	if r == nil {
		return
	}
	delete(o.runs, h.RunID)
	p, length := o.accountModels[r.party], o.storeTime().Sub(r.start)
	if o.isLost(h) {
		o.sim.report.Counts["lost runs given back"]++
		p.spent += price(r.rate, r.closedWindows(o.storeTime()))
	} else {
		p.spent += price(r.rate, length)
	}
	p.endedSinceBound += r.boundSince(p.nonNegativeSince, o.storeTime())
}

// boundSince bounds what a run drew, or holds, since a time.
func (r *paidRun) boundSince(since, at time.Time) int64 {
	if since.Before(r.start) {
		since = r.start
	}
	return price(r.rate, at.Sub(since)+paidWindow)
}

// isLost tells whether the plan being applied lets a handle go without an end, and not by our own word.
func (o *billingChecker) isLost(h *state.Handle) bool {
	if slices.ContainsFunc(o.plan.Ends, func(e command.End) bool { return e.RunID == h.RunID }) {
		return false
	}
	for _, m := range o.plan.Workers {
		if m.Name == h.Worker && m.Incarnation != o.incarnations[m.Name] && m.Incarnation != h.Incarnation && (m.Kind != policyworker.KindObey || h.Phase == state.TaskRunning) {
			return true
		}
	}
	return !slices.ContainsFunc(o.plan.Dead, func(p command.Proof) bool { return p.RunID == h.RunID && p.Why == command.ProofStop })
}

// checkAccounts holds the replicated accounts against the oracle's own.
func (o *billingChecker) checkAccounts(b *billingScenario) {
	s, at := o.sim, o.storeTime()
	for _, name := range sortedNames(o.accountModels) {
		a, p := o.account(name), o.accountModels[name]
		toppedUp, balance, reserved, spent := o.expectedSums(name, at)
		s.countCase("conserved")
		if [4]int64{a.ToppedUp, a.Balance, a.Reserved, a.Spent} != [4]int64{toppedUp, balance, reserved, spent} {
			s.reportBreach("conserved", "account %s has %d topped up, %d balance, %d reserved, %d spent; it should be %d, %d, %d, %d", name,
				a.ToppedUp, a.Balance, a.Reserved, a.Spent, toppedUp, balance, reserved, spent)
		}
		o.checkBound(name, p, balance)
		o.checkExhaustedPeriod(b, name, p, balance)
	}
	const often = 64
	if o.checks++; o.checks%often == 0 {
		if err := s.checker.reference.Accounts.Check(); err != nil {
			s.reportBreach("conserved", "%v", err)
		}
	}
}

// checkBound holds a balance below zero against what was out since it was not.
func (o *billingChecker) checkBound(name string, p *accountModel, balance int64) {
	if balance >= 0 {
		p.nonNegativeSince, p.endedSinceBound = o.storeTime(), 0
		return
	}
	o.sim.countCase("bounded below zero")
	bound := p.endedSinceBound
	for _, r := range o.runs {
		if r.party == name {
			bound += r.boundSince(p.nonNegativeSince, o.storeTime())
		}
	}
	if -balance > bound {
		o.sim.reportBreach("bounded below zero", "account %s is at %d, what was out since %s draws %d at most", name, balance, p.nonNegativeSince, bound)
	}
}

// checkExhaustedPeriod counts dry spells; at the draw that begins one the leader may be killed.
func (o *billingChecker) checkExhaustedPeriod(b *billingScenario, name string, p *accountModel, balance int64) {
	exhausted := balance < price(corePrice, paidWindow)
	if exhausted && !p.exhausted {
		o.sim.report.Counts["dry spells"]++
		o.sim.trace("account %s runs dry at %d", name, balance)
		if name == limitedParty && o.sim.chance(0.1) {
			b.killLeader("leader killed at the last draw", o.sim.between(0, 5*time.Millisecond))
		}
	}
	p.exhausted = exhausted
}

// expectResume notes a top-up after which work must go on.
func (o *billingChecker) expectResume(body []byte, runID uint64) {
	var c command.AccountTopUp
	must(json.Unmarshal(body, &c))
	if o.pendingResume == nil || o.pendingResume.key == "" {
		o.pendingResume = &resumption{key: c.Key, team: limitedTeam, runID: runID}
	}
}

// observeTopUpAnswer takes in that the operator was told of a top-up.
func (o *billingChecker) observeTopUpAnswer(c *command.AccountTopUp) {
	if r := o.pendingResume; r != nil && r.key == c.Key {
		r.acked = o.sim.now
		o.finishResume()
	}
}

// checkStart takes in that a minion starts a run.
func (o *billingChecker) observeStart(ref state.TaskRef, runID uint64) {
	s := o.sim
	j := s.checker.jobs[ref.Job]
	if r := o.pendingResume; r != nil && r.started == 0 && j.spec.Team == r.team && runID > r.runID && !j.spec.Steps[ref.Step].LongRunning {
		r.started = s.now
		o.finishResume()
	}
	o.pendingAttachments = slices.DeleteFunc(o.pendingAttachments, func(w attachment) bool {
		if w.ref != ref || runID <= w.after {
			return false
		}
		s.countCase("attached")
		s.report.Attached = append(s.report.Attached, s.now-w.since)
		if w.exhausted {
			s.report.Counts["lasting tasks attached again while dry"]++
		}
		return true
	})
}

// finishResume takes the time of a resumption, when both the yes and the start are known.
func (o *billingChecker) finishResume() {
	r := o.pendingResume
	if r.acked == 0 || r.started == 0 {
		return
	}
	took := max(0, r.started-r.acked)
	if r.acked > o.sim.options.FaultPeriod+recoveryTime {
		o.sim.countCase("resumes in time")
		o.sim.report.CalmResumes = append(o.sim.report.CalmResumes, took)
		if took > resumeTimeout {
			o.sim.reportBreach("resumes in time", "work went on %v after the top-up %s was acknowledged", took, r.key)
		}
	} else {
		o.sim.report.Resumes = append(o.sim.report.Resumes, took)
	}
	o.pendingResume = nil
}

// checkResume looks for work that does not go on after a top-up.
func (b *billingScenario) checkResume() {
	r := b.pendingResume
	if r == nil || r.acked == 0 || b.sim.now-r.acked <= resumeTimeout {
		return
	}
	if !b.hasWaitingTask(r.team, true) { // it was cancelled, or others took the room
		b.pendingResume = nil
		return
	}
	if r.acked > b.sim.options.FaultPeriod+recoveryTime {
		b.sim.reportBreach("resumes in time", "nothing started since the top-up %s was acknowledged at %v", r.key, r.acked)
	}
}

// checkAttached looks for lasting tasks that were lost and do not run again.
func (b *billingScenario) checkAttached() {
	s := b.sim
	b.pendingAttachments = slices.DeleteFunc(b.pendingAttachments, func(w attachment) bool {
		j := s.checker.reference.Jobs[w.ref.Job]
		if j == nil || j.Phase != state.JobRunning || s.checker.jobs[w.ref.Job].cancelRequested {
			return true // it was cancelled
		}
		if s.now-w.since > reattachTimeout {
			s.reportBreach("attached", "%v, lost at %v, does not run again", w.ref, w.since)
		}
		return false
	})
}
