package membership

import "github.com/prometheus/client_golang/prometheus"

// collector are read when they are asked for.
type collector struct{ node *Node }

var (
	descSize     = prometheus.NewDesc("crosstide_membership_nodes", "Nodes known: neighbours, suspects among them, cplanes in the directory.", []string{"of"}, nil)
	descShuffles = prometheus.NewDesc("crosstide_membership_shuffles_total", "Shuffles: sent, taken, without an answer, and sent to seeds.", []string{"how"}, nil)
	descSuspects = prometheus.NewDesc("crosstide_membership_suspects_total", "Neighbours that were suspected, and of those dropped.", []string{"what"}, nil)
)

// Describe sends the descriptions.
func (g *collector) Describe(to chan<- *prometheus.Desc) {
	to <- descSize
	to <- descShuffles
	to <- descSuspects
}

// Collect returns the figures of now.
func (g *collector) Collect(to chan<- prometheus.Metric) {
	g.node.mu.Lock()
	neighbours, controlPlanes := g.node.core.Size()
	c, suspects := g.node.core.Counters, 0
	for _, e := range g.node.core.neighbours {
		if e.suspected {
			suspects++
		}
	}
	g.node.mu.Unlock()
	for of, v := range map[string]int{"view": neighbours, "suspects": suspects, "core": controlPlanes} {
		to <- prometheus.MustNewConstMetric(descSize, prometheus.GaugeValue, float64(v), of)
	}
	for how, v := range map[string]uint64{"sent": c.Shuffles, "taken": c.Received, "failed": c.Failures, "seed": c.SeedVisits} {
		to <- prometheus.MustNewConstMetric(descShuffles, prometheus.CounterValue, float64(v), how)
	}
	for what, v := range map[string]uint64{"suspected": c.Suspects, "dropped": c.Dropped} {
		to <- prometheus.MustNewConstMetric(descSuspects, prometheus.CounterValue, float64(v), what)
	}
}
