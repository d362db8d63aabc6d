package audit

import (
	"math"
	"slices"
	"time"

	"crosstide/internal/testbed/latency"
	"crosstide/internal/testbed/load"
)

// Lag is how long the fleet took to carry out orders of one kind. A case in which no run was concerned counts as 0.
type Lag struct {
	What  string        `json:"what"`
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
	l := Lag{What: what, Cases: len(cases), P50: h.Quantile(50), P99: h.Quantile(99)}
	if len(cases) > 0 {
		l.Max = slices.Max(cases)
	}
	return l
}

// lagCases collects the cases of one kind of order.
type lagCases struct{ toLastStart, toLastEnd []time.Duration }

// add measures one case: from the order, which opens w, to the last start and to the last end of the runs of concern.
func (l *lagCases) add(w window, runs []span, concerns func(Event) bool) {
	var start, end time.Duration
	for _, s := range runs {
		if s.start.At >= w.to || s.to <= w.from || !concerns(s.start) {
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

// Lags measures, by the journals alone: from a cancel's acknowledgement to the last start and to the last end of
// its job, from a drain to the last start and to the last end on its worker, and from an evacuation's
// acknowledgement to the last start and to the last end in its zone. A run that was never seen to end is left out.
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
		what     string
		windows  map[string][]window
		concerns func(name string) func(Event) bool
	}{
		{"drain reported", reportedDrains(h), startedOn},
		{"drain ordered", orderedDrains(h), startedOn},
		{"evacuation", evacuations(h), startedIn},
	} {
		var cases lagCases
		for name, list := range kind.windows {
			for _, w := range list {
				cases.add(w, runs, kind.concerns(name))
			}
		}
		lags = append(lags, cases.lags(kind.what)...)
	}
	return lags
}
