package scheduler

import (
	"math/rand/v2"
	"time"

	"crosstide/internal/jobs"
)

// fleet is a cluster whose commits and answers take as long as on the platform, on a simulated clock.
type fleet struct {
	*cluster
	random    *rand.Rand
	duration  func(estimate time.Duration) time.Duration // of a run
	callbacks map[time.Duration][]func()                 // by time, truncated to milliseconds
	running   map[string]map[jobs.RunKey]span            // by worker
	ended     map[string][]EndedRun                      // by worker
	counts    map[string]uint64                          // by worker: sequence number of its newest end
	longPolls map[string]*RenewalAction                  // by worker: the long poll that it holds open
	passes    int
}

// span is the start and the duration of a run.
type span struct{ from, duration time.Duration }

const (
	commitTime = 20 * time.Millisecond
	answerTime = 2 * time.Millisecond
)

// newFleet returns a fleet of workers. A run takes 0.7 to 1.3 times its estimate.
func newFleet(workers ...jobs.Worker) *fleet {
	f := &fleet{cluster: newCluster(3), random: rand.New(rand.NewPCG(1, 2)), callbacks: map[time.Duration][]func(){},
		running: map[string]map[jobs.RunKey]span{}, ended: map[string][]EndedRun{}, counts: map[string]uint64{},
		longPolls: map[string]*RenewalAction{}}
	f.duration = func(estimate time.Duration) time.Duration {
		return time.Duration(float64(estimate) * (0.7 + 0.6*f.random.Float64()))
	}
	f.table.Register(jobs.Register{Workers: workers})
	for _, worker := range workers {
		f.running[worker.ID] = map[jobs.RunKey]span{}
	}
	return f
}

// schedule calls callback after a delay, in the step of that millisecond.
func (f *fleet) schedule(delay time.Duration, callback func()) {
	at := (f.now + delay).Truncate(time.Millisecond)
	f.callbacks[at] = append(f.callbacks[at], callback)
}

// advance advances the clock by a millisecond, carries out the callbacks that are due, and runs a pass.
func (f *fleet) advance() {
	f.now += time.Millisecond
	for _, callback := range f.callbacks[f.now.Truncate(time.Millisecond)] {
		callback()
	}
	delete(f.callbacks, f.now.Truncate(time.Millisecond))
	f.carryOut(f.core.Pass(f.now, f.wall()))
	f.passes++
}

// sendHeartbeats makes a worker without runs stay known to the scheduler.
func (f *fleet) sendHeartbeats(worker string) {
	f.core.Heartbeat(f.now, worker, f.now)
	f.schedule(time.Second, func() { f.sendHeartbeats(worker) })
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

// start accepts a start order, and ends the run after its duration. A long-running task doesn't end.
func (f *fleet) start(s StartAction) {
	key := s.Order.Key
	f.core.StartAnswered(f.now, s.Worker.ID, key, StartAnswer{Clock: f.now}, StartOK)
	j := f.table.Jobs[key.Task.Job]
	if j == nil || key.Task.Step >= len(j.Spec.Steps) {
		return
	}
	step := &j.Spec.Steps[key.Task.Step]
	duration := f.duration(step.Estimate)
	f.running[s.Worker.ID][key] = span{from: f.now, duration: duration}
	if !step.LongRunning {
		f.schedule(duration, func() { f.end(s.Worker.ID, key, jobs.EndDone) })
	}
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
