package audit

import (
	"time"

	"crosstide/internal/testbed/journal"
	"crosstide/internal/testbed/load"
)

// Outage reports how long the service was away after a blow, in seconds; below 0: it was not seen to come back.
type Outage struct {
	FirstAccept float64 `json:"first_accept_s"` // until the yes to a job that was first handed in after the blow
	FirstStart  float64 `json:"first_start_s"`  // until a run started after the blow
	AcceptGap   float64 `json:"accept_gap_s"`   // the longest time without a yes, from the blow to the last yes
	StartGap    float64 `json:"start_gap_s"`    // the longest time without a start, from the blow to the last start
}

// MeasureOutage measures the outage after a blow. Example:
//
//	outage := audit.MeasureOutage(history, killedAt)
func MeasureOutage(h History, faultAt time.Time) Outage {
	at := faultAt.UnixNano()
	fresh := map[string]bool{}
	for _, e := range h.filter(Client, load.Submit) {
		fresh[e.Job] = e.At > at
	}
	yes := h.filter(Client, load.Accepted)
	starts := h.filter(Worker, journal.Start)
	out := Outage{FirstAccept: -1}
	for _, e := range yes {
		if e.At > at && fresh[e.Job] {
			out.FirstAccept = e.since(at).Seconds()
			break
		}
	}
	_, out.AcceptGap = gaps(yes, at)
	out.FirstStart, out.StartGap = gaps(starts, at)
	return out
}

// gaps returns the time from at to the first of events in order, and the longest between two; below 0: none came.
func gaps(events []Event, at int64) (first, longest float64) {
	first, longest = -1, -1
	last := at
	for _, e := range events {
		if e.At <= at {
			continue
		}
		gap := e.since(last).Seconds()
		if last == at {
			first = gap
		}
		longest, last = max(longest, gap), e.At
	}
	return first, longest
}
