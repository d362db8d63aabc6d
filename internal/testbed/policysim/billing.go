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
	s             *sim
	accountModels map[string]*accountModel
	runs          map[uint64]*paidRun
	ran           map[state.TaskRef]bool   // lasting tasks that had a run ID
	plan          *command.Plan            // of the entry being applied
	incarnations  map[string]string        // of minions, before that entry
	checks        uint64                   // entries judged
	resume        *resume                  // a top-up after which work is to go on
	wanted        []attachment             // lasting tasks to be started again
	starts        map[string]uint64        // newest run ID that was started, by team
	topUps        map[string]time.Duration // when the commit of a top-up was seen, by key
}

// accountModel is what the oracle knows of an account.
type accountModel struct {
	topUps    map[string]int64 // by key
	spent     int64            // by runs that are over
	exhausted bool
	since     time.Time // the newest time at which the balance was not below zero
	over      int64     // bound on what runs that ended since then drew
}

type paidRun struct {
	party string
	rate  int64 // units a second
	start time.Time
}

// resume is a top-up that ends a dry spell.
type resume struct {
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
	o := &billingChecker{s: s, accountModels: map[string]*accountModel{}, runs: map[uint64]*paidRun{}, ran: map[state.TaskRef]bool{},
		starts: map[string]uint64{}, topUps: map[string]time.Duration{}}
	watch := s.invariantChecker.ref.OnEvent
	s.invariantChecker.ref.OnEvent = func(n state.Event) {
		watch(n)
		switch n.Kind {
		case state.EventHandleCreated:
			o.opened(n.Handle)
		case state.EventHandleReleased:
			o.closed(n.Handle)
		}
	}
	return o
}

func (o *billingChecker) account(name string) *account.Account {
	if o.s.invariantChecker.ref.Accounts == nil {
		return nil
	}
	return o.s.invariantChecker.ref.Accounts.Accounts[name]
}

// at is the store's time.
func (o *billingChecker) at() time.Time { return o.s.invariantChecker.ref.At }

// price is what a rate costs for a time, rounded up.
func price(rate int64, length time.Duration) int64 {
	return (rate*int64(length) + int64(time.Second) - 1) / int64(time.Second)
}

// windows is the length of all windows of a run that are over at a time.
func (r *paidRun) windows(at time.Time) time.Duration {
	return at.Sub(r.start) / paidWindow * paidWindow
}

// sums are topped up, balance, reserved and spent of a party at a time, by the oracle's own accounts.
func (o *billingChecker) sums(party string, at time.Time) (toppedUp, balance, reserved, spent int64) {
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
			over := r.windows(at)
			spent += price(r.rate, over)
			reserved += price(r.rate, over+paidWindow) - price(r.rate, over)
		}
	}
	return toppedUp, toppedUp - reserved - spent, reserved, spent
}

// apply applies an entry to the oracle's copy of the state, and judges the accounts after it.
func (b *balances) apply(data []byte, apply func()) {
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
	runID := o.s.invariantChecker.ref.LastRunID
	waiting := false
	switch e.Op {
	case "plan":
		o.plan = &command.Plan{}
		must(json.Unmarshal(e.Body, o.plan))
		o.incarnations = map[string]string{}
		for name, m := range o.s.invariantChecker.ref.Workers {
			o.incarnations[name] = m.Incarnation
		}
	case "account-top-up":
		waiting = b.waiting(limitedTeam, false)
	}
	apply()
	switch e.Op {
	case "account-create":
		o.create(e.Body)
	case "account-top-up":
		o.add(e.Body)
		if waiting && b.waiting(limitedTeam, true) {
			o.expect(e.Body, runID)
		}
	}
	o.judge(b)
}

// waiting tells whether a due task of a team has room on a minion, and can or cannot be paid.
func (b *balances) waiting(team string, payable bool) bool {
	so := b.s.invariantChecker
	for _, key := range so.keys() {
		j := so.ref.Jobs[key]
		if j.Spec.Team != team {
			continue
		}
		for i := range j.Tasks {
			for k := range j.Tasks[i] {
				ref := state.TaskRef{Job: key, Step: i, Task: k}
				if so.fits(j, ref) && b.payable(j, ref) == payable && so.ref.Fee(j, ref).Party != "" {
					return true
				}
			}
		}
	}
	return false
}

