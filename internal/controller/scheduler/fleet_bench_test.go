package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"crosstide/internal/jobs"
)

// fleet is a cluster of 350 workers under a load of which a part must wait. Commits and answers take the time that they
// take on the platform, on a simulated clock.
type fleet struct {
	*cluster
	random    *rand.Rand
	later     map[time.Duration][]func() // by time in milliseconds
	running   map[string]map[jobs.RunKey]span
	ended     map[string][]EndedRun
	counts    map[string]uint64
	longPolls map[string]*RenewalAction
	passes    int
}

// span is when a run began and how long it takes.
type span struct{ from, duration time.Duration }

const (
	fleetWorkers = 350
	commitTime   = 20 * time.Millisecond
	answerTime   = 2 * time.Millisecond
)

func newFleet() *fleet {
	w := &fleet{cluster: newCluster(3), random: rand.New(rand.NewPCG(1, 2)), later: map[time.Duration][]func(){},
		running: map[string]map[jobs.RunKey]span{}, ended: map[string][]EndedRun{}, counts: map[string]uint64{},
		longPolls: map[string]*RenewalAction{}}
	queue := testConfig(1, 3).Queues[0]
	queue.Priority = 0
	must(w.table.Configure(jobs.Configure{Base: 1, Version: 2, Digest: "second", Queues: []jobs.Queue{queue,
		{Name: "slow", Host: "h", Prefix: "/s/", Service: "s", Priority: 2, MaxAttempts: 2, Stretch: 4,
			Target: 3 * time.Second, Timeout: time.Second}}}))
	for i := range fleetWorkers {
		id := fmt.Sprintf("w%03d", i)
		rack := fmt.Sprintf("r%d", i/12)
		worker := jobs.Worker{ID: id, Address: id + ":1", Service: "s", Zone: "z", Rack: rack,
			Labels: []string{"a", rack}, Capacity: jobs.Resources{MilliCPU: 16000, MemoryMB: 65536}}
		w.table.Register(jobs.Register{Workers: []jobs.Worker{worker}})
		w.running[id] = map[jobs.RunKey]span{}
	}
	return w
}

func (w *fleet) after(d time.Duration, do func()) {
	at := (w.now + d).Truncate(time.Millisecond)
	w.later[at] = append(w.later[at], do)
}

func (w *fleet) arrive(queue string, steps ...jobs.Step) {
	id := fmt.Sprintf("%016x", w.random.Uint64())
	_, err := w.table.Submit(jobs.Submit{Spec: jobs.Spec{ID: id, Queue: queue, Steps: steps}, Digest: id, At: w.wall()})
	must(err)
}

func (w *fleet) width(mean float64) int { return 1 + int(w.random.ExpFloat64()*mean) }

// step advances the clock by a millisecond and runs a pass.
func (w *fleet) step(load float64) {
	w.now += time.Millisecond
	for _, do := range w.later[w.now.Truncate(time.Millisecond)] {
		do()
	}
	delete(w.later, w.now.Truncate(time.Millisecond))
	if w.random.Float64() < 0.035*load {
		near := fmt.Sprintf("r%d", w.random.IntN(fleetWorkers/12))
		step := jobs.Step{Needs: jobs.Resources{MilliCPU: 1900, MemoryMB: 3800}, Estimate: 800 * time.Millisecond}
		first, second := step, step
		first.Count, first.PreferredRack = w.width(9), near
		second.Count, second.After = w.width(9), []int{0}
		w.arrive("q", first, second)
	}
	if w.random.Float64() < 0.0016*load {
		step := jobs.Step{Needs: jobs.Resources{MilliCPU: 4100, MemoryMB: 15000}, Estimate: 4800 * time.Millisecond}
		first, second := step, step
		first.Count, first.Checkpoints = w.width(39), true
		second.Count, second.After = w.width(39), []int{0}
		w.arrive("slow", first, second)
	}
	w.carryOut(w.core.Pass(w.now, w.wall()))
	w.passes++
}

func (w *fleet) carryOut(actions Actions) {
	if p := actions.Progress; p != nil {
		w.after(commitTime, func() {
			started, err := w.table.Progress(testTerm, *p)
			w.core.Committed(w.now, p, started, err)
		})
	}
	for _, s := range actions.Starts {
		w.after(answerTime, func() { w.start(s) })
	}
	for _, s := range actions.Stops {
		w.after(answerTime, func() {
			w.end(s.Worker.ID, s.Order.Key, jobs.EndStopped)
			w.core.StopAnswered(w.now, s.Worker.ID, s.Order.Key, StopOK)
		})
	}
	for _, renewal := range actions.Renewals {
		w.after(answerTime, func() { w.renew(renewal) })
	}
}

func (w *fleet) start(s StartAction) {
	key := s.Order.Key
	w.core.StartAnswered(w.now, s.Worker.ID, key, StartAnswer{Clock: w.now}, StartOK)
	j := w.table.Jobs[key.Task.Job]
	if j == nil || key.Task.Step >= len(j.Spec.Steps) {
		return
	}
	took := time.Duration(float64(j.Spec.Steps[key.Task.Step].Estimate) * (0.7 + 0.6*w.random.Float64()))
	w.running[s.Worker.ID][key] = span{from: w.now, duration: took}
	w.after(took, func() { w.end(s.Worker.ID, key, jobs.EndDone) })
}

func (w *fleet) end(id string, key jobs.RunKey, reason jobs.EndReason) {
	if _, runs := w.running[id][key]; !runs {
		return
	}
	delete(w.running[id], key)
	w.counts[id]++
	w.ended[id] = append(w.ended[id], EndedRun{Sequence: w.counts[id], Key: key, Reason: reason})
	if renewal := w.longPolls[id]; renewal != nil {
		w.longPolls[id] = nil
		w.answerRenewal(*renewal)
	}
}

func (w *fleet) renew(renewal RenewalAction) {
	id := renewal.Worker.ID
	for len(w.ended[id]) > 0 && w.ended[id][0].Sequence <= renewal.Call.AcknowledgedUpTo {
		w.ended[id] = w.ended[id][1:]
	}
	if renewal.Call.Wait == 0 || len(w.ended[id]) > 0 {
		w.answerRenewal(renewal)
		return
	}
	w.longPolls[id] = &renewal
	w.after(renewal.Call.Wait, func() {
		if w.longPolls[id] == &renewal {
			w.longPolls[id] = nil
			w.answerRenewal(renewal)
		}
	})
}

func (w *fleet) answerRenewal(renewal RenewalAction) {
	a := RenewalAnswer{Clock: w.now, Ended: w.ended[renewal.Worker.ID]}
	for key, at := range w.running[renewal.Worker.ID] {
		a.Running = append(a.Running, ListedRun{Key: key, Percent: int(100 * (w.now - at.from) / at.duration)})
	}
	w.core.RenewalAnswered(w.now, renewal.Worker.ID, renewal.Number, a, RenewalOK)
}

// BenchmarkPassesOfLoadedFleet measures a second of scheduling for 350 workers, after ten seconds of the same load: 1
// is about the capacity of the workers, 3 is the load of a storm of submissions.
func BenchmarkPassesOfLoadedFleet(b *testing.B) {
	for _, load := range []float64{1, 3} {
		b.Run(fmt.Sprintf("load=%v", load), func(b *testing.B) {
			w := newFleet()
			for range 10000 {
				w.step(load)
			}
			done := w.core.Counts.Done
			b.ResetTimer()
			for range b.N {
				for range 1000 {
					w.step(load)
				}
			}
			b.ReportMetric(float64(w.core.Counts.Done-done)/float64(b.N), "done/op")
		})
	}
}
