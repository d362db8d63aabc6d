package fleet

import (
	"bytes"
	"context"
	"iter"
	"net/http"
	"strings"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"crosstide/internal/errs"
)

const scrapeTimeout = 5 * time.Second

// Metrics holds the values of a node's series, by NAME or NAME{label="value",…} with the labels sorted by name. A
// histogram or summary has the two series NAME_sum and NAME_count.
type Metrics map[string]float64

// Series iterates over the series of a name. It yields the labels as text, without the opening brace, and the value.
func (m Metrics) Series(name string) iter.Seq2[string, float64] {
	return func(yield func(string, float64) bool) {
		for key, value := range m {
			if series, labels, _ := strings.Cut(key, "{"); series == name && !yield(labels, value) {
				return
			}
		}
	}
}

// Sum adds up all series of a name.
func (m Metrics) Sum(name string) float64 {
	total := 0.0
	for _, value := range m.Series(name) {
		total += value
	}
	return total
}

// Scrape reads GET /metrics of a node; size is the length of the answer in bytes. Failures: Timeout (no answer),
// Malformed (an error status, or the answer cannot be parsed). Example:
//
//	metrics, _, err := fleet.Scrape(ctx, caller, node.Addr)
//	syncs := metrics.Sum("crosstide_store_sync_seconds_count")
func Scrape(ctx context.Context, c *Caller, addr string) (metrics Metrics, size int, err error) {
	reply, err := c.Call(ctx, http.MethodGet, addr, "/metrics", nil, scrapeTimeout)
	if err != nil {
		return nil, 0, errs.Pass(err, "metrics of %s", addr)
	}
	if !reply.IsSuccess() {
		return nil, 0, errs.New(errs.Malformed, "metrics of %s: status %d", addr, reply.Status)
	}
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(reply.Body))
	if err != nil {
		return nil, 0, errs.Wrap(err, errs.Malformed, "metrics of %s", addr)
	}
	metrics = Metrics{}
	for name, family := range families {
		for _, m := range family.GetMetric() {
			metrics.add(name, labelsOf(m), m)
		}
	}
	return metrics, len(reply.Body), nil
}

// labelsOf returns the labels of a series as text, in the order in which the node sent them: sorted by name.
func labelsOf(m *dto.Metric) string {
	var labels []string
	for _, label := range m.GetLabel() {
		labels = append(labels, label.GetName()+`="`+label.GetValue()+`"`)
	}
	if len(labels) == 0 {
		return ""
	}
	return "{" + strings.Join(labels, ",") + "}"
}

func (m Metrics) add(name, labels string, metric *dto.Metric) {
	switch {
	case metric.GetHistogram() != nil:
		m[name+"_sum"+labels] = metric.GetHistogram().GetSampleSum()
		m[name+"_count"+labels] = float64(metric.GetHistogram().GetSampleCount())
	case metric.GetSummary() != nil:
		m[name+"_sum"+labels] = metric.GetSummary().GetSampleSum()
		m[name+"_count"+labels] = float64(metric.GetSummary().GetSampleCount())
	case metric.GetCounter() != nil:
		m[name+labels] = metric.GetCounter().GetValue()
	case metric.GetGauge() != nil:
		m[name+labels] = metric.GetGauge().GetValue()
	default:
		m[name+labels] = metric.GetUntyped().GetValue()
	}
}
