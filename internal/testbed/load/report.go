package load

import (
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/state"
	"crosstide/internal/testbed/journal"
	"crosstide/internal/testbed/latency"
)

// Report is the result of a load; `crosstide-testbed load` prints it as JSON.
type Report struct {
	Seed              uint64         `json:"seed"`
	Prefix            string         `json:"prefix"` // of the jobs' keys
	Offered           int            `json:"offered"`
	Accepted          int            `json:"accepted"`
	Done              int            `json:"done"`
	Failed            int            `json:"fault"`
	Cancelled         int            `json:"cancelled"`
	Unknown           int            `json:"unknown"`    // accepted, and answered 404 at least once
	Unfinished        int            `json:"unfinished"` // accepted, but no poll returned a terminal state
	Refused           map[string]int `json:"refused"`    // given up, by reason of the last refusal; "lost": no answer
	Overloaded        map[string]int `json:"overloaded"` // transient refusals and lost answers, by reason
	Retries           int            `json:"retries"`
	Polls             int            `json:"polls"`
	Cancels           int            `json:"cancels"` // acknowledged
	Duplicates        int            `json:"dups"`
	DuplicatesRefused int            `json:"dups_refused"`
	Seconds           float64        `json:"seconds"` // from the first arrival to the last end
	Rate              float64        `json:"rate_offered"`
	StartsPerS        float64        `json:"starts_per_s"` // from the first start to the last in the workers' journals
	Starts            int            `json:"starts"`
	Accept            Spread         `json:"accept_ms"`          // from the arrival of a job to its acceptance
	ToStart           Spread         `json:"accept_to_start_ms"` // from the acceptance to the first start of the job
}

// Spread holds the quantiles of a distribution in milliseconds.
type Spread struct {
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
	Count int64   `json:"count"`
}

// AllDone reports whether jobs were accepted, all of them are done, and no poll of one was answered 404.
func (r Report) AllDone() bool {
	return r.Accepted > 0 && r.Done == r.Accepted && r.Unknown == 0
}

// addEnd counts an accepted job by its terminal phase, or as unfinished if phase is not terminal. wasMissing reports
// whether a poll of the job was ever answered 404.
func (r *Report) addEnd(phase state.JobPhase, wasMissing bool) {
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
	if wasMissing {
		r.Unknown++
	}
}

func spreadOf(h *latency.Histogram) Spread {
	ms := latency.Milliseconds
	return Spread{P50: ms(h.Quantile(50)), P90: ms(h.Quantile(90)), P99: ms(h.Quantile(99)),
		Max: ms(h.Max()), Count: h.Count()}
}

// report completes the counts with the starts of this load's jobs, which it reads from the workers' journals.
func (g *generator) report() (Report, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.err != nil {
		return g.counts, g.err
	}
	firstStart := map[string]int64{} // by job
	var from, to int64
	for line, err := range journal.Lines(g.options.Dir) {
		if err != nil {
			return g.counts, errs.Pass(err, "starts")
		}
		e, err := line.Entry()
		if err != nil || e.Event != journal.Start {
			continue // a line of another journal
		}
		if _, isOurs := g.acceptedAt[e.Job]; !isOurs {
			continue
		}
		g.counts.Starts++
		if at, ok := firstStart[e.Job]; !ok || e.At < at {
			firstStart[e.Job] = e.At
		}
		if from == 0 || e.At < from {
			from = e.At
		}
		to = max(to, e.At)
	}
	toStart := latency.New()
	for job, at := range firstStart {
		toStart.Record(max(time.Duration(at-g.acceptedAt[job]), time.Microsecond))
	}
	r := &g.counts
	r.Seed, r.Prefix = g.options.Seed, g.options.Prefix
	r.Accept, r.ToStart = spreadOf(g.accept), spreadOf(toStart)
	if to > from {
		r.StartsPerS = float64(r.Starts-1) / time.Duration(to-from).Seconds()
	}
	return *r, nil
}
