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

// paid is a harness with a party that pays for team "a": a core costs 10 units a second, and a start of one core
// reserves 100.
type paid struct {
	*harness
	topUps int
}

func newPaid(units int64, workers ...string) *paid {
	p := &paid{harness: newHarness("check", workers...)}
	acme := state.Party{Teams: []string{"a"}, Price: account.Price{Core: 10}, Reserve: 10 * time.Second}
	p.st.Bundle.SetParties(map[string]state.Party{"acme": acme})
	p.do(&command.AccountCreate{Order: "open", Account: "acme"})
	if units > 0 {
		p.topUp(units)
	}
	p.greetWorkers("check")
	return p
}

func (p *paid) topUp(units int64) {
	p.topUps++
	p.do(&command.AccountTopUp{Account: "acme", Key: fmt.Sprint("k", p.topUps), Amount: units})
}

// free submits a job of a team that no party pays for.
func (p *paid) free(key string) {
	p.do(&command.Submit{Spec: state.Spec{Key: key, Team: "free", Queue: "default",
		Steps: []state.StepSpec{{Name: "s", Type: "t", Tasks: 1, Cores: 1}}}, Digest: key, Bound: 100})
}

// serve lets time pass in steps, in which workers carry out orders and answer calls.
func (p *paid) serve(length time.Duration) {
	for end := p.now + length; p.now < end; {
		p.now += 50 * time.Millisecond
		for _, call := range p.commitPlans() {
			if call.IsOrder {
				p.answer(call, "check", p.list(call.Worker))
			}
		}
		for name, call := range p.wait {
			delete(p.wait, name)
			p.answer(call, "check", p.list(name))
		}
	}
}

// list returns the answer of a worker, with all runs that the store has on it.
func (p *paid) list(name string) (a internalapi.LeaseAnswer) {
	a.Running = p.st.RunIDsOn(name)
	a.Floor = p.st.LastRunID
	return a
}

// started returns those of the keys whose first task has a run ID.
func (p *paid) started(keys ...string) (withRunID []string) {
	for _, key := range keys {
		if taskOf(p.harness, key).RunID > 0 {
			withRunID = append(withRunID, key)
		}
	}
	return withRunID
}

func TestBudget_partyAwaitingTopUp(t *testing.T) {
	Convey("An exhausted party waits without commits, others go on, and a top-up is used in order", t, func() {
		p := newPaid(200, "m1", "m2")
		for i := range 6 {
			p.submit(fmt.Sprint("j", i), state.StepSpec{})
		}
		p.free("f1")
		p.serve(time.Second)
		So(p.started("j0", "j1", "j2", "j3", "j4", "j5", "f1"), ShouldResemble, []string{"j0", "j1", "f1"})
		So(p.core.TasksAwaitingTopUp(), ShouldResemble, map[string]int{"acme": 4})
		plans, index := p.core.Counts.Plans, p.st.Index
		p.serve(20 * time.Second)
		So(p.core.Counts.Plans, ShouldEqual, plans)
		So(p.st.Index, ShouldEqual, index)
		So(p.core.Counts.Refused, ShouldEqual, 0)
		p.free("f2")
		p.serve(100 * time.Millisecond)
		So(p.started("f2"), ShouldResemble, []string{"f2"})
		p.topUp(1000)
		p.commitPlans()
		So(p.started("j2", "j3", "j4", "j5"), ShouldResemble, []string{"j2", "j3", "j4", "j5"})
		So(taskOf(p.harness, "j2").RunID, ShouldBeLessThan, taskOf(p.harness, "j3").RunID)
		So(taskOf(p.harness, "j3").RunID, ShouldBeLessThan, taskOf(p.harness, "j4").RunID)
		So(p.core.TasksAwaitingTopUp(), ShouldBeEmpty)
		So(p.core.Counts.Refused, ShouldEqual, 0)
		So(p.st.Accounts.Check(), ShouldBeNil)
	})
	Convey("A new leader starts nothing before the top-up, and all after it", t, func() {
		p := newPaid(0, "m1")
		p.submit("j0", state.StepSpec{})
		p.serve(time.Second)
		p.lead()
		p.serve(time.Second)
		So(p.started("j0"), ShouldBeEmpty)
		p.lead()
		p.topUp(100)
		p.serve(time.Second)
		So(p.started("j0"), ShouldResemble, []string{"j0"})
	})
	Convey("The balance is kept for the oldest job: a cheaper, younger one waits behind it", t, func() {
		p := newPaid(150, "m1")
		p.submit("wide", state.StepSpec{Cores: 3})
		p.submit("narrow", state.StepSpec{})
		p.serve(time.Second)
		So(p.started("wide", "narrow"), ShouldBeEmpty)
		p.topUp(150)
		p.serve(100 * time.Millisecond)
		So(p.started("wide", "narrow"), ShouldResemble, []string{"wide"})
		p.topUp(100)
		p.serve(100 * time.Millisecond)
		So(p.started("wide", "narrow"), ShouldResemble, []string{"wide", "narrow"})
	})
}

