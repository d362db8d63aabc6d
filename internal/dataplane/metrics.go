package dataplane

import (
	"github.com/prometheus/client_golang/prometheus"

	"crosstide/internal/dataplane/scheduler"
)

// Collector shows a node's Figures to Prometheus.
type Collector struct {
	node *Node
	desc map[string]*prometheus.Desc
}

// NewCollector makes the collector of a node's figures.
func NewCollector(n *Node) *Collector {
	m := &Collector{node: n, desc: map[string]*prometheus.Desc{}}
	for name, help := range map[string]string{
		"replica_index": "Log index the replica is at.", "replica_changes_total": "Changes applied.",
		"replica_bytes_total": "Bytes of changes and snapshots taken in.", "replica_snapshots_total": "Snapshots taken in.",
		"sched_holder": "1 while this node holds sched.", "sched_epoch": "Epoch of the duty held, else 0.",
		"sched_queue_length": "Due tasks waiting for a run ID.", "sched_plans_total": "Plans proposed.",
		"sched_plan_failures_total": "Plans without a good answer.", "sched_run_ids_total": "Run IDs given.",
		"sched_refused_total": "Starts refused by the store or a minion.", "sched_sent_total": "Start orders written.",
		"sched_ends_total": "Ends listed.", "sched_end_failures_total": "Ends in failure listed.", "sched_doubts_total": "Handles in doubt.",
		"sched_stops_total": "Stop orders sent.", "sched_call_failures_total": "Hold calls without an answer.",
		"sched_crossed_total": "Answers dropped as crossed.", "state_jobs": "Jobs kept.", "state_handles": "Handles out.",
		"state_minions": "Minions known.", "state_inbox": "Jobs in the inbox.",
	} {
		m.desc[name] = prometheus.NewDesc("crosstide_"+name, help, nil, nil)
	}
	m.desc["sched_sick"] = prometheus.NewDesc("crosstide_sched_sick", "1 for each minion held sick.", []string{"minion"}, nil)
	m.desc["sched_dry"] = prometheus.NewDesc("crosstide_sched_dry_tasks", "Due tasks that wait for a top-up, by party.", []string{"party"}, nil)
	m.desc["dead"] = prometheus.NewDesc("crosstide_sched_dead_total", "Handles proved dead, by proof.", []string{"proof"}, nil)
	m.desc["running"] = prometheus.NewDesc("crosstide_sched_running", "Handles out, by type of job.", []string{"type"}, nil)
	return m
}

// Describe sends the descriptions.
func (m *Collector) Describe(to chan<- *prometheus.Desc) {
	for _, d := range m.desc {
		to <- d
	}
}

// Collect sends the figures.
func (m *Collector) Collect(to chan<- prometheus.Metric) {
	f := m.node.Figures()
	gauge := func(name string, v float64) {
		to <- prometheus.MustNewConstMetric(m.desc[name], prometheus.GaugeValue, v)
	}
	count := func(name string, v uint64) {
		to <- prometheus.MustNewConstMetric(m.desc[name], prometheus.CounterValue, float64(v))
	}
	holder := 0.0
	if f.Phase == scheduler.Ready {
		holder = 1
	}
	gauge("replica_index", float64(f.Index))
	gauge("sched_holder", holder)
	gauge("sched_epoch", float64(f.Epoch))
	gauge("sched_queue_length", float64(f.QueueLength))
	gauge("state_jobs", float64(f.Jobs))
	gauge("state_handles", float64(f.Handles))
	gauge("state_minions", float64(f.Workers))
	gauge("state_inbox", float64(f.Inbox))
	count("replica_changes_total", f.Changes)
	count("replica_bytes_total", f.Bytes)
	count("replica_snapshots_total", f.Snapshots)
	c := f.Counts
	count("sched_plans_total", c.Plans)
	count("sched_plan_failures_total", c.PlanFailures)
	count("sched_run_ids_total", c.RunIDs)
	count("sched_refused_total", c.Refused)
	count("sched_sent_total", c.Sent)
	count("sched_ends_total", c.Ended)
	count("sched_end_failures_total", c.FailedEnds)
	count("sched_doubts_total", c.Unconfirmed)
	count("sched_stops_total", c.Stops)
	count("sched_call_failures_total", c.CallFailures)
	count("sched_crossed_total", c.StaleAnswers)
	for _, name := range f.UnhealthyWorkers {
		to <- prometheus.MustNewConstMetric(m.desc["sched_sick"], prometheus.GaugeValue, 1, name)
	}
	for party, n := range f.TasksAwaitingTopUp {
		to <- prometheus.MustNewConstMetric(m.desc["sched_dry"], prometheus.GaugeValue, float64(n), party)
	}
	for why, n := range c.ProvedDead {
		to <- prometheus.MustNewConstMetric(m.desc["dead"], prometheus.CounterValue, float64(n), why)
	}
	for kind, n := range f.RunningCounts {
		to <- prometheus.MustNewConstMetric(m.desc["running"], prometheus.GaugeValue, float64(n), kind)
	}
}
