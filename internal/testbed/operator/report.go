package operator

import "crosstide/internal/testbed/latency"

// Report is the result of Run; `crosstide-testbed bundles` prints it as JSON.
type Report struct {
	Seed            uint64         `json:"seed"`
	Changes         int            `json:"changes"` // versions that came into force
	Puts            int            `json:"puts"`    // drafts that were accepted
	Races           int            `json:"races"`
	BothWon         int            `json:"both_won"` // races in which both drafts were accepted
	Repeats         int            `json:"repeats"`  // orders that were sent again after their answer
	RepeatsDiffer   int            `json:"repeats_differ"`
	ReadBacks       int            `json:"read_backs"`
	ReadBacksDiffer int            `json:"read_backs_differ"`
	Invalid         int            `json:"invalid"`       // invalid bundles that were sent
	InvalidTaken    int            `json:"invalid_taken"` // those that were not refused with all their errors
	Evacuations     int            `json:"evacuations"`
	LiftsWrong      int            `json:"lifts_wrong"`    // evacuations lifted by one signature, or not lifted by two
	NotEverywhere   int            `json:"not_everywhere"` // changes not on every node within rolloutTimeout
	Unconfirmed     int            `json:"mute"`           // times that a data plane could not confirm its version
	Unanswered      int            `json:"unsure"`         // orders without an answer within orderTimeout
	Retries         int            `json:"retries"`
	Refused         map[string]int `json:"refused"`              // final answers that refuse an order, by kind of error
	Acks            Spread         `json:"sign_to_ack_ms"`       // of the signature that put a version in force
	Everywhere      Spread         `json:"ack_to_everywhere_ms"` // to the last node, per change; 0: already there
	Node            Spread         `json:"ack_to_node_ms"`       // to each node
	FromForce       Spread         `json:"commit_to_node_ms"`    // from the store's time of the commit to each node
}

// IsClean reports whether a version came into force and no violation of an invariant was counted.
func (r Report) IsClean() bool {
	violations := r.BothWon + r.RepeatsDiffer + r.ReadBacksDiffer + r.NotEverywhere + r.InvalidTaken + r.LiftsWrong
	return r.Changes > 0 && violations == 0
}

// Spread holds the quantiles of a distribution in milliseconds.
type Spread struct {
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
	Count int64   `json:"count"`
}

func spreadOf(h *latency.Histogram) Spread {
	ms := latency.Milliseconds
	return Spread{P50: ms(h.Quantile(50)), P99: ms(h.Quantile(99)), Max: ms(h.Max()), Count: h.Count()}
}

// report returns the completed counts. It is called when no order is in flight.
func (o *session) report() Report {
	r := o.counts
	r.Seed = o.Seed
	r.Acks, r.Everywhere = spreadOf(o.fromSign), spreadOf(o.toEverywhere)
	r.Node, r.FromForce = spreadOf(o.toNode), spreadOf(o.fromForce)
	return r
}
