package scheduler

import (
	"slices"
	"time"

	"crosstide/internal/state"
)

// HealthConfig configures the ejection of unhealthy workers: of those that fail tasks of a type that peers complete.
type HealthConfig struct {
	MinFailures      float64       // failures of a type, decayed, below which a worker is not judged
	MinExcessRate    float64       // its failure rate must exceed its peers' by this much
	HalfLife         time.Duration // after which an end counts half
	MaxShare         float64       // of a zone's workers that may be ejected at once, at least one; 0: no ejections
	ProbeInterval    time.Duration // between two probes of an ejected worker, doubled after each that fails
	MaxProbeInterval time.Duration
	RecoverAfter     int // probes that must succeed in a row
}

// defaultHealthConfig returns the values that apply where the settings have none.
func defaultHealthConfig() HealthConfig {
	return HealthConfig{MinFailures: 4, MinExcessRate: 0.4, HalfLife: 20 * time.Second, MaxShare: 0.3,
		ProbeInterval: 4 * time.Second, MaxProbeInterval: 15 * time.Second, RecoverAfter: 3}
}

// maxBlamedWorkers is how many workers may be blamed for the failures of one job. A job that fails on one worker after
// another cannot succeed, and its failures say nothing about the workers.
const maxBlamedWorkers = 2

// score counts ends of runs, halved with every half-life that passes.
type score struct {
	succeeded, failed float64
	at                time.Duration // of the newest halving
}

func (s *score) decay(now, halfLife time.Duration) {
	for s.at == 0 || now-s.at >= halfLife {
		if s.at == 0 || now-s.at >= 16*halfLife {
			*s = score{at: now}
			return
		}
		s.succeeded, s.failed, s.at = s.succeeded/2, s.failed/2, s.at+halfLife
	}
}

func (s *score) failureRate() float64 {
	if s.succeeded+s.failed == 0 {
		return 0
	}
	return s.failed / (s.succeeded + s.failed)
}

// ejection is the record of an ejected worker: it gets single starts, as probes, until enough of them have succeeded.
type ejection struct {
	nextProbeAt   time.Duration
	probeInterval time.Duration
	successes     int             // in a row
	probes        map[uint64]bool // run IDs in flight
}

// health judges workers by the ends of their runs. It is not replicated: a new leader starts with no scores and no
// ejections. Owner: Core.
type health struct {
	cfg          HealthConfig
	scores       map[string]map[string]*score // by worker, by task type
	totals       map[string]*score            // by task type, over all workers
	unhealthy    map[string]*ejection         // by worker
	failedByTask map[state.TaskRef][]string   // workers on which a task failed, oldest first
	failedByJob  map[string][]string          // workers on which tasks of a job failed
}

func newHealth(cfg HealthConfig) health {
	return health{
		cfg:          cfg,
		scores:       map[string]map[string]*score{},
		totals:       map[string]*score{},
		unhealthy:    map[string]*ejection{},
		failedByTask: map[state.TaskRef][]string{},
		failedByJob:  map[string][]string{},
	}
}

func (h *health) score(worker, taskType string) *score {
	if h.scores[worker] == nil {
		h.scores[worker] = map[string]*score{}
	}
	if h.scores[worker][taskType] == nil {
		h.scores[worker][taskType] = &score{}
	}
	return h.scores[worker][taskType]
}

func (h *health) total(taskType string) *score {
	if h.totals[taskType] == nil {
		h.totals[taskType] = &score{}
	}
	return h.totals[taskType]
}

// recordEnd counts the end of a run for its worker and for all workers, and as a probe's if it was one.
func (h *health) recordEnd(now time.Duration, handle *state.Handle, ok bool) {
	own, total := h.score(handle.Worker, handle.Type), h.total(handle.Type)
	own.decay(now, h.cfg.HalfLife)
	total.decay(now, h.cfg.HalfLife)
	if ok {
		own.succeeded++
		total.succeeded++
		delete(h.failedByTask, handle.Ref)
	} else if h.recordFailure(handle.Worker, handle.Ref) {
		own.failed++
		total.failed++
	}
	h.recordProbeEnd(now, handle, ok)
}

