package scheduler

import (
	"fmt"
	"testing"
	"time"

	"crosstide/internal/jobs"
)

// fleetWorkers is the number of workers of the loaded fleet.
const fleetWorkers = 350

// newLoadedFleet returns a fleet under a load of which a part must wait.
func newLoadedFleet() *fleet {
	var workers []jobs.Worker
	for i := range fleetWorkers {
		id := fmt.Sprintf("w%03d", i)
		rack := fmt.Sprintf("r%d", i/12)
		workers = append(workers, jobs.Worker{ID: id, Address: id + ":1", Service: "s", Zone: "z", Rack: rack,
			Labels: []string{"a", rack}, Capacity: jobs.Resources{MilliCPU: 16000, MemoryMB: 65536}})
	}
	f := newFleet(workers...)
	queue := testConfig(1, 3).Queues[0]
	queue.Priority = 0
	must(f.table.Configure(jobs.Configure{Base: 1, Version: 2, Digest: "second", Queues: []jobs.Queue{queue,
		{Name: "slow", Host: "h", Prefix: "/s/", Service: "s", Priority: 2, MaxAttempts: 2, LatencyFactor: 4,
			LatencyTarget: 3 * time.Second, Timeout: time.Second}}}))
	return f
}

// submitSteps submits a job under a random ID.
func (f *fleet) submitSteps(queue string, steps ...jobs.Step) {
	id := fmt.Sprintf("%016x", f.random.Uint64())
	_, err := f.table.Submit(jobs.Submit{Spec: jobs.Spec{ID: id, Queue: queue, Steps: steps}, Digest: id, At: f.wall()})
	must(err)
}

// taskCount returns a random number of tasks, at least 1 and exponentially distributed.
func (f *fleet) taskCount(mean float64) int { return 1 + int(f.random.ExpFloat64()*mean) }

// step submits random jobs in proportion to load and advances the clock by a millisecond.
func (f *fleet) step(load float64) {
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
	f.advance()
}

// BenchmarkPassesOfLoadedFleet measures one second of scheduling for 350 workers, after ten seconds of the same load.
// Load 1 is about the capacity of the workers, load 3 is that of a burst of submissions.
func BenchmarkPassesOfLoadedFleet(b *testing.B) {
	for _, load := range []float64{1, 3} {
		b.Run(fmt.Sprintf("load=%v", load), func(b *testing.B) {
			f := newLoadedFleet()
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
