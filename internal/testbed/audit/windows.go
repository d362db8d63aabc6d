package audit

import (
	"math"
	"time"

	"crosstide/internal/testbed/journal"
)

// window is a period in Unix ns, both ends included. While it is open, to is math.MaxInt64.
type window struct {
	event    Event // opened the window
	from, to int64
}

func (w window) contains(at int64) bool { return at >= w.from && at <= w.to }

// windows pairs the events that open a window with those that close it, by key. events must be sorted by time. An event
// that opens a window that is already open is ignored, as is one that closes none.
func windows(events []Event, key func(Event) string, opens func(Event) bool) map[string][]window {
	byKey := map[string][]window{}
	for _, e := range events {
		k := key(e)
		list := byKey[k]
		isOpen := len(list) > 0 && list[len(list)-1].to == math.MaxInt64
		switch {
		case opens(e) && !isOpen:
			byKey[k] = append(list, window{e, e.At, math.MaxInt64})
		case !opens(e) && isOpen:
			list[len(list)-1].to = e.At
		}
	}
	return byKey
}

// reportedDrains returns, by worker, the drains that the workers reported. A new incarnation ends a drain.
func reportedDrains(h History) map[string][]window {
	return windows(h.filter(Worker, journal.Drain, journal.NewIncarnation), func(e Event) string { return e.Worker },
		func(e Event) bool { return e.Event == journal.Drain && e.OK })
}

// orderedDrains returns, by worker, the drains that operators ordered.
func orderedDrains(h History) map[string][]window {
	return windows(h.filter(Operator, Drain, Undrain), func(e Event) string { return e.Node },
		func(e Event) bool { return e.Event == Drain })
}

// evacuations returns, by zone, the evacuations that operators ordered.
func evacuations(h History) map[string][]window {
	return windows(h.filter(Operator, Evacuate, Lift), func(e Event) string { return e.Zone },
		func(e Event) bool { return e.Event == Evacuate })
}

// startedOn accepts the starts on a worker.
func startedOn(worker string) func(Event) bool {
	return func(e Event) bool { return e.Worker == worker }
}

// startedIn accepts the starts in a zone.
func startedIn(zone string) func(Event) bool { return func(e Event) bool { return e.Zone == zone } }

// checkDrain checks that nothing runs on a worker that has been draining for longer than drainGrace, counted from the
// worker's own report and from the operator's order.
func checkDrain(h History, f *Finding) {
	runs := flatten(spans(h))
	for _, drains := range []map[string][]window{reportedDrains(h), orderedDrains(h)} {
		for worker, list := range drains {
			f.checkNoRuns(list, drainGrace, runs, startedOn(worker), "on a draining minion")
		}
	}
}

// checkEvacuation checks that nothing runs in a zone that has been evacuated for longer than evacuateGrace.
func checkEvacuation(h History, f *Finding) {
	runs := flatten(spans(h))
	for zone, list := range evacuations(h) {
		f.checkNoRuns(list, evacuateGrace, runs, startedIn(zone), "in an evacuated zone")
	}
}

// checkNoRuns adds a violation for each run whose start isAffected accepts and that started in a window after the
// grace, or was certainly still in progress then. Each window is a case.
func (f *Finding) checkNoRuns(list []window, grace time.Duration, runs []span, isAffected func(Event) bool,
	where string) {
	for _, w := range list {
		f.Cases++
		latest := w.from + int64(grace)
		for _, s := range runs {
			switch {
			case !isAffected(s.start) || s.start.At >= w.to:
			case s.start.At > latest:
				f.violate("started "+where, w.event, s.start)
			case s.isEndKnown && min(s.to, w.to) > latest:
				f.violate("still ran "+where, w.event, s.start)
			}
		}
	}
}
