package golden

import (
	"github.com/prometheus/client_golang/prometheus"
)

// Metrics lists the figures that collectors describe: names, help texts, labels.
func Metrics(label string, collectors ...prometheus.Collector) string {
	found := map[string]bool{}
	for _, c := range collectors {
		descs := make(chan *prometheus.Desc, 1000)
		c.Describe(descs)
		close(descs)
		for d := range descs {
			found[d.String()] = true
		}
	}
	return Lines(label, sorted(found)...)
}

// Descs is a collector, for Metrics, in place of one whose descriptions are known but not announced by its Describe.
type Descs []*prometheus.Desc

// Describe sends the descriptions.
func (d Descs) Describe(to chan<- *prometheus.Desc) {
	for _, desc := range d {
		to <- desc
	}
}

// Collect sends nothing: Metrics reads descriptions only.
func (Descs) Collect(chan<- prometheus.Metric) {}

// Registry is a prometheus.Registerer that keeps what is registered, for Metrics.
type Registry struct{ Collectors []prometheus.Collector }

// Register keeps c.
func (r *Registry) Register(c prometheus.Collector) error {
	r.Collectors = append(r.Collectors, c)
	return nil
}

// MustRegister keeps the collectors.
func (r *Registry) MustRegister(c ...prometheus.Collector) { r.Collectors = append(r.Collectors, c...) }

// Unregister does nothing and reports so.
func (*Registry) Unregister(prometheus.Collector) bool { return false }
