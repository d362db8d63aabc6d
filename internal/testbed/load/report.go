package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"crosstide/internal/errs"
	"crosstide/internal/state"
	"crosstide/internal/testbed/journal"
)

// Report is what a load came to; its JSON is what `drill generator` prints.
type Report struct {
	Seed        uint64         `json:"seed"`
	Prefix      string         `json:"prefix"` // of the jobs' keys
	Offered     int            `json:"offered"`
	Accepted    int            `json:"accepted"`
	Done        int            `json:"done"`
	Failed      int            `json:"fault"`
	Cancelled   int            `json:"cancelled"`
	Unknown     int            `json:"unknown"`    // accepted, and answered 404 at least once
	Unfinished  int            `json:"unfinished"` // accepted, and not seen over
	Refused     map[string]int `json:"refused"`    // given up, by the last refusal; "lost": without any answer
	Overloaded  map[string]int `json:"overloaded"` // answers that sent a client to another node, by kind
	Retries     int            `json:"retries"`
	Polls       int            `json:"polls"`
	Cancels     int            `json:"cancels"` // acknowledged
	Dups        int            `json:"dups"`
	DupsRefused int            `json:"dups_refused"`
	Seconds     float64        `json:"seconds"` // from the first arrival to the last end
	Rate        float64        `json:"rate_offered"`
	StartsPerS  float64        `json:"starts_per_s"` // from the first start to the last, by the minions' journals
	Starts      int            `json:"starts"`
	Accept      Spread         `json:"accept_ms"`          // from the arrival of a job to its yes, retries and all
	ToStart     Spread         `json:"accept_to_start_ms"` // from the yes to the first start of the job
}

// Spread is a distribution in milliseconds.
type Spread struct {
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
	Count int64   `json:"count"`
}

// AllDone reports whether something was accepted, all of it is done, and none was ever unknown.
func (r Report) AllDone() bool {
	return r.Accepted > 0 && r.Done == r.Accepted && r.Unknown == 0
}

func (r *Report) end(phase state.JobPhase, missing bool) {
	switch phase {
	case state.JobDone:
		r.Done++
	case state.JobFailed:
		r.Failed++
	case state.JobCancelled:
		r.Cancelled++
	default:
		r.Unfinished++
	}
	if missing {
		r.Unknown++
	}
}

// overload records durations from a microsecond to an hour at three significant digits.
type latencies struct{ histogram *hdrhistogram.Histogram }

func newLatencies() *latencies {
	return &latencies{hdrhistogram.New(1, time.Hour.Microseconds(), 3)}
}

func (p *latencies) record(d time.Duration) {
	us := min(max(d.Microseconds(), 1), time.Hour.Microseconds())
	if err := p.histogram.RecordValue(us); err != nil {
		panic(err) // us is within the bounds
	}
}

func (p *latencies) spread() Spread {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	if p.histogram.TotalCount() == 0 {
		return Spread{}
	}
	return Spread{ms(p.histogram.ValueAtPercentile(50)), ms(p.histogram.ValueAtPercentile(90)), ms(p.histogram.ValueAtPercentile(99)),
		ms(p.histogram.Max()), p.histogram.TotalCount()}
}

// report puts the figures together, with the starts as the minions' journals tell them.
func (l *generator) report() (Report, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return l.counts, l.err
	}
	first := map[string]int64{}
	var from, to int64
	for line, err := range journal.Lines(l.opt.Dir) {
		if err != nil {
			return l.counts, errs.Pass(err, "starts")
		}
		e, err := line.Entry()
		if err != nil || e.Event != journal.Start {
			continue // not a minion's
		}
		if _, ours := l.acceptedAt[e.Job]; !ours {
			continue
		}
		l.counts.Starts++
		if at, ok := first[e.Job]; !ok || e.At < at {
			first[e.Job] = e.At
		}
		if from == 0 || e.At < from {
			from = e.At
		}
		to = max(to, e.At)
	}
	starts := newLatencies()
	for job, at := range first {
		starts.record(time.Duration(at - l.acceptedAt[job]))
	}
	r := &l.counts
	r.Seed, r.Prefix = l.opt.Seed, l.opt.Prefix
	r.Accept, r.ToStart = l.accept.spread(), starts.spread()
	if to > from {
		r.StartsPerS = float64(r.Starts-1) / time.Duration(to-from).Seconds()
	}
	return *r, nil
}
