package rpc

import "github.com/prometheus/client_golang/prometheus"

// ConnLimiterMetrics is the prometheus.Collector of a ConnLimiter. It reads the usage on each scrape.
type ConnLimiterMetrics struct {
	limiter                        *ConnLimiter
	connections, refused, reserved *prometheus.Desc
}

var _ prometheus.Collector = (*ConnLimiterMetrics)(nil)

// NewConnLimiterMetrics returns the collector of a limiter.
func NewConnLimiterMetrics(limiter *ConnLimiter) *ConnLimiterMetrics {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("crosstide_connections"+name, help, labels, nil)
	}
	return &ConnLimiterMetrics{limiter: limiter,
		connections: desc("", "Connections, by use and state (open, waiting).", "use", "state"),
		reserved:    desc("_reserved", "Connections reserved for one use, by use.", "use"),
		refused: desc("_refused_total",
			"Connections and calls rejected because the limit was reached, by use.", "use")}
}

// Describe sends the descriptions of the metrics.
func (m *ConnLimiterMetrics) Describe(out chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{m.connections, m.reserved, m.refused} {
		out <- desc
	}
}

// Collect sends the metrics.
func (m *ConnLimiterMetrics) Collect(out chan<- prometheus.Metric) {
	gauge := func(desc *prometheus.Desc, value int, labels ...string) {
		out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, float64(value), labels...)
	}
	for _, usage := range m.limiter.Usage() {
		gauge(m.connections, usage.Used, usage.Name, "open")
		gauge(m.connections, usage.Waiting, usage.Name, "waiting")
		gauge(m.reserved, usage.Reserved, usage.Name)
		out <- prometheus.MustNewConstMetric(m.refused, prometheus.CounterValue, float64(usage.Rejected), usage.Name)
	}
}
