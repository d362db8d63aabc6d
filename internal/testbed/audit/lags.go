package audit

import (
	"math"
	"slices"
	"time"

	"crosstide/internal/testbed/latency"
	"crosstide/internal/testbed/load"
)

// Lag is the distribution of how long the fleet took to carry out orders of one kind. An order that affected no run
// counts as 0.
type Lag struct {
	Name  string        `json:"what"`
	Cases int           `json:"cases"`
	P50   time.Duration `json:"p50_ns"`
	P99   time.Duration `json:"p99_ns"`
	Max   time.Duration `json:"max_ns"`
}

func newLag(what string, cases []time.Duration) Lag {
	h := latency.New()
	for _, d := range cases {
		h.Record(d)
	}
	l := Lag{Name: what, Cases: len(cases), P50: h.Quantile(50), P99: h.Quantile(99)}
	if len(cases) > 0 {
		l.Max = slices.Max(cases)
	}
	return l
}

// lagCases holds the durations of one kind of order, one per order.
type lagCases struct{ toLastStart, toLastEnd []time.Duration }

// add measures one order, which opens w: the time to the last start and to the last end, within w, of the runs whose
// start isAffected accepts.
func (l *lagCases) add(w window, runs []span, isAffected func(Event) bool) {
	var start, end time.Duration
	for _, s := range runs {
		if s.start.At >= w.to || s.to <= w.from || !isAffected(s.start) {
			continue
		}
		start = max(start, time.Duration(s.start.At-w.from))
		if s.isEndKnown {
			end = max(end, time.Duration(min(s.to, w.to)-w.from))
		}
	}
	l.toLastStart, l.toLastEnd = append(l.toLastStart, start), append(l.toLastEnd, end)
}

func (l *lagCases) lags(what string) []Lag {
	return []Lag{newLag(what+" to last start", l.toLastStart), newLag(what+" to last end", l.toLastEnd)}
}

// Lags measures from the journals alone how long orders take: from the acknowledgement of a cancel to the last start
// and the last end of a run of its job, from a drain to those on its worker, and from the acknowledgement of an
// evacuation to those in its zone. A run without a known end does not count for the last end.
func Lags(h History) []Lag {
	runs := flatten(spans(h))
	byJob := map[string][]span{}
	for _, s := range runs {
		byJob[s.start.Job] = append(byJob[s.start.Job], s)
	}
	var cancels lagCases
	for _, e := range h.filter(Client, load.Cancelled) {
		cancels.add(window{from: e.At, to: math.MaxInt64}, byJob[e.Job], func(Event) bool { return true })
	}
	lags := cancels.lags("cancel")
	for _, kind := range []struct {
		what       string
		windows    map[string][]window
		isAffected func(name string) func(Event) bool
	}{
		{"drain reported", reportedDrains(h), startedOn},
		{"drain ordered", orderedDrains(h), startedOn},
		{"evacuation", evacuations(h), startedIn},
	} {
		var cases lagCases
		for name, list := range kind.windows {
			for _, w := range list {
				cases.add(w, runs, kind.isAffected(name))
			}
		}
		lags = append(lags, cases.lags(kind.what)...)
	}
	return lags
}
