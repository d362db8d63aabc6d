package scheduler

import (
	"slices"
	"time"

	"crosstide/internal/state"
)

// HealthConfig says when a minion counts as sick: it spoils tasks of a type that its peers end well.
type HealthConfig struct {
	MinFailures      float64       // ends in failure of a type, recent ones counting more, before a minion is judged
	MinExcessRate    float64       // its failure rate must be above its peers' by this much
	HalfLife         time.Duration // an end counts half after it
	MaxShare         float64       // of the minions of a zone that may be held sick at once, one at least; 0: none is
	ProbeInterval    time.Duration // between two probes of a sick minion, doubled after each that fails
	MaxProbeInterval time.Duration
	RecoverAfter     int // probes that must end well in a row
}

// DefaultHealthConfig are our starting values.
func DefaultHealthConfig() HealthConfig {
	return HealthConfig{MinFailures: 4, MinExcessRate: 0.4, HalfLife: 20 * time.Second, MaxShare: 0.3, ProbeInterval: 4 * time.Second,
		MaxProbeInterval: 15 * time.Second, RecoverAfter: 3}
}

// score counts ends, halved every half-life.
type score struct {
	succeeded, failed float64
	at                time.Duration
}

func (s *score) decay(now, half time.Duration) {
	for s.at == 0 || now-s.at >= half {
		if s.at == 0 || now-s.at >= 16*half {
			*s = score{at: now}
			return
		}
		s.succeeded, s.failed, s.at = s.succeeded/2, s.failed/2, s.at+half
	}
}

func (s *score) failureRate() float64 {
	if s.succeeded+s.failed == 0 {
		return 0
	}
	return s.failed / (s.succeeded + s.failed)
}

// ejection is the record of a sick minion.
type ejection struct {
	since         time.Duration
	taskType      string        // the type it spoils
	nextProbeAt   time.Duration // when the next probe may start
	probeInterval time.Duration
	successes     int
	probes        map[uint64]bool // run IDs out as probes
}

// health judges minions by how the tasks end that they were given. It is the holder's own memory: a new holder
// learns anew.
type health struct {
	cfg          HealthConfig
	scores       map[string]map[string]*score // by minion, by type
	totals       map[string]*score            // by type, over all minions
	unhealthy    map[string]*ejection
	failedByTask map[state.TaskRef][]string // minions on which a task ended in failure, oldest first
	failedByJob  map[string][]string        // minions on which a job's tasks ended in failure
	ejections    uint64                     // minions taken for sick so far
}

func newHealth(cfg HealthConfig) health {
	return health{cfg: cfg, scores: map[string]map[string]*score{}, totals: map[string]*score{}, unhealthy: map[string]*ejection{},
		failedByTask: map[state.TaskRef][]string{}, failedByJob: map[string][]string{}}
}

func (h *health) score(worker, kind string) *score {
	if h.scores[worker] == nil {
		h.scores[worker] = map[string]*score{}
	}
	if h.scores[worker][kind] == nil {
		h.scores[worker][kind] = &score{}
	}
	return h.scores[worker][kind]
}

func (h *health) total(kind string) *score {
	if h.totals[kind] == nil {
		h.totals[kind] = &score{}
	}
	return h.totals[kind]
}

// maxBlamedWorkers is how many minions a job may spoil before its ends in failure are held against itself, not against them.
const maxBlamedWorkers = 2

// endPending takes in how a run ended. A job that ends in failure on one minion after another is a job that cannot
// succeed: its ends tell nothing of the minions.
func (h *health) recordEnd(now time.Duration, hd *state.Handle, well bool) {
	name, ref := hd.Worker, hd.Ref
	one, all := h.score(name, hd.Type), h.total(hd.Type)
	one.decay(now, h.cfg.HalfLife)
	all.decay(now, h.cfg.HalfLife)
	switch {
	case well:
		one.succeeded++
		all.succeeded++
		delete(h.failedByTask, ref)
	default:
		if at := h.failedByTask[ref]; !slices.Contains(at, name) {
			h.failedByTask[ref] = append(at, name)
		}
		at := h.failedByJob[ref.Job]
		if !slices.Contains(at, name) {
			at = append(at, name)
			h.failedByJob[ref.Job] = at
		}
		if len(at) <= maxBlamedWorkers {
			one.failed++
			all.failed++
		}
	}
	w := h.unhealthy[name]
	if w == nil || !w.probes[hd.RunID] {
		return
	}
	delete(w.probes, hd.RunID)
	if !well {
		w.successes, w.probeInterval = 0, min(2*w.probeInterval, h.cfg.MaxProbeInterval)
		w.nextProbeAt = now + w.probeInterval
		return
	}
	w.nextProbeAt = now
	if w.successes++; w.successes >= h.cfg.RecoverAfter {
		delete(h.unhealthy, name)
		delete(h.scores, name) // a fresh start
	}
}

// recordLost takes in that a run is over without an end that tells anything.
func (h *health) recordLost(worker string, runID uint64) {
	if w := h.unhealthy[worker]; w != nil {
		delete(w.probes, runID)
	}
}

// checkHealth tells whether a minion is to be held sick now, for a type: it ends clearly more of it in failure than its
// peers do. zone counts the minions of its zone and those of them held sick.
func (h *health) ejectIfUnhealthy(now time.Duration, name, kind string, zone, unhealthy int) bool {
	if h.cfg.MaxShare == 0 || h.unhealthy[name] != nil || float64(unhealthy+1) > max(1, h.cfg.MaxShare*float64(zone)) {
		return false
	}
	one, all := *h.score(name, kind), *h.total(kind)
	one.decay(now, h.cfg.HalfLife)
	all.decay(now, h.cfg.HalfLife)
	if one.failed < h.cfg.MinFailures {
		return false
	}
	peers := score{succeeded: max(all.succeeded-one.succeeded, 0), failed: max(all.failed-one.failed, 0)}
	if peers.succeeded < 1 { // nobody ends it well: the failure is not the minion's
		return false
	}
	if one.failureRate() < peers.failureRate()+h.cfg.MinExcessRate {
		return false
	}
	h.unhealthy[name] = &ejection{since: now, taskType: kind, probeInterval: h.cfg.ProbeInterval, nextProbeAt: now + h.cfg.ProbeInterval, probes: map[uint64]bool{}}
	h.ejections++
	return true
}

// admitsStart tells whether a minion may get another start now: a healthy one always, a sick one a single probe.
func (h *health) admitsStart(now time.Duration, name string) bool {
	w := h.unhealthy[name]
	return w == nil || len(w.probes) == 0 && now >= w.nextProbeAt
}

// recordProbe notes that a run ID was given on a minion; on a sick one it is a probe.
func (h *health) recordProbe(name string, runID uint64) {
	if w := h.unhealthy[name]; w != nil {
		w.probes[runID] = true
	}
}

// hasFailedOn tells whether a task had better not run on a minion again: it ended in failure there.
func (h *health) hasFailedOn(ref state.TaskRef, name string) bool {
	return slices.Contains(h.failedByTask[ref], name)
}

// dropFinishedJobs lets go of what is held about jobs that are over.
func (h *health) dropFinishedJobs(alive func(job string) bool) {
	for ref := range h.failedByTask {
		if !alive(ref.Job) {
			delete(h.failedByTask, ref)
		}
	}
	for job := range h.failedByJob {
		if !alive(job) {
			delete(h.failedByJob, job)
		}
	}
}