// recordFailure records on which worker a task failed, and reports whether the failure counts against the worker.
func (h *health) recordFailure(worker string, ref state.TaskRef) bool {
	if failed := h.failedByTask[ref]; !slices.Contains(failed, worker) {
		h.failedByTask[ref] = append(failed, worker)
	}
	if failed := h.failedByJob[ref.Job]; !slices.Contains(failed, worker) {
		h.failedByJob[ref.Job] = append(failed, worker)
	}
	return len(h.failedByJob[ref.Job]) <= maxBlamedWorkers
}

// recordProbeEnd ends an ejection once enough probes in a row have succeeded, and delays the next one after a failure.
func (h *health) recordProbeEnd(now time.Duration, handle *state.Handle, ok bool) {
	e := h.unhealthy[handle.Worker]
	if e == nil || !e.probes[handle.RunID] {
		return
	}
	delete(e.probes, handle.RunID)
	if !ok {
		e.successes, e.probeInterval = 0, min(2*e.probeInterval, h.cfg.MaxProbeInterval)
		e.nextProbeAt = now + e.probeInterval
		return
	}
	e.nextProbeAt = now
	if e.successes++; e.successes >= h.cfg.RecoverAfter {
		delete(h.unhealthy, handle.Worker)
		delete(h.scores, handle.Worker) // what it failed before must not eject it again
	}
}

// recordLost drops a probe whose run is gone without an end: it counts neither way.
func (h *health) recordLost(worker string, runID uint64) {
	if e := h.unhealthy[worker]; e != nil {
		delete(e.probes, runID)
	}
}

// recordProbe counts a run ID as a probe if its worker is ejected.
func (h *health) recordProbe(worker string, runID uint64) {
	if e := h.unhealthy[worker]; e != nil {
		e.probes[runID] = true
	}
}

// ejectIfUnhealthy ejects a worker if it fails clearly more tasks of a type than its peers do, and reports whether it
// did. inZone is the number of workers in its zone, ejected how many of them are ejected already.
func (h *health) ejectIfUnhealthy(now time.Duration, worker, taskType string, inZone, ejected int) bool {
	if h.cfg.MaxShare == 0 || h.unhealthy[worker] != nil {
		return false
	}
	if float64(ejected+1) > max(1, h.cfg.MaxShare*float64(inZone)) {
		return false
	}
	own, total := *h.score(worker, taskType), *h.total(taskType)
	own.decay(now, h.cfg.HalfLife)
	total.decay(now, h.cfg.HalfLife)
	if own.failed < h.cfg.MinFailures {
		return false
	}
	peers := score{succeeded: max(total.succeeded-own.succeeded, 0), failed: max(total.failed-own.failed, 0)}
	if peers.succeeded < 1 { // nobody completes the type: the cause is not the worker
		return false
	}
	if own.failureRate() < peers.failureRate()+h.cfg.MinExcessRate {
		return false
	}
	h.unhealthy[worker] = &ejection{probeInterval: h.cfg.ProbeInterval, nextProbeAt: now + h.cfg.ProbeInterval,
		probes: map[uint64]bool{}}
	return true
}

// admitsStart reports whether a worker may get another start now: a healthy one always, an ejected one a single probe.
func (h *health) admitsStart(now time.Duration, worker string) bool {
	e := h.unhealthy[worker]
	return e == nil || len(e.probes) == 0 && now >= e.nextProbeAt
}

// hasFailedOn reports whether a task has failed on a worker: then placement prefers another one.
func (h *health) hasFailedOn(ref state.TaskRef, worker string) bool {
	return slices.Contains(h.failedByTask[ref], worker)
}

// dropFinishedJobs drops the failures of jobs that are not open.
func (h *health) dropFinishedJobs(isOpen func(job string) bool) {
	for ref := range h.failedByTask {
		if !isOpen(ref.Job) {
			delete(h.failedByTask, ref)
		}
	}
	for job := range h.failedByJob {
		if !isOpen(job) {
			delete(h.failedByJob, job)
		}
	}
}

// checkHealth ejects a worker that fails what its peers complete, unless too many of its zone are ejected already.
func (c *Core) checkHealth(now time.Duration, w *worker, taskType string) {
	rec := c.st.Workers[w.name]
	if rec == nil || c.health.score(w.name, taskType).failed < c.cfg.Health.MinFailures {
		return
	}
	inZone, ejected := 0, 0
	for name, other := range c.st.Workers {
		if other.Zone == rec.Zone {
			inZone++
			if c.health.unhealthy[name] != nil {
				ejected++
			}
		}
	}
	c.health.ejectIfUnhealthy(now, w.name, taskType, inZone, ejected)
}
