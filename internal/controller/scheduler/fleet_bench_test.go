package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"crosstide/internal/jobs"
)

// fleet is a cluster of 350 workers under a load of which a part must wait. Commits and answers take as long as on the
// platform, on a simulated clock.
type fleet struct {
	*cluster
	random    *rand.Rand
	callbacks map[time.Duration][]func()      // by time, truncated to milliseconds
	running   map[string]map[jobs.RunKey]span // by worker
	ended     map[string][]EndedRun           // by worker
	counts    map[string]uint64               // by worker: sequence number of its newest end
	longPolls map[string]*RenewalAction       // by worker: the long poll that it holds open
	passes    int
}

// span is the start and the duration of a run.
type span struct{ from, duration time.Duration }

const (
	fleetWorkers = 350
	commitTime   = 20 * time.Millisecond
	answerTime   = 2 * time.Millisecond
)

func newFleet() *fleet {
	f := &fleet{cluster: newCluster(3), random: rand.New(rand.NewPCG(1, 2)), callbacks: map[time.Duration][]func(){},
		running: map[string]map[jobs.RunKey]span{}, ended: map[string][]EndedRun{}, counts: map[string]uint64{},
		longPolls: map[string]*RenewalAction{}}
	queue := testConfig(1, 3).Queues[0]
	queue.Priority = 0
	must(f.table.Configure(jobs.Configure{Base: 1, Version: 2, Digest: "second", Queues: []jobs.Queue{queue,
		{Name: "slow", Host: "h", Prefix: "/s/", Service: "s", Priority: 2, MaxAttempts: 2, LatencyFactor: 4,
			LatencyTarget: 3 * time.Second, Timeout: time.Second}}}))
	for i := range fleetWorkers {
		id := fmt.Sprintf("w%03d", i)
		rack := fmt.Sprintf("r%d", i/12)
		worker := jobs.Worker{ID: id, Address: id + ":1", Service: "s", Zone: "z", Rack: rack,
			Labels: []string{"a", rack}, Capacity: jobs.Resources{MilliCPU: 16000, MemoryMB: 65536}}
		f.table.Register(jobs.Register{Workers: []jobs.Worker{worker}})
		f.running[id] = map[jobs.RunKey]span{}
	}
	return f
}

// schedule calls callback after a delay, in the step of that millisecond.
func (f *fleet) schedule(delay time.Duration, callback func()) {
	at := (f.now + delay).Truncate(time.Millisecond)
	f.callbacks[at] = append(f.callbacks[at], callback)
}

// submitSteps submits a job under a random ID.
func (f *fleet) submitSteps(queue string, steps ...jobs.Step) {
	id := fmt.Sprintf("%016x", f.random.Uint64())
	_, err := f.table.Submit(jobs.Submit{Spec: jobs.Spec{ID: id, Queue: queue, Steps: steps}, Digest: id, At: f.wall()})
	must(err)
}

// taskCount returns a random number of tasks, at least 1 and exponentially distributed.
func (f *fleet) taskCount(mean float64) int { return 1 + int(f.random.ExpFloat64()*mean) }

// step advances the clock by a millisecond, carries out the callbacks that are due, submits random jobs in proportion to
// load, and runs a pass.
func (f *fleet) step(load float64) {
	f.now += time.Millisecond
	for _, callback := range f.callbacks[f.now.Truncate(time.Millisecond)] {
		callback()
	}
	delete(f.callbacks, f.now.Truncate(time.Millisecond))
	if f.random.Float64() < 0.035*load {
		rack := fmt.Sprintf("r%d", f.random.IntN(fleetWorkers/12))
		step := jobs.Step{Needs: jobs.Resources{MilliCPU: 1900, MemoryMB: 3800}, Estimate: 800 * time.Millisecond}
		first, second := step, step
		first.Count, first.PreferredRack = f.taskCount(9), rack
		second.Count, second.After = f.taskCount(9), []int{0}
		f.submitSteps("q", first, second)
	}
	if f.random.Float64() < 0.0016*load {
		step := jobs.Step{Needs: jobs.Resources{MilliCPU: 4100, MemoryMB: 15000}, Estimate: 4800 * time.Millisecond}
		first, second := step, step
		first.Count, first.Checkpoints = f.taskCount(39), true
		second.Count, second.After = f.taskCount(39), []int{0}
		f.submitSteps("slow", first, second)
	}
	f.carryOut(f.core.Pass(f.now, f.wall()))
	f.passes++
}

