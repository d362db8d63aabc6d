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
	c := &cluster{table: jobs.NewTable(), core: New(Defaults()), now: time.Minute, wall: time.Unix(1_000_000, 0)}
	must(c.table.Configure(jobs.Configure{Version: 1, Digest: "first", Replace: true,
		Queues: []jobs.Queue{{Name: "q", Host: "h", Prefix: "/p/", Service: "s", MaxAttempts: attempts, Stretch: 2,
			Target: time.Second, Timeout: time.Second}},
		Services: []jobs.Service{{Name: "s"}}}))
	for _, id := range workers {
		must(c.table.Register(jobs.Register{Workers: []jobs.Worker{{ID: id, Address: id + ":1", Service: "s", Zone: "z",
			Capacity: jobs.Resources{MilliCPU: 4000, MemoryMB: 4000}}}}))
	}
	c.table.OnEvent = c.core.TableChanged
	c.core.BecomeLeader(c.now, testTerm, c.table)
	return c
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

func (c *cluster) submit(id string, steps ...jobs.Step) {
	_, err := c.table.Submit(jobs.Submit{Spec: jobs.Spec{ID: id, Queue: "q", Steps: steps}, Digest: id, At: c.wall})
	must(err)
}

// pass advances the clock and runs one pass; what it proposes is committed at once.
func (c *cluster) pass(after time.Duration) Actions {
	c.now += after
	c.wall = c.wall.Add(after)
	actions := c.core.Pass(c.now, c.wall)
	if actions.Progress != nil {
		started, err := c.table.Progress(testTerm, *actions.Progress)
		c.core.Committed(c.now, actions.Progress, started, err)
	}
	return actions
}

// firstStart answers every call of passes as healthy workers do until a start leaves, and returns that start.
func (c *cluster) firstStart() StartAction {
	for range 20 {
		actions := c.pass(time.Millisecond)
		for _, renewal := range actions.Renewals {
			c.core.RenewalAnswered(c.now, renewal.Worker.ID, renewal.Number, RenewalAnswer{Clock: c.now}, RenewalOK)
		}
		if len(actions.Starts) > 0 {
			return actions.Starts[0]
		}
	}
	panic("no start")
}

// startAll starts a job of count tasks on the cluster's workers, which answer all calls well.
func (c *cluster) startAll(count int) {
	c.submit("j1", jobs.Step{Count: count, Needs: jobs.Resources{MilliCPU: 1000}, Estimate: time.Minute})
	for range 20 {
		actions := c.pass(time.Millisecond)
		for _, renewal := range actions.Renewals {
			if renewal.Call.Wait == 0 { // long polls wait for an end, and none comes
				c.core.RenewalAnswered(c.now, renewal.Worker.ID, renewal.Number, RenewalAnswer{Clock: c.now}, RenewalOK)
			}
		}
		for _, start := range actions.Starts {
			c.core.StartAnswered(c.now, start.Worker.ID, start.Order.Key, StartAnswer{Clock: c.now}, StartOK)
		}
	}
}
