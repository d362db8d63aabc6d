package scheduler

import (
	"maps"
	"time"

	"crosstide/internal/jobs"
)

// speedStats estimates from the ends of runs how fast workers are and how long the tasks of a step take. The estimates
// rank nodes and select runs to move; no invariant depends on them.
type speedStats struct {
	byWorker        map[string]*workerSpeed
	meanRatio       float64 // of duration to estimate, over all workers; 0: not known
	meanFailureRate float64 // over all workers
	byStep          map[stepKey]*stepDuration
}

// workerSpeed holds moving averages over the runs of a worker.
type workerSpeed struct {
	ratio       float64 // of duration to estimate; 0: not known
	failureRate float64
}

// stepKey names a step of a job, in all its rounds.
type stepKey struct {
	job  string
	step int
}

// stepDuration is the mean duration of the runs of a step that ended well.
type stepDuration struct {
	count int
	mean  time.Duration
}

func newSpeedStats() speedStats {
	return speedStats{byWorker: map[string]*workerSpeed{}, byStep: map[stepKey]*stepDuration{}}
}

// Constants of the estimates.
const (
	workerWeight = 0.2 // of a new observation in a worker's moving averages
	meanWindow   = 50  // a new observation has the weight 1/meanWindow in the averages over all workers

	minRatio, maxRatio = 0.1, 10.0             // bounds of one observation
	minRatioEstimate   = 50 * time.Millisecond // replaces a smaller estimate, or none

	movedRatio = 4 // a run that was moved away counts as an observation of movedRatio times the mean ratio

	minPeers = 2 // number of runs from which a step's mean duration counts as known

	// A worker's failure rate above the mean by more than tolerated slows it down by failureWeight times the excess.
	toleratedFailures = 0.15
	failureWeight     = 4
)

// peerMean returns the mean duration of the peers of a task: the runs of its step that ended well.
func (s *speedStats) peerMean(task jobs.TaskRef) (mean time.Duration, known bool) {
	peers := s.byStep[stepKey{task.Job, task.Step}]
	if peers == nil || peers.count < minPeers {
		return 0, false
	}
	return peers.mean, true
}

// expected returns the duration of a run on an average worker, by its client's estimate.
func (s *speedStats) expected(estimate time.Duration) time.Duration {
	ratio := max(s.meanRatio, 1)
	return time.Duration(float64(max(estimate, minEstimate)) * ratio)
}

// slowdown returns how many times as long a task is expected to take on a worker as on the average one.
func (s *speedStats) slowdown(id string) float64 {
	known := s.byWorker[id]
	if known == nil {
		return 1
	}
	factor := 1.0
	if known.ratio > 0 && s.meanRatio > 0 {
		factor = known.ratio / s.meanRatio
	}
	if excess := known.failureRate - s.meanFailureRate; excess > toleratedFailures {
		factor *= 1 + failureWeight*excess
	}
	return factor
}

// observeEnd records the end of a run. Only ends that depend on the worker count, and only the durations of
// runs whose start this leader has seen.
func (s *speedStats) observeEnd(now time.Duration, r *run, reason jobs.EndReason) {
	if r.longRunning || r.stop.wanted || reason != jobs.EndDone && reason != jobs.EndFailed {
		return
	}
	known := s.forWorker(r.worker)
	failed := 0.0
	if reason == jobs.EndFailed {
		failed = 1
	}
	known.failureRate = movingAverage(known.failureRate, failed)
	s.meanFailureRate += (failed - s.meanFailureRate) / meanWindow
	if reason == jobs.EndFailed || r.gang || !r.ownTerm || r.start.sentAt == 0 {
		return
	}
	duration := now - r.start.sentAt
	s.observeDuration(r.key.Task, duration)
	ratio := float64(duration) / float64(max(r.estimate, minRatioEstimate))
	s.observeRatio(known, min(max(ratio, minRatio), maxRatio))
}

// observeRatio records the ratio of duration to estimate of a run on a worker. A first observation counts as the
// average.
func (s *speedStats) observeRatio(known *workerSpeed, ratio float64) {
	if known.ratio == 0 {
		known.ratio = s.meanRatio
	}
	if known.ratio == 0 {
		known.ratio = ratio
	}
	known.ratio = movingAverage(known.ratio, ratio)
	if s.meanRatio == 0 {
		s.meanRatio = ratio
	}
	s.meanRatio += (ratio - s.meanRatio) / meanWindow
}

// observeDuration records the duration of a run that ended well.
func (s *speedStats) observeDuration(task jobs.TaskRef, duration time.Duration) {
	key := stepKey{task.Job, task.Step}
	step := s.byStep[key]
	if step == nil {
		step = &stepDuration{}
		s.byStep[key] = step
	}
	step.count++
	step.mean += (duration - step.mean) / time.Duration(step.count)
}

// observeMove records that a run was moved away from a worker because it was far too slow there.
func (s *speedStats) observeMove(id string) {
	known := s.forWorker(id)
	known.ratio = movingAverage(max(known.ratio, s.meanRatio), movedRatio*s.meanRatio)
}

// forWorker returns the averages of a worker, made on first use.
func (s *speedStats) forWorker(id string) *workerSpeed {
	known := s.byWorker[id]
	if known == nil {
		known = &workerSpeed{}
		s.byWorker[id] = known
	}
	return known
}

// forgetWorker drops the averages of a worker.
func (s *speedStats) forgetWorker(id string) { delete(s.byWorker, id) }

// forgetJob drops the durations of a job's steps.
func (s *speedStats) forgetJob(id string) {
	maps.DeleteFunc(s.byStep, func(step stepKey, _ *stepDuration) bool { return step.job == id })
}

// movingAverage returns an exponentially weighted moving average after a new observation.
func movingAverage(old, observed float64) float64 { return old + workerWeight*(observed-old) }