// carryOut schedules the commit and the answers of a pass.
func (f *fleet) carryOut(actions Actions) {
	if p := actions.Progress; p != nil {
		f.schedule(commitTime, func() {
			started, err := f.table.Progress(testTerm, *p)
			f.core.Committed(f.now, p, started, err)
		})
	}
	for _, s := range actions.Starts {
		f.schedule(answerTime, func() { f.start(s) })
	}
	for _, s := range actions.Stops {
		f.schedule(answerTime, func() {
			f.end(s.Worker.ID, s.Order.Key, jobs.EndStopped)
			f.core.StopAnswered(f.now, s.Worker.ID, s.Order.Key, StopOK)
		})
	}
	for _, renewal := range actions.Renewals {
		f.schedule(answerTime, func() { f.renew(renewal) })
	}
}

// start accepts a start order, and ends the run after a random duration of 0.7 to 1.3 times its estimate.
func (f *fleet) start(s StartAction) {
	key := s.Order.Key
	f.core.StartAnswered(f.now, s.Worker.ID, key, StartAnswer{Clock: f.now}, StartOK)
	j := f.table.Jobs[key.Task.Job]
	if j == nil || key.Task.Step >= len(j.Spec.Steps) {
		return
	}
	duration := time.Duration(float64(j.Spec.Steps[key.Task.Step].Estimate) * (0.7 + 0.6*f.random.Float64()))
	f.running[s.Worker.ID][key] = span{from: f.now, duration: duration}
	f.schedule(duration, func() { f.end(s.Worker.ID, key, jobs.EndDone) })
}

// end ends a run on a worker, if the worker runs it, and answers the long poll that the worker holds open.
func (f *fleet) end(id string, key jobs.RunKey, reason jobs.EndReason) {
	if _, isRunning := f.running[id][key]; !isRunning {
		return
	}
	delete(f.running[id], key)
	f.counts[id]++
	f.ended[id] = append(f.ended[id], EndedRun{Sequence: f.counts[id], Key: key, Reason: reason})
	if renewal := f.longPolls[id]; renewal != nil {
		f.longPolls[id] = nil
		f.answerRenewal(*renewal)
	}
}

// renew drops the acknowledged ends of a worker and answers its renewal: at once if it is a probe or there are ends to
// list, otherwise when a run ends or the Wait is over.
func (f *fleet) renew(renewal RenewalAction) {
	id := renewal.Worker.ID
	for len(f.ended[id]) > 0 && f.ended[id][0].Sequence <= renewal.Call.AcknowledgedUpTo {
		f.ended[id] = f.ended[id][1:]
	}
	if renewal.Call.Wait == 0 || len(f.ended[id]) > 0 {
		f.answerRenewal(renewal)
		return
	}
	f.longPolls[id] = &renewal
	f.schedule(renewal.Call.Wait, func() {
		if f.longPolls[id] == &renewal {
			f.longPolls[id] = nil
			f.answerRenewal(renewal)
		}
	})
}

func (f *fleet) answerRenewal(renewal RenewalAction) {
	answer := RenewalAnswer{Clock: f.now, Ended: f.ended[renewal.Worker.ID]}
	for key, span := range f.running[renewal.Worker.ID] {
		answer.Running = append(answer.Running, ListedRun{Key: key, Percent: int(100 * (f.now - span.from) / span.duration)})
	}
	f.core.RenewalAnswered(f.now, renewal.Worker.ID, renewal.Number, answer, RenewalOK)
}

// BenchmarkPassesOfLoadedFleet measures one second of scheduling for 350 workers, after ten seconds of the same load.
// Load 1 is about the capacity of the workers, load 3 is that of a burst of submissions.
func BenchmarkPassesOfLoadedFleet(b *testing.B) {
	for _, load := range []float64{1, 3} {
		b.Run(fmt.Sprintf("load=%v", load), func(b *testing.B) {
			f := newFleet()
			for range 10000 {
				f.step(load)
			}
			done := f.core.Counts.Done
			b.ResetTimer()
			for range b.N {
				for range 1000 {
					f.step(load)
				}
			}
			b.ReportMetric(float64(f.core.Counts.Done-done)/float64(b.N), "done/op")
		})
	}
}
