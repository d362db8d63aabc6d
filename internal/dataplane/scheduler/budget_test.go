package scheduler

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/account"
	"crosstide/internal/internalapi"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

// paidHarness is a harness with a party that pays for team "a". A core costs 10 units per second, and a start with one
// core reserves 100.
type paidHarness struct {
	*harness
	topUps int
}

// newPaidHarness returns a paidHarness whose party has the given balance and whose workers are registered.
func newPaidHarness(units int64, workers ...string) *paidHarness {
	p := &paidHarness{harness: newHarness("check", workers...)}
	acme := state.Party{Teams: []string{"a"}, Price: account.Price{Core: 10}, Reserve: 10 * time.Second}
	p.st.Bundle.SetParties(map[string]state.Party{"acme": acme})
	p.apply(&command.AccountCreate{Order: "open", Account: "acme"})
	if units > 0 {
		p.topUp(units)
	}
	p.registerWorkers("check")
	return p
}

// topUp adds units to the party's balance.
func (p *paidHarness) topUp(units int64) {
	p.topUps++
	p.apply(&command.AccountTopUp{Account: "acme", Key: fmt.Sprint("k", p.topUps), Amount: units})
}

// submitUnpaid submits a job of a team that no party pays for.
func (p *paidHarness) submitUnpaid(key string) {
	p.apply(&command.Submit{Spec: state.Spec{Key: key, Team: "free", Queue: "default",
		Steps: []state.StepSpec{{Name: "s", Type: "t", Tasks: 1, Cores: 1}}}, Digest: key, Bound: 100})
}

// advance advances the time in steps, in which workers execute orders and answer calls.
func (p *paidHarness) advance(duration time.Duration) {
	for end := p.now + duration; p.now < end; {
		p.now += 50 * time.Millisecond
		for _, call := range p.commitPlans() {
			if call.IsOrder {
				p.answer(call, "check", p.listRuns(call.Worker))
			}
		}
		for name, call := range p.polls {
			delete(p.polls, name)
			p.answer(call, "check", p.listRuns(name))
		}
	}
}

// listRuns returns the answer of a worker that runs everything the store has assigned to it.
func (p *paidHarness) listRuns(name string) (a internalapi.LeaseAnswer) {
	a.Running = p.st.RunIDsOn(name)
	a.Floor = p.st.LastRunID
	return a
}

// startedJobs returns the given keys of jobs whose first task has a run ID.
func (p *paidHarness) startedJobs(keys ...string) (withRunID []string) {
	for _, key := range keys {
		if taskOf(p.harness, key).RunID > 0 {
			withRunID = append(withRunID, key)
		}
	}
	return withRunID
}

// Guards against plans that propose the same uncovered starts again and again while a party awaits a top-up, and
// against a balance that goes to younger or cheaper tasks first.
func TestBudget_partyAwaitingTopUp(t *testing.T) {
	Convey("A party without balance waits without commits, others run, and a top-up goes to old jobs first", t, func() {
		p := newPaidHarness(200, "m1", "m2")
		for i := range 6 {
			p.submit(fmt.Sprint("j", i), state.StepSpec{})
		}
		p.submitUnpaid("f1")
		p.advance(time.Second)
		So(p.startedJobs("j0", "j1", "j2", "j3", "j4", "j5", "f1"), ShouldResemble, []string{"j0", "j1", "f1"})
		So(p.core.TasksAwaitingTopUp(), ShouldResemble, map[string]int{"acme": 4})
		plans, index := p.core.Counts.Plans, p.st.Index
		p.advance(20 * time.Second)
		So(p.core.Counts.Plans, ShouldEqual, plans)
		So(p.st.Index, ShouldEqual, index)
		So(p.core.Counts.StartsRefused, ShouldEqual, 0)
		p.submitUnpaid("f2")
		p.advance(100 * time.Millisecond)
		So(p.startedJobs("f2"), ShouldResemble, []string{"f2"})
		p.topUp(1000)
		p.commitPlans()
		So(p.startedJobs("j2", "j3", "j4", "j5"), ShouldResemble, []string{"j2", "j3", "j4", "j5"})
		So(taskOf(p.harness, "j2").RunID, ShouldBeLessThan, taskOf(p.harness, "j3").RunID)
		So(taskOf(p.harness, "j3").RunID, ShouldBeLessThan, taskOf(p.harness, "j4").RunID)
		So(p.core.TasksAwaitingTopUp(), ShouldBeEmpty)
		So(p.core.Counts.StartsRefused, ShouldEqual, 0)
		So(p.st.Accounts.Check(), ShouldBeNil)
	})
	Convey("A new leader starts nothing before the top-up, and all after it", t, func() {
		p := newPaidHarness(0, "m1")
		p.submit("j0", state.StepSpec{})
		p.advance(time.Second)
		p.changeLeader()
		p.advance(time.Second)
		So(p.startedJobs("j0"), ShouldBeEmpty)
		p.changeLeader()
		p.topUp(100)
		p.advance(time.Second)
		So(p.startedJobs("j0"), ShouldResemble, []string{"j0"})
	})
	Convey("The balance is kept for the oldest job: a cheaper, younger one waits behind it", t, func() {
		p := newPaidHarness(150, "m1")
		p.submit("wide", state.StepSpec{Cores: 3})
		p.submit("narrow", state.StepSpec{})
		p.advance(time.Second)
		So(p.startedJobs("wide", "narrow"), ShouldBeEmpty)
		p.topUp(150)
		p.advance(100 * time.Millisecond)
		So(p.startedJobs("wide", "narrow"), ShouldResemble, []string{"wide"})
		p.topUp(100)
		p.advance(100 * time.Millisecond)
		So(p.startedJobs("wide", "narrow"), ShouldResemble, []string{"wide", "narrow"})
	})
}

