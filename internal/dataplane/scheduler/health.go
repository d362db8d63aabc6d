package scheduler

import (
	"slices"
	"time"

	"crosstide/internal/state"
)

// HealthConfig says when a minion counts as sick: it spoils tasks of a type that its peers end well.
type HealthConfig struct {
	Least    float64       // ends in failure of a type, recent ones counting more, before a minion is judged
	Excess   float64       // its failure rate must be above its peers' by this much
	HalfLife time.Duration // an end counts half after it
	Share    float64       // of the minions of a zone that may be held sick at once, one at least; 0: none is
	Probe    time.Duration // between two probes of a sick minion, doubled after each that fails
	ProbeMax time.Duration
	Cure     int // probes that must end well in a row
}

// HealthDefaults are our starting values.
func HealthDefaults() HealthConfig {
	return HealthConfig{Least: 4, Excess: 0.4, HalfLife: 20 * time.Second, Share: 0.3, Probe: 4 * time.Second,
		ProbeMax: 15 * time.Second, Cure: 3}
}

// score counts ends, halved every half-life.
type score struct {
	well, spoilt float64
	at           time.Duration
}

func (s *score) fade(now, half time.Duration) {
	for s.at == 0 || now-s.at >= half {
		if s.at == 0 || now-s.at >= 16*half {
			*s = score{at: now}
			return
		}
		s.well, s.spoilt, s.at = s.well/2, s.spoilt/2, s.at+half
	}
}

func (s *score) rate() float64 {
	if s.well+s.spoilt == 0 {
		return 0
	}
	return s.spoilt / (s.well + s.spoilt)
}

// ward is the record of a sick minion.
type ward struct {
	since  time.Duration
	kind   string        // the type it spoils
	next   time.Duration // when the next probe may start
	wait   time.Duration
	cured  int
	probes map[uint64]bool // run IDs out as probes
}

// health judges minions by how the tasks end that they were given. It is the holder's own memory: a new holder
// learns anew.
type health struct {
	cfg    HealthConfig
	scores map[string]map[string]*score // by minion, by type
	totals map[string]*score            // by type, over all minions
	sick   map[string]*ward
	spoilt map[state.TaskRef][]string // minions on which a task ended in failure, oldest first
	jobs   map[string][]string        // minions on which a job's tasks ended in failure
	Held   uint64                     // minions taken for sick so far
}

func newHealth(cfg HealthConfig) health {
	return health{cfg: cfg, scores: map[string]map[string]*score{}, totals: map[string]*score{}, sick: map[string]*ward{},
		spoilt: map[state.TaskRef][]string{}, jobs: map[string][]string{}}
}

func (h *health) score(minion, kind string) *score {
	if h.scores[minion] == nil {
		h.scores[minion] = map[string]*score{}
	}
	if h.scores[minion][kind] == nil {
		h.scores[minion][kind] = &score{}
	}
	return h.scores[minion][kind]
}

func (h *health) total(kind string) *score {
	if h.totals[kind] == nil {
		h.totals[kind] = &score{}
	}
	return h.totals[kind]
}

// blames is how many minions a job may spoil before its ends in failure are held against itself, not against them.
const blames = 2

// ended takes in how a run ended. A job that ends in failure on one minion after another is a job that cannot
// succeed: its ends tell nothing of the minions.
func (h *health) ended(now time.Duration, hd *state.Handle, well bool) {
	name, ref := hd.Worker, hd.Ref
	one, all := h.score(name, hd.Type), h.total(hd.Type)
	one.fade(now, h.cfg.HalfLife)
	all.fade(now, h.cfg.HalfLife)
	switch {
	case well:
		one.well++
		all.well++
		delete(h.spoilt, ref)
	default:
		if at := h.spoilt[ref]; !slices.Contains(at, name) {
			h.spoilt[ref] = append(at, name)
		}
		at := h.jobs[ref.Job]
		if !slices.Contains(at, name) {
			at = append(at, name)
			h.jobs[ref.Job] = at
		}
		if len(at) <= blames {
			one.spoilt++
			all.spoilt++
		}
	}
	w := h.sick[name]
	if w == nil || !w.probes[hd.RunID] {
		return
	}
	delete(w.probes, hd.RunID)
	if !well {
		w.cured, w.wait = 0, min(2*w.wait, h.cfg.ProbeMax)
		w.next = now + w.wait
		return
	}
	w.next = now
	if w.cured++; w.cured >= h.cfg.Cure {
		delete(h.sick, name)
		delete(h.scores, name) // a fresh start
	}
}

// lost takes in that a run is over without an end that tells anything.
func (h *health) lost(minion string, runID uint64) {
	if w := h.sick[minion]; w != nil {
		delete(w.probes, runID)
	}
}

// judge tells whether a minion is to be held sick now, for a type: it ends clearly more of it in failure than its
// peers do. zone counts the minions of its zone and those of them held sick.
func (h *health) judge(now time.Duration, name, kind string, zone, held int) bool {
	if h.cfg.Share == 0 || h.sick[name] != nil || float64(held+1) > max(1, h.cfg.Share*float64(zone)) {
		return false
	}
	one, all := *h.score(name, kind), *h.total(kind)
	one.fade(now, h.cfg.HalfLife)
	all.fade(now, h.cfg.HalfLife)
	if one.spoilt < h.cfg.Least {
		return false
	}
	peers := score{well: max(all.well-one.well, 0), spoilt: max(all.spoilt-one.spoilt, 0)}
	if peers.well < 1 { // nobody ends it well: the failure is not the minion's
		return false
	}
	if one.rate() < peers.rate()+h.cfg.Excess {
		return false
	}
	h.sick[name] = &ward{since: now, kind: kind, wait: h.cfg.Probe, next: now + h.cfg.Probe, probes: map[uint64]bool{}}
	h.Held++
	return true
}

// admits tells whether a minion may get another start now: a healthy one always, a sick one a single probe.
func (h *health) admits(now time.Duration, name string) bool {
	w := h.sick[name]
	return w == nil || len(w.probes) == 0 && now >= w.next
}

// probe notes that a run ID was given on a minion; on a sick one it is a probe.
func (h *health) probe(name string, runID uint64) {
	if w := h.sick[name]; w != nil {
		w.probes[runID] = true
	}
}

// shuns tells whether a task had better not run on a minion again: it ended in failure there.
func (h *health) shuns(ref state.TaskRef, name string) bool {
	return slices.Contains(h.spoilt[ref], name)
}

// forget lets go of what is held about jobs that are over.
func (h *health) forget(alive func(job string) bool) {
	for ref := range h.spoilt {
		if !alive(ref.Job) {
			delete(h.spoilt, ref)
		}
	}
	for job := range h.jobs {
		if !alive(job) {
			delete(h.jobs, job)
		}
	}
}
