package rpc

import "github.com/prometheus/client_golang/prometheus"

// BudgetMetrics are the figures of a Budget, as a prometheus.Collector.
type BudgetMetrics struct {
	budget                         *Budget
	connections, refused, reserved *prometheus.Desc
}

var _ prometheus.Collector = (*BudgetMetrics)(nil)

// NewBudgetMetrics makes the figures of a budget.
func NewBudgetMetrics(budget *Budget) *BudgetMetrics {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("crosstide_connections"+name, help, labels, nil)
	}
	return &BudgetMetrics{budget: budget,
		connections: desc("", "Connections, by use and state (open, waiting).", "use", "state"),
		reserved:    desc("_reserved", "Connections that nobody else can take, by use.", "use"),
		refused:     desc("_refused_total", "Connections that found no room, by use.", "use")}
}

// Describe tells the figures there are.
func (m *BudgetMetrics) Describe(out chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{m.connections, m.reserved, m.refused} {
		out <- desc
	}
}

// Collect gives the figures.
func (m *BudgetMetrics) Collect(out chan<- prometheus.Metric) {
	gauge := func(desc *prometheus.Desc, value int, labels ...string) {
		out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, float64(value), labels...)
	}
	for _, use := range m.budget.Use() {
		gauge(m.connections, use.Used, use.Name, "open")
		gauge(m.connections, use.Waiting, use.Name, "waiting")
		gauge(m.reserved, use.Least, use.Name)
		out <- prometheus.MustNewConstMetric(m.refused, prometheus.CounterValue, float64(use.Refused), use.Name)
	}
}
