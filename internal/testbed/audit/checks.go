package audit

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"crosstide/internal/state"
	"crosstide/internal/testbed/journal"
	"crosstide/internal/testbed/load"
)

// span is the time a run surely ran.
type span struct {
	start    Event
	to       int64 // Unix ns
	endKnown bool  // false: it was never seen to end, to is its minion's last sign of life
}

// spans returns the run of every start. A run ends with its end, stop or lapse line. One without such a line is
// taken to have run up to the first of:
//
//   - the drill's note that it killed the minion (it is written just before, and only for a live process), if the
//     same boot wrote nothing afterwards;
//   - the last line its minion wrote under the same boot, for a minion that was killed by others (or is frozen)
//     leaves no other trace.
//
// A run whose hold lapsed while its minion was frozen did nothing from the freeze on: the lapse line is written
// on waking. Where the drill noted the freeze, the run is taken to end with it; a freeze that nobody noted shows
// as an overlap.
//
// So a span is never longer than the run was, and an overlap of two is a proof. What ran on unseen after its
// minion's last line is not found; the finding's note counts the runs that were cut so. A minion kills its
// leftovers before it reports under a new boot, which the new boot's line follows: no run reaches past its boot.
func spans(h History) map[task][]span {
	kills, freezes := h.filter(Testbed, Kill), h.filter(Testbed, Freeze)
	out := map[task][]span{}
	byWorker := h.byWorker()
	for _, name := range slices.Sorted(maps.Keys(byWorker)) {
		events := byWorker[name]
		last := map[string]int64{}
		for _, e := range events {
			last[e.Incarnation] = max(last[e.Incarnation], e.At)
		}
		type key struct {
			incarnation string
			runID       uint64
		}
		closed := map[key]Event{}
		for i := len(events) - 1; i >= 0; i-- { // from the end, so that a run ID started twice closes twice
			e := events[i]
			k := key{e.Incarnation, e.RunID}
			switch e.Event {
			case journal.End, journal.Stop, journal.Expire:
				closed[k] = e
			case journal.Start:
				s := span{start: e, to: last[e.Incarnation]}
				end, endKnown := closed[k]
				note, noted := Event{}, false
				if s.endKnown = endKnown; endKnown {
					s.to = end.At
					note, noted = firstAbout(freezes, name, e.At)
					noted = noted && end.Event == journal.Expire && note.At < end.At
				} else {
					note, noted = firstAbout(kills, name, s.to)
				}
				if noted {
					s.to, s.endKnown = note.At, true
				}
				out[e.task()] = append(out[e.task()], s)
			}
		}
	}
	for _, list := range out {
		slices.SortStableFunc(list, func(a, b span) int { return int(min(max(a.start.At-b.start.At, -1), 1)) })
	}
	return out
}

// firstAbout returns the first of events about a node from a time on.
func firstAbout(events []Event, node string, from int64) (Event, bool) {
	i := slices.IndexFunc(events, func(e Event) bool { return e.Node == node && e.At >= from })
	if i < 0 {
		return Event{}, false
	}
	return events[i], true
}

// checkSingleRun: no two runs of a task at once, none after one that ended well, no run ID started twice.
func checkSingleRun(h History, f *Finding) {
	all := spans(h)
	well := successfulEnds(h)
	cut := 0
	for _, list := range all {
		for i, s := range list {
			f.Cases++
			if !s.endKnown {
				cut++
			}
			for _, prev := range list[:i] {
				if prev.to > s.start.At {
					f.violate("ran twice at once", prev.start, s.start)
				}
			}
			if e, ok := well[s.start.task()]; ok && e.At < s.start.At {
				f.violate("started after it had ended well", e, s.start)
			}
		}
	}
	started := map[uint64]Event{}
	for _, e := range h.filter(Worker, journal.Start) {
		if prev, twice := started[e.RunID]; twice {
			f.violate("one ticket, two starts", prev, e)
		}
		started[e.RunID] = e
	}
	if cut > 0 {
		f.Note = fmt.Sprintf("%d runs without an end, taken up to their minion's last line", cut)
	}
}

