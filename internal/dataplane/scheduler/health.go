package scheduler

import (
	"slices"
	"time"

	"crosstide/internal/state"
)

// HealthConfig says when a worker is ejected as unhealthy: it fails tasks of a type that its peers complete.
type HealthConfig struct {
	MinFailures      float64       // decayed failures of a type, before a worker is judged
	MinExcessRate    float64       // its failure rate must exceed its peers' by this much
	HalfLife         time.Duration // an end counts half after it
	MaxShare         float64       // of a zone's workers that may be ejected at once, one at least; 0: none is
	ProbeInterval    time.Duration // between two probes of an ejected worker, doubled after each that fails
	MaxProbeInterval time.Duration
	RecoverAfter     int // probes that must succeed in a row
}

// defaultHealthConfig has the values that a node starts with where its settings do not say.
func defaultHealthConfig() HealthConfig {
	return HealthConfig{MinFailures: 4, MinExcessRate: 0.4, HalfLife: 20 * time.Second, MaxShare: 0.3,
		ProbeInterval: 4 * time.Second, MaxProbeInterval: 15 * time.Second, RecoverAfter: 3}
}

// maxBlamedWorkers is how many workers may be blamed for the failures of one job. A job that fails on one worker after
// another cannot succeed, and its failures say nothing about the workers.
const maxBlamedWorkers = 2

// score counts ends of runs, halved every half-life.
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

// ejection is the record of an ejected worker, which gets single starts as probes until enough of them succeed.
type ejection struct {
	nextProbeAt   time.Duration
	probeInterval time.Duration
	successes     int             // in a row
	probes        map[uint64]bool // run IDs in flight
}

// health judges workers by the ends of their runs. It is this leader's own memory; a new leader begins without. Owner:
// Core.
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

// recordEnd counts an end of a run, and of a probe if it was one.
func (h *health) recordEnd(now time.Duration, handle *state.Handle, ok bool) {
	one, all := h.score(handle.Worker, handle.Type), h.total(handle.Type)
	one.decay(now, h.cfg.HalfLife)
	all.decay(now, h.cfg.HalfLife)
	if ok {
		one.succeeded++
		all.succeeded++
		delete(h.failedByTask, handle.Ref)
	} else if h.recordFailure(handle.Worker, handle.Ref) {
		one.failed++
		all.failed++
	}
	h.recordProbeEnd(now, handle, ok)
}

// recordFailure remembers on which worker a task failed, and reports whether the worker is to blame.
func (h *health) recordFailure(worker string, ref state.TaskRef) bool {
	if failed := h.failedByTask[ref]; !slices.Contains(failed, worker) {
		h.failedByTask[ref] = append(failed, worker)
	}
	if failed := h.failedByJob[ref.Job]; !slices.Contains(failed, worker) {
		h.failedByJob[ref.Job] = append(failed, worker)
	}
	return len(h.failedByJob[ref.Job]) <= maxBlamedWorkers
}

// recordProbeEnd ends an ejection after enough good probes, and puts the next probe off after a failed one.
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

// recordLost forgets a probe that is over without an end.
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

// ejectIfUnhealthy ejects a worker, and reports it, if it fails clearly more tasks of a type than its peers do. inZone
// counts the workers of its zone, ejected those of them that are ejected.
func (h *health) ejectIfUnhealthy(now time.Duration, worker, taskType string, inZone, ejected int) bool {
	if h.cfg.MaxShare == 0 || h.unhealthy[worker] != nil {
		return false
	}
	if float64(ejected+1) > max(1, h.cfg.MaxShare*float64(inZone)) {
		return false
	}
	one, all := *h.score(worker, taskType), *h.total(taskType)
	one.decay(now, h.cfg.HalfLife)
	all.decay(now, h.cfg.HalfLife)
	if one.failed < h.cfg.MinFailures {
		return false
	}
	peers := score{succeeded: max(all.succeeded-one.succeeded, 0), failed: max(all.failed-one.failed, 0)}
	if peers.succeeded < 1 { // nobody completes the type: the cause is not the worker
		return false
	}
	if one.failureRate() < peers.failureRate()+h.cfg.MinExcessRate {
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

// hasFailedOn reports whether a task has failed on a worker, and had better run on another.
func (h *health) hasFailedOn(ref state.TaskRef, worker string) bool {
	return slices.Contains(h.failedByTask[ref], worker)
}

// dropFinishedJobs forgets the failures of jobs that are over.
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

// checkHealth ejects a worker that fails what its peers complete, as far as its zone can spare it.
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
