package membership

import "github.com/prometheus/client_golang/prometheus"

// collector implements prometheus.Collector for a node. It reads the values at each scrape.
type collector struct{ node *Node }

var (
	descSize = prometheus.NewDesc("crosstide_membership_nodes",
		"Known nodes: neighbours, suspects among them, control-plane nodes in the directory.", []string{"of"}, nil)
	descShuffles = prometheus.NewDesc("crosstide_membership_shuffles_total",
		"Shuffles: sent, received (taken), sent without an answer (failed), sent to seeds.", []string{"how"}, nil)
	descSuspects = prometheus.NewDesc("crosstide_membership_suspects_total",
		"Neighbours that became suspects, and suspects that were removed (dropped).", []string{"what"}, nil)
)

// Describe sends the descriptions of the metrics.
func (*collector) Describe(to chan<- *prometheus.Desc) {
	to <- descSize
	to <- descShuffles
	to <- descSuspects
}

// Collect sends the current values.
func (c *collector) Collect(to chan<- prometheus.Metric) {
	c.node.mu.Lock()
	neighbours, suspects, directory := c.node.core.Size()
	counters := c.node.core.Counters
	c.node.mu.Unlock()
	gauge := func(value int, label string) {
		to <- prometheus.MustNewConstMetric(descSize, prometheus.GaugeValue, float64(value), label)
	}
	counter := func(desc *prometheus.Desc, value uint64, label string) {
		to <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(value), label)
	}
	gauge(neighbours, "view")
	gauge(suspects, "suspects")
	gauge(directory, "core")
	counter(descShuffles, counters.Shuffles, "sent")
	counter(descShuffles, counters.Received, "taken")
	counter(descShuffles, counters.Failures, "failed")
	counter(descShuffles, counters.SeedVisits, "seed")
	counter(descSuspects, counters.Suspects, "suspected")
	counter(descSuspects, counters.Dropped, "dropped")
}
