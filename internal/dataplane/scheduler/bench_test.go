package scheduler

import (
	"fmt"
	"testing"
	"time"

	"crosstide/internal/internalapi"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

// newFullCluster is a scheduler of a cluster on which runs are running: every worker was heard once, and one core of each
// is free. Tasks of classes wait that need two.
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
	cores := runs/workers + 1 // one core is left free on each
	for i := range workers {
		apply(&command.Announce{Worker: state.Worker{Name: fmt.Sprintf("m%04d", i), Addr: "h:1", Kind: "check", Zone: "z1", Cores: cores}})
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
		m := *st.Workers[name]
		m.Incarnation = "b"
		plan.Workers = append(plan.Workers, m)
	}
	apply(plan)
	epoch := plan.Epoch
	give := &command.Plan{Epoch: epoch, BundleVersion: st.Bundle.Version}
	for i := range runs {
		give.Starts = append(give.Starts, command.Start{Ref: state.TaskRef{Job: "fill", Task: i}, Worker: fmt.Sprintf("m%04d", i%workers), Incarnation: "b"})
	}
	apply(give)
	ran := &command.Plan{Epoch: epoch, BundleVersion: st.Bundle.Version}
	for i := range runs {
		ran.Running = append(ran.Running, uint64(i+1))
	}
	apply(ran)
	c := New(DefaultConfig(), st)
	st.OnEvent = c.StateChanged
	now := time.Second
	c.BecomeLeader(now, epoch)
	c.SetRoleLease(time.Hour)
	out := c.Pass(now)
	refusePlan(c, now, out.Plan)
	for _, o := range out.Calls {
		answer(c, st, now, o)
	}
	return c, st, now
}

// commitPlans answers a plan as refused whole.
func refusePlan(c *Core, now time.Duration, p *command.Plan) {
	if p != nil {
		c.PlanAnswered(now, p.Epoch, command.Planned{RunIDs: make([]uint64, len(p.Starts))}, nil)
	}
}

func answer(c *Core, st *state.State, now time.Duration, o OutgoingCall) {
	m := st.Workers[o.Worker]
	a := internalapi.LeaseAnswer{Call: o.Call.Call, Epoch: o.Call.Epoch, Incarnation: "b", Kind: m.Kind, Zone: m.Zone, Cores: m.Cores, Clock: now, Floor: o.Call.Floor}
	a.Running = st.RunIDsOn(m.Name)
	c.CallAnswered(now, o, a)
}

// BenchmarkPass is one answer and the pass after it, at 1,600 workers with 28,800 runs: what the scheduler does
// some two thousand times a second. With classes it has that many kinds of due tasks which fit nowhere, while a core
// is free on every worker.
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
				o := calls[0]
				answer(c, st, now, o)
				now += 600 * time.Microsecond
				out := c.Pass(now)
				calls = append(calls[1:], out.Calls...)
				refusePlan(c, now, out.Plan)
			}
		})
	}
}
