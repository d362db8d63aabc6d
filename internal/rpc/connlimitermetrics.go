package rpc

import "github.com/prometheus/client_golang/prometheus"

// ConnLimiterMetrics are the figures of a Budget, as a prometheus.Collector.
type ConnLimiterMetrics struct {
	limiter                        *ConnLimiter
	connections, refused, reserved *prometheus.Desc
}

var _ prometheus.Collector = (*ConnLimiterMetrics)(nil)

// NewConnLimiterMetrics makes the figures of a budget.
func NewConnLimiterMetrics(limiter *ConnLimiter) *ConnLimiterMetrics {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("crosstide_connections"+name, help, labels, nil)
	}
	return &ConnLimiterMetrics{limiter: limiter,
		connections: desc("", "Connections, by use and state (open, waiting).", "use", "state"),
		reserved:    desc("_reserved", "Connections that nobody else can take, by use.", "use"),
		refused:     desc("_refused_total", "Connections that found no room, by use.", "use")}
}

// Describe tells the figures there are.
func (m *ConnLimiterMetrics) Describe(out chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{m.connections, m.reserved, m.refused} {
		out <- desc
	}
}

// Collect gives the figures.
func (m *ConnLimiterMetrics) Collect(out chan<- prometheus.Metric) {
	gauge := func(desc *prometheus.Desc, value int, labels ...string) {
		out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, float64(value), labels...)
	}
	for _, use := range m.limiter.Usage() {
		gauge(m.connections, use.Used, use.Name, "open")
		gauge(m.connections, use.Waiting, use.Name, "waiting")
		gauge(m.reserved, use.Reserved, use.Name)
		out <- prometheus.MustNewConstMetric(m.refused, prometheus.CounterValue, float64(use.Rejected), use.Name)
	}
}