func TestBudget_longRunningTask(t *testing.T) {
	Convey("A long-running task that ran before restarts, though its party is exhausted and an older waits", t, func() {
		p := newPaid(100, "m1")
		p.submit("listener", state.StepSpec{LongRunning: true})
		p.serve(200 * time.Millisecond)
		p.submit("older", state.StepSpec{LongRunning: true})
		p.submit("j0", state.StepSpec{})
		p.serve(200 * time.Millisecond)
		So(p.started("listener", "older", "j0"), ShouldResemble, []string{"listener"})
		first := taskOf(p.harness, "listener").RunID
		p.do(&command.Plan{Epoch: p.core.Epoch(), Dead: []command.Proof{{RunID: first, Kind: command.ProofLeaseExpired}}})
		p.serve(200 * time.Millisecond)
		So(taskOf(p.harness, "listener").RunID, ShouldBeGreaterThan, first)
		end := command.End{RunID: taskOf(p.harness, "listener").RunID, Reason: "x"}
		p.do(&command.Plan{Epoch: p.core.Epoch(), Ends: []command.End{end}})
		p.serve(time.Second)
		So(taskOf(p.harness, "listener").RunID, ShouldBeGreaterThan, first+1)
		So(p.started("older", "j0"), ShouldBeEmpty)
	})
	Convey("A long-running gang of which one member ran before stays one gang, and waits without commits", t, func() {
		p := newPaid(150, "m1")
		p.submit("gang", state.StepSpec{Tasks: 2, Gang: true, LongRunning: true})
		_, first := p.st.TaskOf(state.TaskRef{Job: "gang"})
		first.RunID = 1 << 40                       // as if it ran before
		p.st.Accounts.Accounts["acme"].Credit = -60 // so that one more start is not covered
		p.serve(time.Second)
		plans := p.core.Counts.Plans
		p.serve(10 * time.Second)
		So(p.core.Counts.Plans, ShouldEqual, plans)
		So(p.core.Counts.Refused, ShouldEqual, 0)
		So(p.st.Handles, ShouldBeEmpty)
		p.st.Accounts.Accounts["acme"].Credit = 0
		p.serve(time.Second)
		So(len(p.st.Handles), ShouldEqual, 2)
	})
}

func TestBudget_tasksAwaitingTopUp(t *testing.T) {
	Convey("Tasks that await a top-up are counted also if there is no worker", t, func() {
		p := newPaid(0)
		p.submit("j0", state.StepSpec{Tasks: 2})
		p.commitPlans()
		So(p.core.TasksAwaitingTopUp(), ShouldResemble, map[string]int{"acme": 2})
	})
	Convey("No worker is reserved for a task that awaits a top-up", t, func() {
		p := newPaid(0, "m1")
		p.submit("wide", state.StepSpec{Cores: 4})
		for i := range 200 {
			p.free(fmt.Sprint("f", i))
			p.serve(50 * time.Millisecond)
			So(p.core.placement.reservation, ShouldBeNil)
			if h := p.st.Handles[p.st.LastRunID]; h != nil {
				p.do(&command.Plan{Epoch: p.core.Epoch(), Ends: []command.End{{RunID: h.RunID, OK: true}}})
			}
		}
		So(p.now, ShouldBeGreaterThan, time.Minute+DefaultConfig().ReserveAfter)
	})
}
