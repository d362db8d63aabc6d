package audit

import (
	"time"

	"crosstide/internal/testbed/journal"
	"crosstide/internal/testbed/load"
)

// Outage is how long the service was away after a fault, in seconds; below 0: it was not seen to come back.
type Outage struct {
	FirstAccept float64 `json:"first_accept_s"` // until a job was accepted that was first submitted after the fault
	FirstStart  float64 `json:"first_start_s"`  // until a run started after the fault
	AcceptGap   float64 `json:"accept_gap_s"`   // the longest time without an acceptance, up to the last one
	StartGap    float64 `json:"start_gap_s"`    // the longest time without a start, up to the last one
}

// MeasureOutage measures the outage after a fault. Example:
//
//	outage := audit.MeasureOutage(history, killedAt)
func MeasureOutage(h History, faultAt time.Time) Outage {
	at := faultAt.UnixNano()
	isNew := map[string]bool{} // jobs first submitted after the fault
	for _, e := range h.filter(Client, load.Submit) {
		isNew[e.Job] = e.At > at
	}
	accepted := h.filter(Client, load.Accepted)
	out := Outage{FirstAccept: -1}
	for _, e := range accepted {
		if e.At > at && isNew[e.Job] {
			out.FirstAccept = e.since(at).Seconds()
			break
		}
	}
	_, out.AcceptGap = gaps(accepted, at)
	out.FirstStart, out.StartGap = gaps(h.filter(Worker, journal.Start), at)
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
