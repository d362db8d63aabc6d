package scheduler

import (
	"time"

	"crosstide/internal/jobs"
)

// speedStats is what the ends of runs tell of workers: how long tasks take there against their estimates, and how many
// fail there. It is a guess that orders placement and decides nothing that must hold.
type speedStats struct {
	byWorker        map[string]*workerSpeed
	meanRatio       float64 // of time against estimate, over all workers
	meanFailureRate float64 // share of runs that fail, over all workers
	byStep          map[stepKey]*stepDuration
}

// stepKey names a step of a job, over all its rounds.
type stepKey struct {
	job  string
	step int
}

// stepDuration is how long the runs of a step that ended well took.
type stepDuration struct {
	count int
	mean  time.Duration
}

type workerSpeed struct {
	ratio       float64 // time against estimate; 0: not known
	failureRate float64 // share of runs that failed
}

// speedWeight is the weight of a new observation.
const speedWeight = 0.2

func newSpeedStats() speedStats {
	return speedStats{byWorker: map[string]*workerSpeed{}, byStep: map[stepKey]*stepDuration{}}
}

// minPeers is the number of ended runs of a step from which their mean time says something.
const minPeers = 2

// peerMean gives the mean time of the runs of a task's step that ended well.
func (s *speedStats) peerMean(task jobs.TaskRef) (mean time.Duration, known bool) {
	t := s.byStep[stepKey{task.Job, task.Step}]
	if t == nil || t.count < minPeers {
		return 0, false
	}
	return t.mean, true
}

// observeDuration takes in the time of a run that ended well.
func (s *speedStats) observeDuration(task jobs.TaskRef, duration time.Duration) {
	key := stepKey{task.Job, task.Step}
	t := s.byStep[key]
	if t == nil {
		t = &stepDuration{}
		s.byStep[key] = t
	}
	t.count++
	t.mean += (duration - t.mean) / time.Duration(t.count)
}

func (s *speedStats) forWorker(id string) *workerSpeed {
	known := s.byWorker[id]
	if known == nil {
		known = &workerSpeed{}
		s.byWorker[id] = known
	}
	return known
}

func ewma(old, observed float64) float64 { return old + speedWeight*(observed-old) }

// observeEnd takes in the end of a run.
func (s *speedStats) observeEnd(c *Core, w *worker, r *run, reason jobs.EndReason) {
	if r.longRunning || r.toStop || reason != jobs.EndDone && reason != jobs.EndFailed {
		return
	}
	known := s.forWorker(w.id)
	failed := 0.0
	if reason == jobs.EndFailed {
		failed = 1
	}
	known.failureRate = ewma(known.failureRate, failed)
	s.meanFailureRate += (failed - s.meanFailureRate) / 50
	if reason == jobs.EndFailed || r.gang || !r.ownTerm || r.sentAt == 0 {
		return
	}
	s.observeDuration(r.key.Task, c.now-r.sentAt)
	ratio := float64(c.now-r.sentAt) / float64(max(r.estimate, 50*time.Millisecond))
	ratio = min(max(ratio, 0.1), 10)
	if known.ratio == 0 {
		known.ratio = s.meanRatio
	}
	if known.ratio == 0 {
		known.ratio = ratio
	}
	known.ratio = ewma(known.ratio, ratio)
	if s.meanRatio == 0 {
		s.meanRatio = ratio
	}
	s.meanRatio += (ratio - s.meanRatio) / 50
}

// observeMove takes in that a run was moved away from a worker because it went on far too slowly there.
func (s *speedStats) observeMove(id string) {
	known := s.forWorker(id)
	known.ratio = ewma(max(known.ratio, s.meanRatio), 4*s.meanRatio)
}

// slowdown is how many times as long a task is expected to take on a worker as on the average one.
func (s *speedStats) slowdown(id string) float64 {
	known := s.byWorker[id]
	if known == nil {
		return 1
	}
	factor := 1.0
	if known.ratio > 0 && s.meanRatio > 0 {
		factor = known.ratio / s.meanRatio
	}
	if excess := known.failureRate - s.meanFailureRate; excess > 0.15 {
		factor *= 1 + 4*excess
	}
	return factor
}
