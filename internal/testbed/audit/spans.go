package audit

import (
	"cmp"
	"maps"
	"slices"

	"crosstide/internal/testbed/journal"
)

// span is the period in which a run was in progress beyond doubt.
type span struct {
	start      Event
	to         int64 // Unix ns
	isEndKnown bool  // false: it was never seen to end, to is its worker's last sign of life
}

// spans returns the run of every start. A run ends with its end, stop or expire line. One without such a line is taken
// to have run up to the first of:
//
//   - the testbed's line that it killed the worker (it is written just before, and only for a live process), if the
//     same incarnation wrote nothing afterwards;
//   - the last line its worker wrote in the same incarnation, for a worker that was killed by others (or is frozen)
//     leaves no other trace.
//
// A run whose lease expired while its worker was frozen did nothing from the freeze on: the expire line is written on
// waking. Where the testbed noted the freeze, the run is taken to end with it; a freeze that nobody noted shows as an
// overlap.
//
// So a span is never longer than the run was, and an overlap of two is a proof. What ran on unseen after its worker's
// last line is not found; the finding's note counts the runs that were cut so. A worker kills its leftovers before it
// reports a new incarnation, whose line follows: no run reaches past its incarnation.
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

// spansOf returns the runs of one worker, the last one first, by its events in the order they were written.
func spansOf(events, kills, freezes []Event) []span {
	lastLine := map[string]int64{} // of an incarnation
	for _, e := range events {
		lastLine[e.Incarnation] = max(lastLine[e.Incarnation], e.At)
	}
	type run struct {
		incarnation string
		runID       uint64
	}
	ends := map[run]Event{}
	var found []span
	for _, e := range slices.Backward(events) { // from the end, so that a run ID started twice ends twice
		id := run{e.Incarnation, e.RunID}
		switch e.Event {
		case journal.End, journal.Stop, journal.Expire:
			ends[id] = e
		case journal.Start:
			if end, isEndKnown := ends[id]; isEndKnown {
				found = append(found, endedSpan(e, end, freezes))
			} else {
				found = append(found, cutSpan(e, lastLine[e.Incarnation], kills))
			}
		}
	}
	return found
}

// endedSpan returns the span of a run whose end was journaled: up to that, or to a freeze in which its lease expired.
func endedSpan(start, end Event, freezes []Event) span {
	freeze, wasFrozen := firstAbout(freezes, start.Worker, start.At)
	if wasFrozen && end.Event == journal.Expire && freeze.At < end.At {
		return span{start, freeze.At, true}
	}
	return span{start, end.At, true}
}

// cutSpan returns the span of a run whose end was never journaled: up to the kill that followed its worker's last line,
// else up to that line.
func cutSpan(start Event, lastLine int64, kills []Event) span {
	if kill, wasKilled := firstAbout(kills, start.Worker, lastLine); wasKilled {
		return span{start, kill.At, true}
	}
	return span{start, lastLine, false}
}

// firstAbout returns the first event about node at or after from, if there is one.
func firstAbout(events []Event, node string, from int64) (Event, bool) {
	i := slices.IndexFunc(events, func(e Event) bool { return e.Node == node && e.At >= from })
	if i < 0 {
		return Event{}, false
	}
	return events[i], true
}

// flatten returns all spans in order of their starts.
func flatten(byTask map[task][]span) []span {
	var flat []span
	for _, list := range byTask {
		flat = append(flat, list...)
	}
	slices.SortFunc(flat, func(a, b span) int { return cmp.Compare(a.start.At, b.start.At) })
	return flat
}
