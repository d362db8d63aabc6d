package dataplane

import (
	"maps"

	"github.com/prometheus/client_golang/prometheus"

	"crosstide/internal/dataplane/scheduler"
)

// figures are the values of a node's metrics, all read under one lock.
type figures struct {
	// Of the replica.
	Index, Changes, Bytes, Snapshots uint64
	Jobs, Handles, Workers, Inbox    int
	RunningCounts                    map[string]int // handles by task type

	// Of the scheduler.
	Phase              scheduler.Phase
	Epoch              uint64
	QueueLength        int
	Counts             scheduler.Counts
	UnhealthyWorkers   []string       // by name
	TasksAwaitingTopUp map[string]int // due tasks that their party's balance does not cover, by party
}

// figures reads the present values.
func (n *Node) figures() figures {
	st := n.replica.Lock()
	defer n.replica.Unlock()
	f := figures{
		Index: st.Index, Changes: n.replica.Changes, Bytes: n.replica.Bytes, Snapshots: n.replica.Snapshots,
		Jobs: len(st.Jobs), Handles: len(st.Handles), Workers: len(st.Workers), Inbox: len(st.Inbox),
		RunningCounts: st.RunningCounts(),

		Phase: n.scheduler.Phase(), Epoch: n.scheduler.Epoch(), QueueLength: n.scheduler.QueueLength(),
		Counts: n.scheduler.Counts, UnhealthyWorkers: n.scheduler.UnhealthyWorkers(),
		TasksAwaitingTopUp: n.scheduler.TasksAwaitingTopUp(),
	}
	f.Counts.ProvedDead = maps.Clone(n.scheduler.Counts.ProvedDead) // the scheduler keeps writing to its own map
	return f
}

// metric is a metric without labels.
type metric struct {
	name, help string // name without "crosstide_"
	kind       prometheus.ValueType
	value      func(figures) float64
}

func gauge(name, help string, value func(figures) int) metric {
	return metric{name, help, prometheus.GaugeValue, func(f figures) float64 { return float64(value(f)) }}
}

func counter(name, help string, value func(figures) uint64) metric {
	return metric{name, help, prometheus.CounterValue, func(f figures) float64 { return float64(value(f)) }}
}

var metrics = []metric{
	gauge("replica_index", "Log index the replica is at.", func(f figures) int { return int(f.Index) }),
	counter("replica_changes_total", "Changes applied.", func(f figures) uint64 { return f.Changes }),
	counter("replica_bytes_total", "Bytes of changes and snapshots taken in.",
		func(f figures) uint64 { return f.Bytes }),
	counter("replica_snapshots_total", "Snapshots taken in.", func(f figures) uint64 { return f.Snapshots }),

	gauge("sched_holder", "1 while this node holds sched.", func(f figures) int {
		if f.Phase == scheduler.Ready {
			return 1
		}
		return 0
	}),
	gauge("sched_epoch", "Epoch of the duty held, else 0.", func(f figures) int { return int(f.Epoch) }),
	gauge("sched_queue_length", "Due tasks waiting for a run ID.", func(f figures) int { return f.QueueLength }),
	counter("sched_plans_total", "Plans proposed.", func(f figures) uint64 { return f.Counts.Plans }),
	counter("sched_plan_failures_total", "Plans without a good answer.",
		func(f figures) uint64 { return f.Counts.PlanFailures }),
	counter("sched_run_ids_total", "Run IDs given.", func(f figures) uint64 { return f.Counts.RunIDs }),
	counter("sched_refused_total", "Starts refused by the store or a minion.",
		func(f figures) uint64 { return f.Counts.Refused }),
	counter("sched_sent_total", "Start orders written.", func(f figures) uint64 { return f.Counts.Sent }),
	counter("sched_ends_total", "Ends listed.", func(f figures) uint64 { return f.Counts.Ended }),
	counter("sched_end_failures_total", "Ends in failure listed.",
		func(f figures) uint64 { return f.Counts.FailedEnds }),
	counter("sched_doubts_total", "Handles in doubt.", func(f figures) uint64 { return f.Counts.Unconfirmed }),
	counter("sched_stops_total", "Stop orders sent.", func(f figures) uint64 { return f.Counts.Stops }),
	counter("sched_call_failures_total", "Hold calls without an answer.",
		func(f figures) uint64 { return f.Counts.CallFailures }),
	counter("sched_crossed_total", "Answers dropped as crossed.",
		func(f figures) uint64 { return f.Counts.StaleAnswers }),

	gauge("state_jobs", "Jobs kept.", func(f figures) int { return f.Jobs }),
	gauge("state_handles", "Handles out.", func(f figures) int { return f.Handles }),
	gauge("state_minions", "Minions known.", func(f figures) int { return f.Workers }),
	gauge("state_inbox", "Jobs in the inbox.", func(f figures) int { return f.Inbox }),
}

// Collector collects a node's metrics. It implements prometheus.Collector.
type Collector struct {
	node  *Node
	plain []*prometheus.Desc // of metrics, in their order

	unhealthy, awaitingTopUp, provedDead, running *prometheus.Desc
}

// NewCollector returns the collector of n's metrics.
func NewCollector(n *Node) *Collector {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(name, help, labels, nil)
	}
	c := &Collector{
		node:          n,
		unhealthy:     desc("crosstide_sched_sick", "1 for each minion held sick.", "minion"),
		awaitingTopUp: desc("crosstide_sched_dry_tasks", "Due tasks that wait for a top-up, by party.", "party"),
		provedDead:    desc("crosstide_sched_dead_total", "Handles proved dead, by proof.", "proof"),
		running:       desc("crosstide_sched_running", "Handles out, by type of job.", "type"),
	}
	for _, m := range metrics {
		c.plain = append(c.plain, desc("crosstide_"+m.name, m.help))
	}
	return c
}

// Describe sends the descriptions. It is part of prometheus.Collector.
func (c *Collector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range c.plain {
		ch <- d
	}
	for _, d := range []*prometheus.Desc{c.unhealthy, c.awaitingTopUp, c.provedDead, c.running} {
		ch <- d
	}
}

// Collect sends the present values. It is part of prometheus.Collector.
func (c *Collector) Collect(ch chan<- prometheus.Metric) {
	f := c.node.figures()
	for i, m := range metrics {
		ch <- prometheus.MustNewConstMetric(c.plain[i], m.kind, m.value(f))
	}
	for _, worker := range f.UnhealthyWorkers {
		ch <- prometheus.MustNewConstMetric(c.unhealthy, prometheus.GaugeValue, 1, worker)
	}
	for party, tasks := range f.TasksAwaitingTopUp {
		ch <- prometheus.MustNewConstMetric(c.awaitingTopUp, prometheus.GaugeValue, float64(tasks), party)
	}
	for kind, runs := range f.Counts.ProvedDead {
		ch <- prometheus.MustNewConstMetric(c.provedDead, prometheus.CounterValue, float64(runs), string(kind))
	}
	for taskType, runs := range f.RunningCounts {
		ch <- prometheus.MustNewConstMetric(c.running, prometheus.GaugeValue, float64(runs), taskType)
	}
}
