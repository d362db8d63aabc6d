package audit

import (
	"fmt"

	"crosstide/internal/testbed/journal"
)

// checkSingleRun checks that no two runs of a task overlap, that none starts after another has succeeded, and that no
// run ID is started twice. Cases are the runs.
func checkSingleRun(h History, f *Finding) {
	succeeded := successfulEnds(h)
	withoutEnd := 0
	for _, list := range spans(h) {
		for i, s := range list {
			f.Cases++
			if !s.isEndKnown {
				withoutEnd++
			}
			checkNoOverlap(s, list[:i], f)
			if end, ok := succeeded[s.start.task()]; ok && end.At < s.start.At {
				f.violate("started after its task had succeeded", end, s.start)
			}
		}
	}
	checkOneStartPerRunID(h, f)
	if withoutEnd > 0 {
		f.Note = fmt.Sprintf("%d runs without an end, counted up to their minion's last line", withoutEnd)
	}
}

// checkNoOverlap checks that the earlier runs of the same task had ended when s began.
func checkNoOverlap(s span, earlier []span, f *Finding) {
	for _, other := range earlier {
		if other.to > s.start.At {
			f.violate("two runs of a task at once", other.start, s.start)
		}
	}
}

func checkOneStartPerRunID(h History, f *Finding) {
	started := map[uint64]Event{}
	for _, e := range h.filter(Worker, journal.Start) {
		if earlier, isTwice := started[e.RunID]; isTwice {
			f.violate("one ticket started twice", earlier, e)
		}
		started[e.RunID] = e
	}
}

// successfulEnds returns the first success of every task.
func successfulEnds(h History) map[task]Event {
	ends := map[task]Event{}
	for _, e := range h.filter(Worker, journal.End) {
		if _, ok := ends[e.task()]; e.OK && !ok {
			ends[e.task()] = e
		}
	}
	return ends
}

// checkRunIDsIncrease checks that no start has a run ID below one that its worker was ordered to start before. Orders
// to older incarnations count too, because a run ID is assigned to one incarnation only. Cases are the starts.
func checkRunIDsIncrease(h History, f *Finding) {
	for _, events := range h.byWorker() {
		var newest Event // the order with the highest run ID
		for _, e := range events {
			switch e.Event {
			case journal.Start:
				f.Cases++
				if e.RunID < newest.RunID {
					f.violate("started with a ticket older than one ordered before", newest, e)
				}
			case journal.Order:
				if e.RunID > newest.RunID {
					newest = e
				}
			}
		}
	}
}

// checkFencing checks that no run starts under an older epoch than one that started before it, on any worker. Cases are
// the starts under another epoch than that of the first start.
func checkFencing(h History, f *Finding) {
	var newest, first Event
	for i, e := range h.filter(Worker, journal.Start) {
		if i == 0 {
			first = e
		}
		if e.Epoch < newest.Epoch && e.At > newest.At {
			f.violate("started under an older epoch", newest, e)
		}
		if e.Epoch > newest.Epoch {
			newest = e
		}
		if e.Epoch != first.Epoch {
			f.Cases++
		}
	}
}
