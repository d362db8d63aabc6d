package fleet

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"crosstide/internal/errs"
)

// Metrics are a node's metrics: by name, and by name{label="value",…} with the labels in order of their names. A
// histogram or summary gives name_sum and name_count.
type Metrics map[string]float64

// Sum adds up all series of a name whose labels contain every one of parts.
func (f Metrics) Sum(name string, parts ...string) float64 {
	total := 0.0
next:
	for key, v := range f {
		series, labels, _ := strings.Cut(key, "{")
		if series != name {
			continue
		}
		for _, p := range parts {
			if !strings.Contains(labels, p) {
				continue next
			}
		}
		total += v
	}
	return total
}

// Scrape reads GET /metrics of a node. Faults: Timeout (no answer), Malformed (no metrics). Example:
//
//	now, err := fleet.Scrape(ctx, caller, jobsnode.Addr)
//	syncs := now.Sum("crosstide_store_sync_seconds_count")
func Scrape(ctx context.Context, c *Caller, addr string) (Metrics, error) {
	reply, err := c.Call(ctx, http.MethodGet, addr, "/metrics", nil, 5*time.Second)
	if err != nil {
		return nil, errs.Pass(err, "metrics of %s", addr)
	}
	if !reply.IsSuccess() {
		return nil, errs.New(errs.Malformed, "metrics of %s: status %d", addr, reply.Status)
	}
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(reply.Body))
	if err != nil {
		return nil, errs.Wrap(err, errs.Malformed, "metrics of %s", addr)
	}
	out := Metrics{}
	for name, family := range families {
		for _, m := range family.GetMetric() {
			labels := ""
			for i, l := range m.GetLabel() { // the text format has them sorted
				if i > 0 {
					labels += ","
				}
				labels += l.GetName() + `="` + l.GetValue() + `"`
			}
			if labels != "" {
				labels = "{" + labels + "}"
			}
			switch {
			case m.GetHistogram() != nil:
				out[name+"_sum"+labels] = m.GetHistogram().GetSampleSum()
				out[name+"_count"+labels] = float64(m.GetHistogram().GetSampleCount())
			case m.GetSummary() != nil:
				out[name+"_sum"+labels] = m.GetSummary().GetSampleSum()
				out[name+"_count"+labels] = float64(m.GetSummary().GetSampleCount())
			case m.GetCounter() != nil:
				out[name+labels] = m.GetCounter().GetValue()
			case m.GetGauge() != nil:
				out[name+labels] = m.GetGauge().GetValue()
			default:
				out[name+labels] = m.GetUntyped().GetValue()
			}
		}
	}
	return out, nil
}
