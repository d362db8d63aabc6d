package scheduler

import (
	"slices"
	"time"

	"crosstide/internal/state"
)

// HealthConfig configures the ejection of unhealthy workers, that is, workers that fail tasks of a type that their
// peers complete.
type HealthConfig struct {
	MinFailures      float64       // a worker with fewer failures of a type, after decay, is not ejected
	MinExcessRate    float64       // a worker is ejected if its failure rate exceeds its peers' by this much
	HalfLife         time.Duration // interval after which the weight of an end halves
	MaxEjectedShare  float64       // of a zone's workers that may be ejected at once, at least one; 0 disables ejection
	ProbeInterval    time.Duration // between probes of an ejected worker; doubles after each failed probe
	MaxProbeInterval time.Duration
	RecoverAfter     int // consecutive successful probes that end an ejection
}

// defaultHealthConfig returns the values used for parameters that the settings omit.
func defaultHealthConfig() HealthConfig {
	return HealthConfig{MinFailures: 4, MinExcessRate: 0.4, HalfLife: 20 * time.Second, MaxEjectedShare: 0.3,
		ProbeInterval: 4 * time.Second, MaxProbeInterval: 15 * time.Second, RecoverAfter: 3}
}

// maxBlamedWorkers is the number of workers that failures of one job may count against. A job that fails on more
// workers presumably cannot succeed, so its further failures do not indicate an unhealthy worker.
const maxBlamedWorkers = 2

// score counts ends of runs. The counts halve with every half-life.
type score struct {
	succeeded, failed float64
	at                time.Duration // of the latest halving
}

// decay halves the counts for each half-life since the last halving, and resets them after 16 half-lives.
func (s *score) decay(now, halfLife time.Duration) {
	for s.at == 0 || now-s.at >= halfLife {
		if s.at == 0 || now-s.at >= 16*halfLife {
			*s = score{at: now}
			return
		}
		s.succeeded, s.failed, s.at = s.succeeded/2, s.failed/2, s.at+halfLife
	}
}

// failureRate returns the share of failed ends, or 0 without ends.
func (s *score) failureRate() float64 {
	if s.succeeded+s.failed == 0 {
		return 0
	}
	return s.failed / (s.succeeded + s.failed)
}

// ejection is the record of an ejected worker. The worker gets one start at a time, as a probe, until enough
// consecutive probes have succeeded.
type ejection struct {
	nextProbeAt   time.Duration
	probeInterval time.Duration
	successes     int             // consecutive successful probes
	probes        map[uint64]bool // run IDs of probes in flight
}

// health detects unhealthy workers by the ends of their runs. It is not replicated: a new leader starts without scores
// and ejections. Core owns it.
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

// score returns the score of a worker for a task type, and creates it if it does not exist.
func (h *health) score(worker, taskType string) *score {
	if h.scores[worker] == nil {
		h.scores[worker] = map[string]*score{}
	}
	if h.scores[worker][taskType] == nil {
		h.scores[worker][taskType] = &score{}
	}
	return h.scores[worker][taskType]
}

// total returns the score of all workers for a task type, and creates it if it does not exist.
func (h *health) total(taskType string) *score {
	if h.totals[taskType] == nil {
		h.totals[taskType] = &score{}
	}
	return h.totals[taskType]
}

// recordEnd adds the end of a run to the scores of its worker and of all workers, and handles it as the result of a
// probe if the run was one.
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

// recordProbeEnd ends an ejection after enough consecutive successful probes, and delays the next probe after a failed
// one.
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
		delete(h.scores, handle.Worker) // failures before the recovery must not eject it again
	}
}

// recordLost drops a probe whose run was lost without an end. It counts neither as a success nor as a failure.
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

// ejectIfUnhealthy ejects a worker whose failure rate for a task type clearly exceeds that of its peers, and reports
// whether it did. inZone is the number of workers in its zone, ejected the number of those that are ejected already.
func (h *health) ejectIfUnhealthy(now time.Duration, worker, taskType string, inZone, ejected int) bool {
	if h.cfg.MaxEjectedShare == 0 || h.unhealthy[worker] != nil {
		return false
	}
	if float64(ejected+1) > max(1, h.cfg.MaxEjectedShare*float64(inZone)) {
		return false
	}
	own, total := *h.score(worker, taskType), *h.total(taskType)
	own.decay(now, h.cfg.HalfLife)
	total.decay(now, h.cfg.HalfLife)
	if own.failed < h.cfg.MinFailures {
		return false
	}
	peers := score{succeeded: max(total.succeeded-own.succeeded, 0), failed: max(total.failed-own.failed, 0)}
	if peers.succeeded < 1 { // no peer completes the type, so the worker is not the cause
		return false
	}
	if own.failureRate() < peers.failureRate()+h.cfg.MinExcessRate {
		return false
	}
	h.unhealthy[worker] = &ejection{probeInterval: h.cfg.ProbeInterval, nextProbeAt: now + h.cfg.ProbeInterval,
		probes: map[uint64]bool{}}
	return true
}

// admitsStart reports whether a worker may get another start now. A healthy worker always may; an ejected one may if a
// probe is due and none is in flight.
func (h *health) admitsStart(now time.Duration, worker string) bool {
	e := h.unhealthy[worker]
	return e == nil || len(e.probes) == 0 && now >= e.nextProbeAt
}

// hasFailedOn reports whether a task has failed on a worker. Placement then prefers another worker.
func (h *health) hasFailedOn(ref state.TaskRef, worker string) bool {
	return slices.Contains(h.failedByTask[ref], worker)
}

// dropFinishedJobs drops the failure records of jobs for which isOpen returns false.
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

// checkHealth ejects a worker that fails tasks of a type that its peers complete, unless too many workers of its zone
// are ejected already.
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
