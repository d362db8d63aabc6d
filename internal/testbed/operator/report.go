package operator

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is what the operators' work came to; its JSON is what `drill bundles` prints.
type Report struct {
	Seed            uint64         `json:"seed"`
	Changes         int            `json:"changes"` // versions that came in force
	Puts            int            `json:"puts"`
	Races           int            `json:"races"`
	BothWon         int            `json:"both_won"` // races in which both heard yes
	Repeats         int            `json:"repeats"`  // orders that were sent once more after their answer
	RepeatsDiffer   int            `json:"repeats_differ"`
	ReadBacks       int            `json:"read_backs"`
	ReadBacksDiffer int            `json:"read_backs_differ"`
	Invalid         int            `json:"invalid"` // texts with mistakes
	InvalidTaken    int            `json:"invalid_taken"`
	Evacuations     int            `json:"evacuations"`
	LiftsWrong      int            `json:"lifts_wrong"`    // lifted by one, or not by two
	NotEverywhere   int            `json:"not_everywhere"` // changes that some node did not have within 5 s
	Unconfirmed     int            `json:"mute"`           // times a dplane could not confirm its version, or did not answer
	Unanswered      int            `json:"unsure"`         // orders without an answer in 30 s
	Retries         int            `json:"retries"`
	Refused         map[string]int `json:"refused"`
	Acks            Spread         `json:"sign_to_ack_ms"`       // of the signature that put a version in force
	Everywhere      Spread         `json:"ack_to_everywhere_ms"` // from that to the last node, per change; 0: it was there before
	Node            Spread         `json:"ack_to_node_ms"`       // to each node
	FromForce       Spread         `json:"commit_to_node_ms"`    // from the commit's store time to each node
}

// IsClean reports whether something changed and nothing was amiss.
func (r Report) IsClean() bool {
	return r.Changes > 0 && r.BothWon+r.RepeatsDiffer+r.ReadBacksDiffer+r.NotEverywhere+r.InvalidTaken+r.LiftsWrong == 0
}

// Spread is a distribution in milliseconds.
type Spread struct {
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
	Count int64   `json:"count"`
}

// overload records durations in microseconds up to an hour at three significant digits.
type latencies struct{ histogram *hdrhistogram.Histogram }

func newLatencies() *latencies { return &latencies{hdrhistogram.New(1, time.Hour.Microseconds(), 3)} }

func (p *latencies) record(d time.Duration) {
	if err := p.histogram.RecordValue(min(max(d.Microseconds(), 0), time.Hour.Microseconds())); err != nil {
		panic(err) // it is within the bounds
	}
}

func (p *latencies) spread() Spread {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Spread{ms(p.histogram.ValueAtPercentile(50)), ms(p.histogram.ValueAtPercentile(99)), ms(p.histogram.Max()), p.histogram.TotalCount()}
}

// queue is a placement policy for the queue that the load uses: some zones, now and then with more.
func (o *session) queue() map[string]any {
	zones := []string{}
	for _, k := range o.rng.Perm(len(o.zones))[:1+o.rng.IntN(len(o.zones))] {
		zones = append(zones, o.zones[k])
	}
	q := map[string]any{"placement": map[string]any{"zones": zones}, "urgent": o.rng.IntN(2) == 0}
	if o.rng.IntN(3) == 0 {
		q["hold"] = "15s"
	}
	return q
}

// text is a whole bundle, spelled in some way.
func (o *session) text() []byte {
	queues := map[string]any{"default": o.queue()}
	for range o.rng.IntN(4) {
		queues[string(rune('a'+o.rng.IntN(26)))+"-queue"] = o.queue()
	}
	doc := map[string]any{"queues": queues, "limits": map[string]int{"scan": 1 + o.rng.IntN(200)},
		"weights": map[string]int{"drill": 1 + o.rng.IntN(9)}}
	raw, err := json.MarshalIndent(doc, strings.Repeat("\t", o.rng.IntN(2)), strings.Repeat(" ", o.rng.IntN(5)))
	if err != nil {
		panic(err) // maps of strings and numbers
	}
	return append(raw, strings.Repeat("\n", o.rng.IntN(3))...)
}