func (o *billingChecker) create(body []byte) {
	var c command.AccountCreate
	must(json.Unmarshal(body, &c))
	if o.account(c.Account) != nil && o.accountModels[c.Account] == nil {
		o.accountModels[c.Account] = &accountModel{topUps: map[string]int64{}, since: o.at()}
	}
}

func (o *billingChecker) add(body []byte) {
	var c command.AccountTopUp
	must(json.Unmarshal(body, &c))
	p := o.accountModels[c.Account]
	if p == nil {
		return
	}
	if _, again := p.topUps[c.Key]; again {
		o.s.report.Counts["top-ups that came again"]++
		return
	}
	p.topUps[c.Key] = c.Amount
	o.topUps[c.Key] = o.s.now
	o.s.report.Counts["top-ups"]++
	o.s.trace("account %s is topped up with %d by %s", c.Account, c.Amount, c.Key)
}

// opened takes in that a run ID was given. A start must have been covered; only a lasting task that ran before need not.
func (o *billingChecker) opened(h *state.Handle) {
	j, _ := o.s.invariantChecker.ref.TaskOf(h.Ref)
	party := map[string]string{limitedTeam: limitedParty, richTeam: rich}[j.Spec.Team]
	if party == "" || o.s.invariantChecker.ref.Bundle.Version < 2 {
		return
	}
	longRunning := j.Spec.Steps[h.Ref.Step].LongRunning
	rate := int64(h.Cores) * corePrice
	if longRunning && o.ran[h.Ref] {
		o.s.report.Counts["lasting tasks started again"]++
	} else {
		o.s.countCase("paid for")
		if _, balance, _, _ := o.sums(party, o.at()); balance < price(rate, paidWindow) {
			o.s.reportBreach("paid for", "run ID %d of %v is given at a balance of %d, it needs %d", h.RunID, h.Ref, balance, price(rate, paidWindow))
		}
	}
	o.ran[h.Ref] = longRunning
	o.runs[h.RunID] = &paidRun{party, rate, o.at()}
}

// closed takes in that a handle goes: its time is spent, or only its windows if it was lost.
func (o *billingChecker) closed(h *state.Handle) {
	r := o.runs[h.RunID]
	if r == nil {
		return
	}
	delete(o.runs, h.RunID)
	p, length := o.accountModels[r.party], o.at().Sub(r.start)
	if o.lost(h) {
		o.s.report.Counts["lost runs given back"]++
		p.spent += price(r.rate, r.windows(o.at()))
	} else {
		p.spent += price(r.rate, length)
	}
	p.over += r.below(p.since, o.at())
}

// below bounds what a run drew, or holds, since a time.
func (r *paidRun) below(since, at time.Time) int64 {
	if since.Before(r.start) {
		since = r.start
	}
	return price(r.rate, at.Sub(since)+paidWindow)
}

