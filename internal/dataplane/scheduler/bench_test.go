package scheduler

import (
	"fmt"
	"testing"
	"time"

	"crosstide/internal/internalapi"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

// newFullCluster returns a scheduler for a cluster with the given number of running runs, its state and the time.
// Every worker has answered once and has one free core. Each of the classes has due tasks that need two cores.
func newFullCluster(b testing.TB, workers, runs, classes int) (*Core, *state.State, time.Duration) {
	b.Helper()
	st := state.New()
	index := uint64(0)
	apply := func(c command.Command) {
		index++
		data, err := command.Encode(time.Unix(0, 0), c)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := command.Apply(st, index, 1, data); err != nil {
			b.Fatal(err)
		}
	}
	cores := runs/workers + 1 // one core stays free on each
	for i := range workers {
		apply(&command.Announce{Worker: state.Worker{Name: fmt.Sprintf("m%04d", i), Addr: "h:1", Kind: "check",
			Zone: "z1", Cores: cores}})
	}
	for i := range classes {
		apply(&command.Submit{Bound: 1 << 20, Spec: state.Spec{Key: fmt.Sprintf("big-%d", i), Queue: "default", Team: "t",
			Steps: []state.StepSpec{{Name: "s", Type: fmt.Sprintf("big%d", i), Tasks: 10, Cores: 2}}}})
	}
	if runs > 0 {
		apply(&command.Submit{Bound: 1 << 20, Spec: state.Spec{Key: "fill", Queue: "default", Team: "t",
			Steps: []state.StepSpec{{Name: "s", Type: "fill", Tasks: runs, Cores: 1}}}})
	}
	apply(&command.GrantRole{Role: "sched", Holder: "d"})
	plan := &command.Plan{Epoch: index, BundleVersion: st.Bundle.Version, Seq: st.Seq}
	for _, name := range st.WorkerNames() {
		worker := *st.Workers[name]
		worker.Incarnation = "b"
		plan.Workers = append(plan.Workers, worker)
	}
	apply(plan)
	epoch := plan.Epoch
	starts := &command.Plan{Epoch: epoch, BundleVersion: st.Bundle.Version}
	for i := range runs {
		starts.Starts = append(starts.Starts, command.Start{Ref: state.TaskRef{Job: "fill", Task: i},
			Worker: fmt.Sprintf("m%04d", i%workers), Incarnation: "b"})
	}
	apply(starts)
	running := &command.Plan{Epoch: epoch, BundleVersion: st.Bundle.Version}
	for i := range runs {
		running.Running = append(running.Running, uint64(i+1))
	}
	apply(running)
	c := New(DefaultConfig(), st)
	st.OnEvent = c.StateChanged
	now := time.Second
	c.BecomeLeader(now, epoch)
	c.SetRoleLease(time.Hour)
	actions := c.Pass(now)
	refusePlan(c, now, actions.Plan)
	for _, call := range actions.Calls {
		answer(c, st, now, call)
	}
	return c, st, now
}

// refusePlan answers a plan with a refusal of all its starts. A nil plan is ignored.
func refusePlan(c *Core, now time.Duration, p *command.Plan) {
	if p != nil {
		c.PlanAnswered(now, p.Epoch, command.Planned{RunIDs: make([]uint64, len(p.Starts))}, nil)
	}
}

// answer answers a call as a worker whose attributes and runs agree with the store.
func answer(c *Core, st *state.State, now time.Duration, call OutgoingCall) {
	worker := st.Workers[call.Worker]
	c.CallAnswered(now, call, internalapi.LeaseAnswer{Call: call.Call.Call, Epoch: call.Call.Epoch, Incarnation: "b",
		Kind: worker.Kind, Zone: worker.Zone, Cores: worker.Cores, Clock: now, Floor: call.Call.Floor,
		Running: st.RunIDsOn(worker.Name)})
}

// BenchmarkPass measures the handling of one answer and the pass after it, with 1,600 workers and 28,800 runs. The
// scheduler does this some two thousand times a second. With stuck=N there are N classes of due tasks that fit on no
// worker, although every worker has a free core.
func BenchmarkPass(b *testing.B) {
	for _, classes := range []int{0, 20, 200} {
		b.Run(fmt.Sprintf("stuck=%d", classes), func(b *testing.B) {
			c, st, now := newFullCluster(b, 1600, 28800, classes)
			now += 10 * time.Millisecond
			first := c.Pass(now)
			refusePlan(c, now, first.Plan)
			calls := first.Calls
			for b.Loop() {
				if len(calls) == 0 {
					b.Fatal("no calls left")
				}
				call := calls[0]
				answer(c, st, now, call)
				now += 600 * time.Microsecond
				actions := c.Pass(now)
				calls = append(calls[1:], actions.Calls...)
				refusePlan(c, now, actions.Plan)
			}
		})
	}
}
