package audit

import (
	"cmp"
	"maps"
	"slices"

	"crosstide/internal/testbed/journal"
)

// span is the period in which a run was certainly in progress.
type span struct {
	start      Event
	to         int64 // Unix ns
	isEndKnown bool  // false: no end was journaled, and to is the time of its worker's last line
}

// spans returns the span of every run, by task and in order of their starts. A run ends with its end, stop or expire
// line. A run without such a line is counted up to the first of these that applies:
//
//   - the testbed's line that it killed the worker, if the same incarnation wrote nothing afterwards (the time of that
//     line is from just before the kill, and it is written only for a live process);
//   - the last line that its worker wrote in the same incarnation, because a worker that was killed by something else,
//     or is frozen, leaves no other trace.
//
// A run whose lease expired while its worker was frozen did nothing from the freeze on: the worker writes the expire
// line when it is continued. If the testbed journaled the freeze, the run is counted up to it; a freeze that was not
// journaled shows as an overlap.
//
// So a span is never longer than its run, and two overlapping spans prove a violation. Work that continued after the
// worker's last line is not detected; the note of the finding counts these runs. A worker kills the runs that are left
// over before it reports a new incarnation, so no run outlasts its incarnation.
func spans(h History) map[task][]span {
	kills, freezes := h.filter(Testbed, Kill), h.filter(Testbed, Freeze)
	byWorker := h.byWorker()
	byTask := map[task][]span{}
	for _, worker := range slices.Sorted(maps.Keys(byWorker)) {
		for _, s := range spansOf(byWorker[worker], kills, freezes) {
			byTask[s.start.task()] = append(byTask[s.start.task()], s)
		}
	}
	for _, list := range byTask {
		slices.SortStableFunc(list, func(a, b span) int { return byTime(a.start, b.start) })
	}
	return byTask
}

// spansOf returns the spans of one worker's runs, the last start first. events must be in the order in which the worker
// wrote them.
func spansOf(events, kills, freezes []Event) []span {
	lastLine := map[string]int64{} // Unix ns, by incarnation
	for _, e := range events {
		lastLine[e.Incarnation] = max(lastLine[e.Incarnation], e.At)
	}
	type run struct {
		incarnation string
		runID       uint64
	}
	ends := map[run]Event{}
	var runs []span
	for _, e := range slices.Backward(events) { // backwards: each start of a run ID gets the first end after it
		id := run{e.Incarnation, e.RunID}
		switch e.Event {
		case journal.End, journal.Stop, journal.Expire:
			ends[id] = e
		case journal.Start:
			if end, isEndKnown := ends[id]; isEndKnown {
				runs = append(runs, endedSpan(e, end, freezes))
			} else {
				runs = append(runs, unendedSpan(e, lastLine[e.Incarnation], kills))
			}
		}
	}
	return runs
}

// endedSpan returns the span of a run whose end was journaled: up to its end, or up to a freeze of its worker during
// which its lease expired.
func endedSpan(start, end Event, freezes []Event) span {
	freeze, wasFrozen := firstAbout(freezes, start.Worker, start.At)
	if wasFrozen && end.Event == journal.Expire && freeze.At < end.At {
		return span{start, freeze.At, true}
	}
	return span{start, end.At, true}
}

// unendedSpan returns the span of a run whose end was never journaled: up to the kill that followed the last line of
// the worker's incarnation, or up to that line if no kill was journaled.
func unendedSpan(start Event, lastLine int64, kills []Event) span {
	if kill, wasKilled := firstAbout(kills, start.Worker, lastLine); wasKilled {
		return span{start, kill.At, true}
	}
	return span{start, lastLine, false}
}

// firstAbout returns the first event about node whose time is from or later, if there is one.
func firstAbout(events []Event, node string, from int64) (Event, bool) {
	i := slices.IndexFunc(events, func(e Event) bool { return e.Node == node && e.At >= from })
	if i < 0 {
		return Event{}, false
	}
	return events[i], true
}

// flatten returns the spans of all tasks, sorted by their starts.
func flatten(byTask map[task][]span) []span {
	var flat []span
	for _, list := range byTask {
		flat = append(flat, list...)
	}
	slices.SortFunc(flat, func(a, b span) int { return cmp.Compare(a.start.At, b.start.At) })
	return flat
}
