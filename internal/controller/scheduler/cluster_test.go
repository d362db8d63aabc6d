package scheduler

import (
	"time"

	"crosstide/internal/jobs"
)

// cluster is a table and a Core that schedules it, whose commits succeed at once.
type cluster struct {
	table *jobs.Table
	core  *Core
	now   time.Duration
	wall  time.Time
}

const testTerm = 7

func newCluster(attempts int, workers ...string) *cluster {
	b := &cluster{table: jobs.NewTable(), core: New(Defaults()), now: time.Minute, wall: time.Unix(1_000_000, 0)}
	must(b.table.Configure(jobs.Configure{Version: 1, Digest: "first", Replace: true,
		Queues: []jobs.Queue{{Name: "q", Host: "h", Prefix: "/p/", Service: "s", MaxAttempts: attempts, Stretch: 2,
			Target: time.Second, Timeout: time.Second}},
		Services: []jobs.Service{{Name: "s"}}}))
	for _, id := range workers {
		must(b.table.Register(jobs.Register{Workers: []jobs.Worker{{ID: id, Address: id + ":1", Service: "s", Zone: "z",
			Capacity: jobs.Resources{MilliCPU: 4000, MemoryMB: 4000}}}}))
	}
	b.table.OnEvent = b.core.TableChanged
	b.core.BecomeLeader(b.now, testTerm, b.table)
	return b
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

func (b *cluster) submit(id string, steps ...jobs.Step) {
	_, err := b.table.Submit(jobs.Submit{Spec: jobs.Spec{ID: id, Queue: "q", Steps: steps}, Digest: id, At: b.wall})
	must(err)
}

// pass advances the clock and runs one pass; what it proposes is committed at once.
func (b *cluster) pass(after time.Duration) Actions {
	b.now += after
	b.wall = b.wall.Add(after)
	actions := b.core.Pass(b.now, b.wall)
	if actions.Progress != nil {
		started, err := b.table.Progress(testTerm, *actions.Progress)
		b.core.Committed(b.now, actions.Progress, started, err)
	}
	return actions
}

// firstStart answers every call of passes as healthy workers do until a start leaves, and returns that start.
func (b *cluster) firstStart() StartAction {
	for range 20 {
		actions := b.pass(time.Millisecond)
		for _, renewal := range actions.Renewals {
			b.core.RenewalAnswered(b.now, renewal.Worker.ID, renewal.Number, RenewalAnswer{Clock: b.now}, RenewalOK)
		}
		if len(actions.Starts) > 0 {
			return actions.Starts[0]
		}
	}
	panic("no start")
}

// startAll starts a job of count tasks on the cluster's workers, which answer all calls well.
func (b *cluster) startAll(count int) {
	b.submit("j1", jobs.Step{Count: count, Needs: jobs.Resources{MilliCPU: 1000}, Estimate: time.Minute})
	for range 20 {
		actions := b.pass(time.Millisecond)
		for _, renewal := range actions.Renewals {
			if renewal.Call.Wait == 0 { // long polls wait for an end, and none comes
				b.core.RenewalAnswered(b.now, renewal.Worker.ID, renewal.Number, RenewalAnswer{Clock: b.now}, RenewalOK)
			}
		}
		for _, start := range actions.Starts {
			b.core.StartAnswered(b.now, start.Worker.ID, start.Order.Key, StartAnswer{Clock: b.now}, StartOK)
		}
	}
}