// successfulEnds returns the first good end of every task.
func successfulEnds(h History) map[task]Event {
	out := map[task]Event{}
	for _, e := range h.filter(Worker, journal.End) {
		if _, ok := out[e.task()]; e.OK && !ok {
			out[e.task()] = e
		}
	}
	return out
}

// checkRunIDsIncrease: every start carries a run ID above all that its minion was ordered to start before, also under older
// boots, for a run ID is given for one boot only.
func checkRunIDsIncrease(h History, f *Finding) {
	for _, events := range h.byWorker() {
		var top Event
		for _, e := range events {
			switch e.Event {
			case journal.Start:
				f.Cases++
				if e.RunID < top.RunID {
					f.violate("a start with a ticket older than one seen", top, e)
				}
			case journal.Order:
				if e.RunID > top.RunID {
					top = e
				}
			}
		}
	}
}

// checkFencing: once any run was started under an epoch, none starts under an older one. Cases are the starts after the
// first change of epoch.
func checkFencing(h History, f *Finding) {
	var top, first Event
	for i, e := range h.filter(Worker, journal.Start) {
		if i == 0 {
			first = e
		}
		if e.Epoch < top.Epoch && e.At > top.At {
			f.violate("started by an old leader", top, e)
		}
		if e.Epoch > top.Epoch {
			top = e
		}
		if e.Epoch != first.Epoch {
			f.Cases++
		}
	}
}

// checkPlacement: a run's minion bears the labels that the client asked for (by the accepted job, else by the order), and
// the start is within the placement policy of its queue.
func checkPlacement(h History, f *Finding) {
	asked := map[[2]string]map[string]string{}
	for _, e := range h.filter(Client, load.Accepted) {
		for _, s := range e.Steps {
			asked[[2]string{e.Job, s.Name}] = s.Labels
		}
	}
	for _, events := range h.byWorker() {
		var incarnation Event
		for _, e := range events {
			switch e.Event {
			case journal.NewIncarnation:
				incarnation = e
			case journal.Start:
				want, ok := asked[[2]string{e.Job, e.Step}]
				if !ok {
					want = e.Labels
				}
				if len(want) > 0 {
					f.Cases++
				}
				for k, v := range want {
					if have, ok := incarnation.Labels[k]; !ok || have != v {
						f.violate("label "+k+" is not borne", incarnation, e)
						break
					}
				}
			}
		}
	}
	checkPlacementPolicy(h, f)
}

// window is a time in which nothing may start; to is open unless lifted.
type window struct {
	event    Event
	from, to int64
}

// windows pairs the events that open a window with those that close it, by key.
func windows(events []Event, key func(Event) string, opens func(Event) bool) map[string][]window {
	out := map[string][]window{}
	for _, e := range events {
		k := key(e)
		list := out[k]
		open := len(list) > 0 && list[len(list)-1].to == math.MaxInt64
		switch {
		case opens(e) && !open:
			out[k] = append(list, window{e, e.At, math.MaxInt64})
		case !opens(e) && open:
			list[len(list)-1].to = e.At
		}
	}
	return out
}

// checkDrain: no run on a minion that has been draining for longer than the grace, as it or an operator said.
func checkDrain(h History, f *Finding) {
	own := windows(h.filter(Worker, journal.Drain, journal.NewIncarnation), func(e Event) string { return e.Worker },
		func(e Event) bool { return e.Event == journal.Drain && e.OK })
	ordered := windows(h.filter(Operator, Drain, Undrain), func(e Event) string { return e.Node },
		func(e Event) bool { return e.Event == Drain })
	runs := flatten(spans(h))
	for _, all := range []map[string][]window{own, ordered} {
		for name, list := range all {
			for _, w := range list {
				f.Cases++
				f.checkNoRuns(w, drainGrace, runs, func(e Event) bool { return e.Worker == name }, "on a draining minion")
			}
		}
	}
}

func flatten(all map[task][]span) []span {
	var out []span
	for _, list := range all {
		out = append(out, list...)
	}
	slices.SortFunc(out, func(a, b span) int { return cmp.Compare(a.start.At, b.start.At) })
	return out
}

