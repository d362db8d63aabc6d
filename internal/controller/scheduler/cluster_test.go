package scheduler

import (
	"fmt"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

// cluster is a leading Core, the table that it schedules and a simulated clock. The proposals of the Core are committed
// at once; the test answers its calls.
type cluster struct {
	core  *Core
	table *jobs.Table
	now   time.Duration

	starts   []StartAction   // sent by the passes of the newest runPasses
	stops    []StopAction    // sent by the passes of the newest runPasses
	renewals []RenewalAction // in flight, oldest first
}

const testTerm = 7

// newCluster returns a cluster with workers that have not answered yet. attempts is the limit of queue q.
func newCluster(attempts int, workers ...string) *cluster {
	c := &cluster{core: New(Defaults()), table: jobs.NewTable(), now: time.Minute}
	must(c.table.UpgradeSchema(jobs.UpgradeSchema{Schema: jobs.NewestSchema}))
	must(c.table.Configure(testConfig(1, attempts)))
	for _, id := range workers {
		c.table.Register(jobs.Register{Workers: []jobs.Worker{testWorker(id)}})
	}
	c.table.OnEvent = c.core.TableChanged
	c.core.BecomeLeader(c.now, testTerm, c.table)
	return c
}

// newReadyCluster returns a cluster of one worker, w, that has answered its first probe.
func newReadyCluster() *cluster {
	c := newCluster(3, "w")
	So(c.table.Config.Version, ShouldEqual, 1)
	So(c.table.Workers, ShouldHaveLength, 1)
	c.runPasses()
	c.answer(RenewalAnswer{})
	return c
}

// testConfig returns a configuration with a queue q and a more urgent one.
func testConfig(version uint64, attempts int) jobs.Configure {
	queue := jobs.Queue{Name: "q", Host: "h", Prefix: "/p/", Service: "s", Priority: 1, MaxAttempts: attempts,
		LatencyFactor: 2, LatencyTarget: time.Second, Timeout: time.Second}
	urgent := queue
	urgent.Name, urgent.Prefix, urgent.Priority = "urgent", "/urgent/", 0
	return jobs.Configure{Base: version - 1, Version: version, Digest: fmt.Sprint(version), Replace: true,
		Services: []jobs.Service{{Name: "s"}}, Queues: []jobs.Queue{queue, urgent}}
}

// testWorker returns a worker of 4 cores.
func testWorker(id string) jobs.Worker {
	return jobs.Worker{ID: id, Address: id + ":1", Service: "s", Zone: "z",
		Capacity: jobs.Resources{MilliCPU: 4000, MemoryMB: 4000}}
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// wall returns the time of day.
func (c *cluster) wall() time.Time { return time.Unix(1_000_000, 0).Add(c.now) }

// workerClock returns the clock of the workers.
func (c *cluster) workerClock() time.Duration { return time.Minute + c.now }

// register adds a worker to the table or updates it.
func (c *cluster) register(worker jobs.Worker) {
	c.table.Register(jobs.Register{Workers: []jobs.Worker{worker}})
}

// addWorkers registers more workers, which answer their first probe.
func (c *cluster) addWorkers(ids ...string) {
	for _, id := range ids {
		c.register(testWorker(id))
	}
	c.runPasses()
	c.answerAll(nil)
	c.runPasses()
}

// deregister records that worker w has deregistered.
func (c *cluster) deregister() {
	worker := *c.table.Workers["w"]
	worker.Left = true
	c.register(worker)
}

// submit submits a job to queue q.
func (c *cluster) submit(id string, steps ...jobs.Step) { c.submitTo("q", id, steps...) }

// submitTo submits a job to a queue.
func (c *cluster) submitTo(queue, id string, steps ...jobs.Step) {
	spec := jobs.Spec{ID: id, Queue: queue, Steps: steps}
	_, err := c.table.Submit(jobs.Submit{Spec: spec, Digest: id, At: c.wall()})
	So(err, ShouldBeNil)
}

// passAfter advances the clock and runs one pass.
func (c *cluster) passAfter(d time.Duration) Actions {
	c.now += d
	actions := c.core.Pass(c.now, c.wall())
	if actions.Progress != nil {
		started, err := c.table.Progress(testTerm, *actions.Progress)
		c.core.Committed(c.now, actions.Progress, started, err)
	}
	return actions
}

// runPasses runs passes until nothing is left to commit, and collects the calls of all these passes.
func (c *cluster) runPasses() {
	c.starts, c.stops = nil, nil
	for {
		actions := c.passAfter(10 * time.Millisecond)
		c.starts = append(c.starts, actions.Starts...)
		c.stops = append(c.stops, actions.Stops...)
		c.renewals = append(c.renewals, actions.Renewals...)
		if actions.Progress == nil {
			return
		}
	}
}

// answer answers the newest renewal in flight for worker w; the earlier ones stay unanswered.
func (c *cluster) answer(answer RenewalAnswer) {
	So(c.renewals, ShouldNotBeEmpty)
	answer.Clock = c.workerClock()
	c.core.RenewalAnswered(c.now, "w", c.renewals[len(c.renewals)-1].Number, answer, RenewalOK)
	c.renewals = nil
}

// answerAll answers all renewals in flight. percent maps worker IDs to the progress of the runs on that worker.
func (c *cluster) answerAll(percent map[string]int) {
	renewals := c.renewals
	c.renewals = nil
	for _, renewal := range renewals {
		answer := RenewalAnswer{Clock: c.workerClock()}
		for _, key := range c.table.RunsOn(renewal.Worker.ID) {
			answer.Running = append(answer.Running, ListedRun{Key: key, Percent: percent[renewal.Worker.ID]})
		}
		c.core.RenewalAnswered(c.now, renewal.Worker.ID, renewal.Number, answer, RenewalOK)
	}
}

// answerRenewalsOf answers the renewals in flight of one worker with empty lists, and returns how many there were.
func (c *cluster) answerRenewalsOf(worker string) int {
	answered := 0
	for _, renewal := range c.renewals {
		if renewal.Worker.ID == worker {
			answered++
			c.core.RenewalAnswered(c.now, worker, renewal.Number, RenewalAnswer{Clock: c.workerClock()}, RenewalOK)
		}
	}
	return answered
}

// endAs answers the newest renewal with the end of a run.
func (c *cluster) endAs(key jobs.RunKey, reason jobs.EndReason) {
	c.answer(RenewalAnswer{Ended: []EndedRun{{Sequence: 1, Key: key, Reason: reason}}})
}

// endRuns answers all renewals in flight with the successful end of every run, except those of one worker.
func (c *cluster) endRuns(exceptWorker string) {
	renewals := c.renewals
	c.renewals = nil
	for _, renewal := range renewals {
		if renewal.Worker.ID == exceptWorker {
			c.renewals = append(c.renewals, renewal)
			continue
		}
		answer := RenewalAnswer{Clock: c.workerClock()}
		for i, key := range c.table.RunsOn(renewal.Worker.ID) {
			answer.Ended = append(answer.Ended, EndedRun{Sequence: uint64(i + 1), Key: key, Reason: jobs.EndDone})
		}
		c.core.RenewalAnswered(c.now, renewal.Worker.ID, renewal.Number, answer, RenewalOK)
	}
}

// failRenewals runs passes every 200 ms for a period in which all renewals fail. heartbeats is whether the worker sends
// heartbeats during that time.
func (c *cluster) failRenewals(period time.Duration, heartbeats bool) {
	for end := c.now + period; c.now < end; c.now += 200 * time.Millisecond {
		for _, renewal := range c.renewals {
			c.core.RenewalAnswered(c.now, "w", renewal.Number, RenewalAnswer{}, RenewalFailed)
		}
		c.renewals = nil
		if heartbeats {
			c.core.Heartbeat(c.now, "w", c.workerClock())
		}
		c.runPasses()
	}
}

// accept makes the workers accept all start orders of the newest passes.
func (c *cluster) accept() {
	for _, start := range c.starts {
		c.core.StartAnswered(c.now, start.Worker.ID, start.Order.Key, StartAnswer{Clock: c.workerClock()}, StartOK)
	}
}

// loseStarts reports that the start orders of the newest passes to the given workers got no answer.
func (c *cluster) loseStarts(workers ...string) {
	for _, start := range c.starts {
		for _, id := range workers {
			if start.Worker.ID == id {
				c.core.StartAnswered(c.now, id, start.Order.Key, StartAnswer{}, StartUnconfirmed)
			}
		}
	}
}

// startedOn counts the starts of the newest passes by worker.
func (c *cluster) startedOn() map[string]int {
	starts := map[string]int{}
	for _, start := range c.starts {
		starts[start.Worker.ID]++
	}
	return starts
}

// stopOutcome returns the outcome of a stop order that was or wasn't answered.
func stopOutcome(answered bool) StopOutcome {
	if answered {
		return StopOK
	}
	return StopFailed
}

// runningTask starts a job j of one task that needs two cores. Worker w has listed the run with the checkpoint, and the
// run was started a second ago.
func (c *cluster) runningTask(step jobs.Step, checkpoint string) jobs.RunKey {
	step.Count, step.Needs = 1, jobs.Resources{MilliCPU: 2000}
	c.submit("j", step)
	c.runPasses()
	So(c.starts, ShouldHaveLength, 1)
	c.accept()
	key := c.starts[0].Order.Key
	c.runPasses()
	c.answer(RenewalAnswer{Running: []ListedRun{{Key: key, Checkpoint: checkpoint, Percent: 1}}})
	c.runPasses()
	c.core.runs[key].start.sentAt = c.now - time.Second
	return key
}

// firstStart runs passes and answers their renewals until a start is sent, and returns that start.
func (c *cluster) firstStart() StartAction {
	for range 20 {
		actions := c.passAfter(time.Millisecond)
		for _, renewal := range actions.Renewals {
			answer := RenewalAnswer{Clock: c.workerClock()}
			c.core.RenewalAnswered(c.now, renewal.Worker.ID, renewal.Number, answer, RenewalOK)
		}
		if len(actions.Starts) > 0 {
			return actions.Starts[0]
		}
	}
	panic("no start was sent")
}

// startAll starts job j1 of count tasks on the cluster's workers, which accept all start orders.
func (c *cluster) startAll(count int) {
	c.submit("j1", jobs.Step{Count: count, Needs: jobs.Resources{MilliCPU: 1000}, Estimate: time.Minute})
	for range 20 {
		actions := c.passAfter(time.Millisecond)
		for _, renewal := range actions.Renewals {
			if renewal.Call.Wait == 0 { // long polls stay open, as no run ends
				answer := RenewalAnswer{Clock: c.workerClock()}
				c.core.RenewalAnswered(c.now, renewal.Worker.ID, renewal.Number, answer, RenewalOK)
			}
		}
		for _, start := range actions.Starts {
			answer := StartAnswer{Clock: c.workerClock()}
			c.core.StartAnswered(c.now, start.Worker.ID, start.Order.Key, answer, StartOK)
		}
	}
}
