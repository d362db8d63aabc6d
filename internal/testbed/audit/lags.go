package audit

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"crosstide/internal/testbed/journal"
	"crosstide/internal/testbed/load"
)

// Lag is how long the fleet took to follow what it was told, over all cases of a kind. A case that nothing had to
// follow any more counts as 0.
type Lag struct {
	What  string        `json:"what"`
	Cases int           `json:"cases"`
	P50   time.Duration `json:"p50_ns"`
	P99   time.Duration `json:"p99_ns"`
	Max   time.Duration `json:"max_ns"`
}

// newLag puts durations together.
func newLag(what string, all []time.Duration) Lag {
	h := hdrhistogram.New(1, time.Hour.Microseconds(), 3)
	for _, d := range all {
		_ = h.RecordValue(min(d.Microseconds(), time.Hour.Microseconds()))
	}
	l := Lag{What: what, Cases: len(all)}
	if len(all) > 0 {
		l.P50 = time.Duration(h.ValueAtPercentile(50)) * time.Microsecond
		l.P99 = time.Duration(h.ValueAtPercentile(99)) * time.Microsecond
		l.Max = slices.Max(all)
	}
	return l
}

// Lags measures, by the journals alone: from a cancel's acknowledgement to the last start and to the last end of
// its job, from a drain to the last start and to the last end on its minion, and from an evacuation's
// acknowledgement to the last start and to the last end in its zone. A run that was never seen to end is left out.
func Lags(h History) []Lag {
	runs := flatten(spans(h))
	byJob := map[string][]span{}
	for _, s := range runs {
		byJob[s.start.Job] = append(byJob[s.start.Job], s)
	}
	last := func(runs []span, w window, of func(Event) bool) (start, end time.Duration) {
		for _, s := range runs {
			if s.start.At >= w.to || s.to <= w.from || !of(s.start) {
				continue
			}
			start = max(start, time.Duration(s.start.At-w.from))
			if s.endKnown {
				end = max(end, time.Duration(min(s.to, w.to)-w.from))
			}
		}
		return start, end
	}
	var out []Lag
	add := func(what string, starts, successfulEnds []time.Duration) {
		out = append(out, newLag(what+" to last start", starts), newLag(what+" to last end", successfulEnds))
	}
	var starts, successfulEnds []time.Duration
	for _, e := range h.filter(Client, load.Cancelled) {
		s, t := last(byJob[e.Job], window{from: e.At, to: 1<<63 - 1}, func(Event) bool { return true })
		starts, successfulEnds = append(starts, s), append(successfulEnds, t)
	}
	add("cancel", starts, successfulEnds)
	over := func(what string, all map[string][]window, of func(name string) func(Event) bool) {
		starts, successfulEnds = nil, nil
		for name, list := range all {
			for _, w := range list {
				s, t := last(runs, w, of(name))
				starts, successfulEnds = append(starts, s), append(successfulEnds, t)
			}
		}
		add(what, starts, successfulEnds)
	}
	onWorker := func(name string) func(Event) bool { return func(e Event) bool { return e.Worker == name } }
	over("drain reported", windows(h.filter(Worker, journal.Drain, journal.NewIncarnation), func(e Event) string { return e.Worker },
		func(e Event) bool { return e.Event == journal.Drain && e.OK }), onWorker)
	over("drain ordered", windows(h.filter(Operator, Drain, Undrain), func(e Event) string { return e.Node },
		func(e Event) bool { return e.Event == Drain }), onWorker)
	over("evacuation", windows(h.filter(Operator, Evacuate, Lift), func(e Event) string { return e.Zone },
		func(e Event) bool { return e.Event == Evacuate }), func(zone string) func(Event) bool {
		return func(e Event) bool { return e.Zone == zone }
	})
	return out
}