// checkNoRuns breaks the promise for runs that started in w, or were surely still running, later than the grace.
func (f *Finding) checkNoRuns(w window, grace time.Duration, runs []span, of func(Event) bool, where string) {
	late := w.from + int64(grace)
	for _, s := range runs {
		switch {
		case !of(s.start) || s.start.At >= w.to:
		case s.start.At > late:
			f.violate("started "+where, w.event, s.start)
		case s.endKnown && min(s.to, w.to) > late:
			f.violate("still ran "+where, w.event, s.start)
		}
	}
}

// checkEvacuation: no run in a zone that has been evacuated for longer than the grace.
func checkEvacuation(h History, f *Finding) {
	runs := flatten(spans(h))
	for zone, list := range windows(h.filter(Operator, Evacuate, Lift), func(e Event) string { return e.Zone },
		func(e Event) bool { return e.Event == Evacuate }) {
		for _, w := range list {
			f.Cases++
			f.checkNoRuns(w, evacuateGrace, runs, func(e Event) bool { return e.Zone == zone }, "in an evacuated zone")
		}
	}
}

// checkCancel: no start of a job later than the grace after its cancel was acknowledged.
func checkCancel(h History, f *Finding) {
	acked := map[string]Event{}
	for _, e := range h.filter(Client, load.Cancelled) {
		if _, ok := acked[e.Job]; !ok {
			acked[e.Job] = e
			f.Cases++
		}
	}
	for _, e := range h.filter(Worker, journal.Start) {
		if c, ok := acked[e.Job]; ok && e.since(c.At) > cancelGrace {
			f.violate("started after its cancel", c, e)
		}
	}
}

// checkKnown: no poll of an accepted job says that it is not there, later than the grace after its yes. Cases are the
// accepted jobs that were polled.
func checkKnown(h History, f *Finding) {
	yes := acceptedJobs(h)
	polled := map[string]bool{}
	early := 0
	for _, e := range h.filter(Client, load.Poll) {
		a, ok := yes[e.Job]
		if !ok {
			continue
		}
		polled[e.Job] = true
		switch {
		case e.State != load.Missing:
		case e.since(a.At) > knownGrace:
			f.violate("accepted, then unknown", a, e)
		case e.At >= a.At:
			early++
		}
	}
	f.Cases = len(polled)
	if early > 0 {
		f.Note = fmt.Sprintf("%d polls found no job within the grace", early)
	}
}

func acceptedJobs(h History) map[string]Event {
	out := map[string]Event{}
	for _, e := range h.filter(Client, load.Accepted) {
		if _, ok := out[e.Job]; !ok {
			out[e.Job] = e
		}
	}
	return out
}

// checkDone: when a poll shows a job as done, every task of it has ended well before.
func checkDone(h History, f *Finding) {
	yes, well := acceptedJobs(h), successfulEnds(h)
	seen := map[string]bool{}
	for _, e := range h.filter(Client, load.Poll) {
		a, ok := yes[e.Job]
		if !ok || e.State != string(state.JobDone) || seen[e.Job] {
			continue
		}
		seen[e.Job] = true
		f.Cases++
		for _, s := range a.Steps {
			for n := range s.Tasks {
				end, ok := well[task{e.Job, s.Name, n}]
				if !ok || end.At > e.At {
					f.violate(fmt.Sprintf("shown as done, step %s task %d had not ended well", s.Name, n), a, e)
				}
			}
		}
	}
}

// checkRepair: after a disk was wiped and another core machine was killed, all that was accepted before is still
// known. Cases are wipes with a later kill of another node and a poll after that.
func checkRepair(h History, f *Finding) {
	polls, yes := h.filter(Client, load.Poll), acceptedJobs(h)
	for _, w := range h.filter(Testbed, Wipe) {
		for _, k := range h.filter(Testbed, Kill) {
			if k.Node == w.Node || k.At < w.At || len(k.Node) == 0 || k.Node[0] != w.Node[0] {
				continue
			}
			looked := false
			for _, p := range polls {
				a, ok := yes[p.Job]
				if !ok || a.At > k.At || p.At < k.At {
					continue
				}
				looked = true
				if p.State == load.Missing && p.since(a.At) > knownGrace {
					f.violate("lost after a repair and a second loss", w, k, a, p)
				}
			}
			if looked {
				f.Cases++
			}
			break
		}
	}
}
