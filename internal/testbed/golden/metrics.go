package golden

import (
	"github.com/prometheus/client_golang/prometheus"
)

// Metrics lists the names, help texts and labels of the metrics that collectors describe.
func Metrics(label string, collectors ...prometheus.Collector) string {
	lines := map[string]bool{}
	for _, c := range collectors {
		descs := make(chan *prometheus.Desc, 1000)
		c.Describe(descs)
		close(descs)
		for d := range descs {
			lines[d.String()] = true
		}
	}
	return Lines(label, sortedKeys(lines)...)
}

// Descs is a collector for use with Metrics. It describes the metrics of a collector whose own Describe omits them.
type Descs []*prometheus.Desc

// Describe sends the descriptions.
func (d Descs) Describe(to chan<- *prometheus.Desc) {
	for _, desc := range d {
		to <- desc
	}
}

// Collect sends no metrics: Metrics reads only descriptions.
func (Descs) Collect(chan<- prometheus.Metric) {}

// Registry is a prometheus.Registerer that stores registered collectors for use with Metrics.
type Registry struct{ Collectors []prometheus.Collector }

// Register appends c to Collectors.
func (r *Registry) Register(c prometheus.Collector) error {
	r.Collectors = append(r.Collectors, c)
	return nil
}

// MustRegister appends c to Collectors.
func (r *Registry) MustRegister(c ...prometheus.Collector) { r.Collectors = append(r.Collectors, c...) }

// Unregister has no effect and returns false.
func (*Registry) Unregister(prometheus.Collector) bool { return false }