// lost tells whether the plan being applied lets a handle go without an end, and not by our own word.
func (o *billingChecker) lost(h *state.Handle) bool {
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

// judge holds the replicated accounts against the oracle's own.
func (o *billingChecker) judge(b *balances) {
	s, at := o.s, o.at()
	for _, name := range sortedNames(o.accountModels) {
		a, p := o.account(name), o.accountModels[name]
		toppedUp, balance, reserved, spent := o.sums(name, at)
		s.countCase("conserved")
		if [4]int64{a.ToppedUp, a.Balance, a.Reserved, a.Spent} != [4]int64{toppedUp, balance, reserved, spent} {
			s.reportBreach("conserved", "account %s has %d topped up, %d balance, %d reserved, %d spent; it should be %d, %d, %d, %d", name,
				a.ToppedUp, a.Balance, a.Reserved, a.Spent, toppedUp, balance, reserved, spent)
		}
		o.bounded(name, p, balance)
		o.checkExhaustedPeriod(b, name, p, balance)
	}
	const often = 64
	if o.checks++; o.checks%often == 0 {
		if err := s.invariantChecker.ref.Accounts.Check(); err != nil {
			s.reportBreach("conserved", "%v", err)
		}
	}
}

// bounded holds a balance below zero against what was out since it was not.
func (o *billingChecker) bounded(name string, p *accountModel, balance int64) {
	if balance >= 0 {
		p.since, p.over = o.at(), 0
		return
	}
	o.s.countCase("bounded below zero")
	bound := p.over
	for _, r := range o.runs {
		if r.party == name {
			bound += r.below(p.since, o.at())
		}
	}
	if -balance > bound {
		o.s.reportBreach("bounded below zero", "account %s is at %d, what was out since %s draws %d at most", name, balance, p.since, bound)
	}
}

// checkExhaustedPeriod counts dry spells; at the draw that begins one the leader may be killed.
func (o *billingChecker) checkExhaustedPeriod(b *balances, name string, p *accountModel, balance int64) {
	exhausted := balance < price(corePrice, paidWindow)
	if exhausted && !p.exhausted {
		o.s.report.Counts["dry spells"]++
		o.s.trace("account %s runs dry at %d", name, balance)
		if name == limitedParty && o.s.chance(0.1) {
			b.killLeader("leader killed at the last draw", o.s.between(0, 5*time.Millisecond))
		}
	}
	p.exhausted = exhausted
}

// expect notes a top-up after which work must go on.
func (o *billingChecker) expect(body []byte, runID uint64) {
	var c command.AccountTopUp
	must(json.Unmarshal(body, &c))
	if o.resume == nil || o.resume.key == "" {
		o.resume = &resume{key: c.Key, team: limitedTeam, runID: runID}
	}
}

// acknowledged takes in that the operator was told of a top-up.
func (o *billingChecker) acknowledged(c *command.AccountTopUp) {
	if r := o.resume; r != nil && r.key == c.Key {
		r.acked = o.s.now
		o.resumed()
	}
}

// started takes in that a minion starts a run.
func (o *billingChecker) started(ref state.TaskRef, runID uint64) {
	s := o.s
	j := s.invariantChecker.jobs[ref.Job]
	if r := o.resume; r != nil && r.started == 0 && j.spec.Team == r.team && runID > r.runID && !j.spec.Steps[ref.Step].LongRunning {
		r.started = s.now
		o.resumed()
	}
	o.wanted = slices.DeleteFunc(o.wanted, func(w attachment) bool {
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

// resumed takes the time of a resumption, when both the yes and the start are known.
func (o *billingChecker) resumed() {
	r := o.resume
	if r.acked == 0 || r.started == 0 {
		return
	}
	took := max(0, r.started-r.acked)
	if r.acked > o.s.opt.For+calmAfter {
		o.s.countCase("resumes in time")
		o.s.report.CalmResumes = append(o.s.report.CalmResumes, took)
		if took > resumeTimeout {
			o.s.reportBreach("resumes in time", "work went on %v after the top-up %s was acknowledged", took, r.key)
		}
	} else {
		o.s.report.Resumes = append(o.s.report.Resumes, took)
	}
	o.resume = nil
}

// judgeResume looks for work that does not go on after a top-up.
func (b *balances) judgeResume() {
	r := b.resume
	if r == nil || r.acked == 0 || b.s.now-r.acked <= resumeTimeout {
		return
	}
	if !b.waiting(r.team, true) { // it was cancelled, or others took the room
		b.resume = nil
		return
	}
	if r.acked > b.s.opt.For+calmAfter {
		b.s.reportBreach("resumes in time", "nothing started since the top-up %s was acknowledged at %v", r.key, r.acked)
	}
}

// judgeAttached looks for lasting tasks that were lost and do not run again.
func (b *balances) judgeAttached() {
	s := b.s
	b.wanted = slices.DeleteFunc(b.wanted, func(w attachment) bool {
		j := s.invariantChecker.ref.Jobs[w.ref.Job]
		if j == nil || j.Phase != state.JobRunning || s.invariantChecker.jobs[w.ref.Job].wanted {
			return true // it was cancelled
		}
		if s.now-w.since > reattachTimeout {
			s.reportBreach("attached", "%v, lost at %v, does not run again", w.ref, w.since)
		}
		return false
	})
}
