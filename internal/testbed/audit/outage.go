package audit

import (
	"time"

	"crosstide/internal/testbed/journal"
	"crosstide/internal/testbed/load"
)

// Outage is how long the service was unavailable after a fault, in seconds. A negative value means that the journals
// hold no such acceptance or start after the fault.
type Outage struct {
	FirstAccept float64 `json:"first_accept_s"` // until the first acceptance of a job submitted after the fault
	FirstStart  float64 `json:"first_start_s"`  // until the first start of a run
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
	outage := Outage{FirstAccept: -1}
	for _, e := range accepted {
		if e.At > at && isNew[e.Job] {
			outage.FirstAccept = e.since(at).Seconds()
			break
		}
	}
	_, outage.AcceptGap = gaps(accepted, at)
	outage.FirstStart, outage.StartGap = gaps(h.filter(Worker, journal.Start), at)
	return outage
}

// gaps returns, in seconds, the time from at (Unix ns) to the first later event, and the longest time without an event
// from at to the last event. Both are negative if there is no later event. events must be sorted by time.
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
