package audit

import (
	"fmt"

	"crosstide/internal/testbed/journal"
)

// checkSingleRun checks that no two runs of a task overlap, that none starts after one that succeeded, and that no run
// ID is started twice. Cases are the runs.
func checkSingleRun(h History, f *Finding) {
	succeeded := successfulEnds(h)
	cut := 0
	for _, list := range spans(h) {
		for i, s := range list {
			f.Cases++
			if !s.isEndKnown {
				cut++
			}
			checkAfterEarlier(s, list[:i], f)
			if end, ok := succeeded[s.start.task()]; ok && end.At < s.start.At {
				f.violate("started after it had ended well", end, s.start)
			}
		}
	}
	checkOneStartPerRunID(h, f)
	if cut > 0 {
		f.Note = fmt.Sprintf("%d runs without an end, taken up to their minion's last line", cut)
	}
}

// checkAfterEarlier checks that the earlier runs of its task were over when s began.
func checkAfterEarlier(s span, earlier []span, f *Finding) {
	for _, other := range earlier {
		if other.to > s.start.At {
			f.violate("ran twice at once", other.start, s.start)
		}
	}
}

func checkOneStartPerRunID(h History, f *Finding) {
	started := map[uint64]Event{}
	for _, e := range h.filter(Worker, journal.Start) {
		if earlier, isTwice := started[e.RunID]; isTwice {
			f.violate("one ticket, two starts", earlier, e)
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

// checkRunIDsIncrease checks that every start has a run ID above all that its worker was ordered to start before, also
// in older incarnations, for a run ID is assigned to one incarnation only. Cases are the starts.
func checkRunIDsIncrease(h History, f *Finding) {
	for _, events := range h.byWorker() {
		var newest Event // order
		for _, e := range events {
			switch e.Event {
			case journal.Start:
				f.Cases++
				if e.RunID < newest.RunID {
					f.violate("a start with a ticket older than one seen", newest, e)
				}
			case journal.Order:
				if e.RunID > newest.RunID {
					newest = e
				}
			}
		}
	}
}

// checkFencing checks that once any run was started under an epoch, none starts under an older one. Cases are the
// starts after the first change of epoch.
func checkFencing(h History, f *Finding) {
	var newest, first Event
	for i, e := range h.filter(Worker, journal.Start) {
		if i == 0 {
			first = e
		}
		if e.Epoch < newest.Epoch && e.At > newest.At {
			f.violate("started by an old leader", newest, e)
		}
		if e.Epoch > newest.Epoch {
			newest = e
		}
		if e.Epoch != first.Epoch {
			f.Cases++
		}
	}
}
