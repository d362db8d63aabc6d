package scheduler

import (
	"time"

	"crosstide/internal/jobs"
)

// speeds is what the ends of runs tell of workers: how long tasks take there against their estimates, and how many
// fail there. It is a guess that orders placement and decides nothing that must hold.
type speeds struct {
	byWorker map[string]*speed
	mean     float64 // of time against estimate, over all workers
	failures float64 // share of runs that fail, over all workers
	steps    map[stepKey]*stepTime
}

// stepKey names a step of a job, over all its rounds.
type stepKey struct {
	job  string
	step int
}

// stepTime is how long the runs of a step that ended well took.
type stepTime struct {
	count int
	mean  time.Duration
}

type speed struct {
	ratio float64 // time against estimate; 0: not known
	fails float64 // share of runs that failed
}

// speedWeight is the weight of a new observation.
const speedWeight = 0.2

func newSpeeds() speeds { return speeds{byWorker: map[string]*speed{}, steps: map[stepKey]*stepTime{}} }

// enoughPeers is the number of ended runs of a step from which their mean time says something.
const enoughPeers = 2

// peers gives the mean time of the runs of a task's step that ended well.
func (s *speeds) peers(task jobs.TaskRef) (mean time.Duration, known bool) {
	t := s.steps[stepKey{task.Job, task.Step}]
	if t == nil || t.count < enoughPeers {
		return 0, false
	}
	return t.mean, true
}

// took takes in the time of a run that ended well.
func (s *speeds) took(task jobs.TaskRef, duration time.Duration) {
	key := stepKey{task.Job, task.Step}
	t := s.steps[key]
	if t == nil {
		t = &stepTime{}
		s.steps[key] = t
	}
	t.count++
	t.mean += (duration - t.mean) / time.Duration(t.count)
}

func (s *speeds) of(id string) *speed {
	known := s.byWorker[id]
	if known == nil {
		known = &speed{}
		s.byWorker[id] = known
	}
	return known
}

func mix(old, observed float64) float64 { return old + speedWeight*(observed-old) }

// ended takes in the end of a run.
func (s *speeds) ended(c *Core, w *worker, r *run, how jobs.EndReason) {
	if r.lasting || r.stop || how != jobs.EndDone && how != jobs.EndFailed {
		return
	}
	known := s.of(w.id)
	failed := 0.0
	if how == jobs.EndFailed {
		failed = 1
	}
	known.fails = mix(known.fails, failed)
	s.failures += (failed - s.failures) / 50
	if how == jobs.EndFailed || r.gang || !r.mine || r.sentAt == 0 {
		return
	}
	s.took(r.key.Task, c.now-r.sentAt)
	ratio := float64(c.now-r.sentAt) / float64(max(r.estimate, 50*time.Millisecond))
	ratio = min(max(ratio, 0.1), 10)
	if known.ratio == 0 {
		known.ratio = s.mean
	}
	if known.ratio == 0 {
		known.ratio = ratio
	}
	known.ratio = mix(known.ratio, ratio)
	if s.mean == 0 {
		s.mean = ratio
	}
	s.mean += (ratio - s.mean) / 50
}

// slow takes in that a run was moved away from a worker because it went on far too slowly there.
func (s *speeds) slow(id string) {
	known := s.of(id)
	known.ratio = mix(max(known.ratio, s.mean), 4*s.mean)
}

// factor is how many times as long a task is expected to take on a worker as on the average one.
func (s *speeds) factor(id string) float64 {
	known := s.byWorker[id]
	if known == nil {
		return 1
	}
	factor := 1.0
	if known.ratio > 0 && s.mean > 0 {
		factor = known.ratio / s.mean
	}
	if excess := known.fails - s.failures; excess > 0.15 {
		factor *= 1 + 4*excess
	}
	return factor
}
