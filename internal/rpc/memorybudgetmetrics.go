package rpc

import "github.com/prometheus/client_golang/prometheus"

// MemoryBudgetMetrics is the prometheus.Collector of a MemoryBudget. It reads the usage on each scrape.
type MemoryBudgetMetrics struct {
	budget                  *MemoryBudget
	used, reserved, refused *prometheus.Desc
}

var _ prometheus.Collector = (*MemoryBudgetMetrics)(nil)

// NewMemoryBudgetMetrics returns the collector of a budget, which may be nil.
func NewMemoryBudgetMetrics(budget *MemoryBudget) *MemoryBudgetMetrics {
	desc := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc(name, help, []string{"share"}, nil)
	}
	return &MemoryBudgetMetrics{budget: budget,
		used:     desc("crosstide_caller_memory_bytes", "Memory held for callers, by share."),
		reserved: desc("crosstide_caller_memory_reserved_bytes", "Memory reserved for one share, by share."),
		refused:  desc("crosstide_caller_memory_refused_total", "Reservations of memory that failed, by share.")}
}

// Describe sends the descriptions of the metrics.
func (m *MemoryBudgetMetrics) Describe(out chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{m.used, m.reserved, m.refused} {
		out <- desc
	}
}

// Collect sends the metrics.
func (m *MemoryBudgetMetrics) Collect(out chan<- prometheus.Metric) {
	for _, usage := range m.budget.Usage() {
		send := func(desc *prometheus.Desc, kind prometheus.ValueType, value float64) {
			out <- prometheus.MustNewConstMetric(desc, kind, value, usage.Name)
		}
		send(m.used, prometheus.GaugeValue, float64(usage.Used))
		send(m.reserved, prometheus.GaugeValue, float64(usage.Reserved))
		send(m.refused, prometheus.CounterValue, float64(usage.Refused))
	}
}