func TestBudget_longRunningTask(t *testing.T) {
	Convey("A long-running task that ran before restarts, although its party has no balance and others wait", t, func() {
		p := newPaidHarness(100, "m1")
		p.submit("listener", state.StepSpec{LongRunning: true})
		p.advance(200 * time.Millisecond)
		p.submit("older", state.StepSpec{LongRunning: true})
		p.submit("j0", state.StepSpec{})
		p.advance(200 * time.Millisecond)
		So(p.startedJobs("listener", "older", "j0"), ShouldResemble, []string{"listener"})
		first := taskOf(p.harness, "listener").RunID
		p.apply(&command.Plan{Epoch: p.core.Epoch(), Dead: []command.Proof{{RunID: first, Kind: command.ProofLeaseExpired}}})
		p.advance(200 * time.Millisecond)
		So(taskOf(p.harness, "listener").RunID, ShouldBeGreaterThan, first)
		end := command.End{RunID: taskOf(p.harness, "listener").RunID, Reason: "x"}
		p.apply(&command.Plan{Epoch: p.core.Epoch(), Ends: []command.End{end}})
		p.advance(time.Second)
		So(taskOf(p.harness, "listener").RunID, ShouldBeGreaterThan, first+1)
		So(p.startedJobs("older", "j0"), ShouldBeEmpty)
	})
	Convey("A long-running gang, one member of which ran before, stays one gang and waits without commits", t, func() {
		p := newPaidHarness(150, "m1")
		p.submit("gang", state.StepSpec{Tasks: 2, Gang: true, LongRunning: true})
		_, first := p.st.TaskOf(state.TaskRef{Job: "gang"})
		first.RunID = 1 << 40                       // as if it had run before
		p.st.Accounts.Accounts["acme"].Credit = -60 // so that one more start is not covered
		p.advance(time.Second)
		plans := p.core.Counts.Plans
		p.advance(10 * time.Second)
		So(p.core.Counts.Plans, ShouldEqual, plans)
		So(p.core.Counts.StartsRefused, ShouldEqual, 0)
		So(p.st.Handles, ShouldBeEmpty)
		p.st.Accounts.Accounts["acme"].Credit = 0
		p.advance(time.Second)
		So(len(p.st.Handles), ShouldEqual, 2)
	})
}

func TestBudget_tasksAwaitingTopUp(t *testing.T) {
	Convey("Tasks that await a top-up are counted even without workers", t, func() {
		p := newPaidHarness(0)
		p.submit("j0", state.StepSpec{Tasks: 2})
		p.commitPlans()
		So(p.core.TasksAwaitingTopUp(), ShouldResemble, map[string]int{"acme": 2})
	})
	Convey("No worker is reserved for a task that awaits a top-up", t, func() {
		p := newPaidHarness(0, "m1")
		p.submit("wide", state.StepSpec{Cores: 4})
		for i := range 200 {
			p.submitUnpaid(fmt.Sprint("f", i))
			p.advance(50 * time.Millisecond)
			So(p.core.placement.reservation, ShouldBeNil)
			if h := p.st.Handles[p.st.LastRunID]; h != nil {
				p.apply(&command.Plan{Epoch: p.core.Epoch(), Ends: []command.End{{RunID: h.RunID, OK: true}}})
			}
		}
		So(p.now, ShouldBeGreaterThan, time.Minute+DefaultConfig().ReserveAfter)
	})
}
