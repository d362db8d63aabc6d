package scheduler

import (
	"maps"
	"time"

	"crosstide/internal/jobs"
)

// speedStats estimates the speed of workers and the duration of a step's tasks from the ends of runs. The estimates are
// used to rank nodes and to select runs to move; no invariant depends on them.
type speedStats struct {
	byWorker        map[string]*workerSpeed
	meanRatio       float64 // mean ratio of duration to estimate, over all workers; 0: not known
	meanFailureRate float64 // over all workers
	byStep          map[stepKey]*stepDuration
}

// workerSpeed holds moving averages over the runs of a worker.
type workerSpeed struct {
	ratio       float64 // ratio of duration to estimate; 0: not known
	failureRate float64
}

// stepKey identifies a step of a job, across all rounds.
type stepKey struct {
	job  string
	step int
}

// stepDuration is the mean duration of the runs of a step that ended with jobs.EndDone.
type stepDuration struct {
	count int
	mean  time.Duration
}

func newSpeedStats() speedStats {
	return speedStats{byWorker: map[string]*workerSpeed{}, byStep: map[stepKey]*stepDuration{}}
}

// Constants of the estimates.
const (
	workerWeight = 0.2 // weight of a new observation in a worker's moving averages
	meanWindow   = 50  // a new observation has the weight 1/meanWindow in the averages over all workers

	minRatio, maxRatio = 0.1, 10.0             // bounds of one observation
	minRatioEstimate   = 50 * time.Millisecond // replaces a missing or smaller estimate

	movedRatio = 4 // a run that was moved away counts as an observation of movedRatio times the mean ratio

	minPeers = 2 // number of runs from which a step's mean duration counts as known

	// If the failure rate of a worker exceeds the mean by more than toleratedFailures, its slowdown is multiplied by
	// 1 + failureWeight times the excess.
	toleratedFailures = 0.15
	failureWeight     = 4
)

// peerMean returns the mean duration of the peers of a task: the runs of its step that ended with jobs.EndDone.
func (s *speedStats) peerMean(task jobs.TaskRef) (mean time.Duration, known bool) {
	peers := s.byStep[stepKey{task.Job, task.Step}]
	if peers == nil || peers.count < minPeers {
		return 0, false
	}
	return peers.mean, true
}

// expected returns the expected duration of a run on an average worker, computed from its client's estimate. It is
// never shorter than the estimate.
func (s *speedStats) expected(estimate time.Duration) time.Duration {
	ratio := max(s.meanRatio, 1)
	return time.Duration(float64(max(estimate, minEstimate)) * ratio)
}

// slowdown returns the expected duration of a task on a worker relative to that on the average worker.
func (s *speedStats) slowdown(id string) float64 {
	speed := s.byWorker[id]
	if speed == nil {
		return 1
	}
	factor := 1.0
	if speed.ratio > 0 && s.meanRatio > 0 {
		factor = speed.ratio / s.meanRatio
	}
	if excess := speed.failureRate - s.meanFailureRate; excess > toleratedFailures {
		factor *= 1 + failureWeight*excess
	}
	return factor
}

// observeEnd records the end of a run with jobs.EndDone or jobs.EndFailed. It ignores long-running tasks and runs that
// are being stopped. The duration counts only if the run is done, isn't a member of a gang, and was started under this
// term.
func (s *speedStats) observeEnd(now time.Duration, r *run, reason jobs.EndReason) {
	if r.longRunning || r.stop.requested || reason != jobs.EndDone && reason != jobs.EndFailed {
		return
	}
	speed := s.forWorker(r.worker)
	failed := 0.0
	if reason == jobs.EndFailed {
		failed = 1
	}
	speed.failureRate = movingAverage(speed.failureRate, failed)
	s.meanFailureRate += (failed - s.meanFailureRate) / meanWindow
	if reason == jobs.EndFailed || r.gang || !r.ownTerm || r.start.sentAt == 0 {
		return
	}
	duration := now - r.start.sentAt
	s.observeDuration(r.key.Task, duration)
	ratio := float64(duration) / float64(max(r.estimate, minRatioEstimate))
	s.observeRatio(speed, min(max(ratio, minRatio), maxRatio))
}

// observeRatio records the ratio of duration to estimate of a run on a worker. The worker's average starts at the mean
// over all workers, and that mean at the first observation.
func (s *speedStats) observeRatio(speed *workerSpeed, ratio float64) {
	if speed.ratio == 0 {
		speed.ratio = s.meanRatio
	}
	if speed.ratio == 0 {
		speed.ratio = ratio
	}
	speed.ratio = movingAverage(speed.ratio, ratio)
	if s.meanRatio == 0 {
		s.meanRatio = ratio
	}
	s.meanRatio += (ratio - s.meanRatio) / meanWindow
}

// observeDuration records the duration of a run that ended with jobs.EndDone.
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
	speed := s.forWorker(id)
	speed.ratio = movingAverage(max(speed.ratio, s.meanRatio), movedRatio*s.meanRatio)
}

// forWorker returns the averages of a worker, which it creates on first use.
func (s *speedStats) forWorker(id string) *workerSpeed {
	speed := s.byWorker[id]
	if speed == nil {
		speed = &workerSpeed{}
		s.byWorker[id] = speed
	}
	return speed
}

// forgetWorker deletes the averages of a worker.
func (s *speedStats) forgetWorker(id string) { delete(s.byWorker, id) }

// forgetJob deletes the durations of a job's steps.
func (s *speedStats) forgetJob(id string) {
	maps.DeleteFunc(s.byStep, func(step stepKey, _ *stepDuration) bool { return step.job == id })
}

// movingAverage returns the exponentially weighted moving average after a new observation.
func movingAverage(old, observed float64) float64 { return old + workerWeight*(observed-old) }
