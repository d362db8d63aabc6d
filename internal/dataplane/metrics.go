package dataplane

import (
	"maps"

	"github.com/prometheus/client_golang/prometheus"

	"crosstide/internal/dataplane/scheduler"
)

// metricValues are the values of a node's metrics, all read under one lock.
type metricValues struct {
	// Of the replica.
	Index, Changes, Bytes, Snapshots uint64
	Jobs, Handles, Workers, Inbox    int
	HandlesByType                    map[string]int // number of handles by task type

	// Of the scheduler.
	Phase              scheduler.Phase
	Epoch              uint64
	QueueLength        int
	Counts             scheduler.Counts
	UnhealthyWorkers   []string       // by name
	TasksAwaitingTopUp map[string]int // number of due tasks that their party's balance does not cover, by party
}

// metricValues returns the current values.
func (n *Node) metricValues() metricValues {
	st := n.replica.Lock()
	defer n.replica.Unlock()
	v := metricValues{
		Index: st.Index, Changes: n.replica.Changes, Bytes: n.replica.Bytes, Snapshots: n.replica.Snapshots,
		Jobs: len(st.Jobs), Handles: len(st.Handles), Workers: len(st.Workers), Inbox: len(st.Inbox),
		HandlesByType: st.HandlesByType(),

		Phase: n.scheduler.Phase(), Epoch: n.scheduler.Epoch(), QueueLength: n.scheduler.QueueLength(),
		Counts: n.scheduler.Counts, UnhealthyWorkers: n.scheduler.UnhealthyWorkers(),
		TasksAwaitingTopUp: n.scheduler.TasksAwaitingTopUp(),
	}
	v.Counts.ProvedDead = maps.Clone(n.scheduler.Counts.ProvedDead) // the scheduler continues to write to its own map
	return v
}

// metric is a metric without labels.
type metric struct {
	name, help string // name without "crosstide_"
	kind       prometheus.ValueType
	value      func(metricValues) float64
}

func gauge(name, help string, value func(metricValues) int) metric {
	return metric{name, help, prometheus.GaugeValue, func(v metricValues) float64 { return float64(value(v)) }}
}

func counter(name, help string, value func(metricValues) uint64) metric {
	return metric{name, help, prometheus.CounterValue, func(v metricValues) float64 { return float64(value(v)) }}
}

var metrics = []metric{
	gauge("replica_index", "Log index that the replica has reached.", func(v metricValues) int { return int(v.Index) }),
	counter("replica_changes_total", "Changes applied to the replica.",
		func(v metricValues) uint64 { return v.Changes }),
	counter("replica_bytes_total", "Bytes of changes and snapshots received.",
		func(v metricValues) uint64 { return v.Bytes }),
	counter("replica_snapshots_total", "Snapshots loaded into the replica.",
		func(v metricValues) uint64 { return v.Snapshots }),

	gauge("sched_holder", "1 while this node has the role sched, else 0.", func(v metricValues) int {
		if v.Phase == scheduler.Ready {
			return 1
		}
		return 0
	}),
	gauge("sched_epoch", "Epoch of the role sched while this node has it, else 0.",
		func(v metricValues) int { return int(v.Epoch) }),
	gauge("sched_queue_length", "Due tasks that wait for a run ID.", func(v metricValues) int { return v.QueueLength }),
	counter("sched_plans_total", "Plans proposed.", func(v metricValues) uint64 { return v.Counts.Plans }),
	counter("sched_plan_failures_total", "Plans without a valid answer.",
		func(v metricValues) uint64 { return v.Counts.PlanFailures }),
	counter("sched_run_ids_total", "Run IDs assigned by the store.",
		func(v metricValues) uint64 { return v.Counts.RunIDsAssigned }),
	counter("sched_refused_total", "Starts refused by the store or a worker.",
		func(v metricValues) uint64 { return v.Counts.StartsRefused }),
	counter("sched_sent_total", "Start orders sent.", func(v metricValues) uint64 { return v.Counts.StartOrders }),
	counter("sched_ends_total", "Ends of runs reported by workers.",
		func(v metricValues) uint64 { return v.Counts.Ended }),
	counter("sched_end_failures_total", "Ends of runs reported by workers as failed.",
		func(v metricValues) uint64 { return v.Counts.FailedEnds }),
	counter("sched_doubts_total", "Runs for which it was unknown whether they had started.",
		func(v metricValues) uint64 { return v.Counts.Unconfirmed }),
	counter("sched_stops_total", "Stop orders sent.", func(v metricValues) uint64 { return v.Counts.StopOrders }),
	counter("sched_call_failures_total", "Lease calls to workers without an answer.",
		func(v metricValues) uint64 { return v.Counts.CallFailures }),
	counter("sched_crossed_total", "Answers of workers dropped as stale.",
		func(v metricValues) uint64 { return v.Counts.StaleAnswers }),

	gauge("state_jobs", "Jobs in the state.", func(v metricValues) int { return v.Jobs }),
	gauge("state_handles", "Handles, the records of unfinished runs.", func(v metricValues) int { return v.Handles }),
	gauge("state_minions", "Workers known to the store.", func(v metricValues) int { return v.Workers }),
	gauge("state_inbox", "Jobs in the inbox.", func(v metricValues) int { return v.Inbox }),
}

// Collector collects a node's metrics. It implements prometheus.Collector.
type Collector struct {
	node  *Node
	plain []*prometheus.Desc // of metrics, in their order

	unhealthy, awaitingTopUp, provedDead, running *prometheus.Desc
}

// NewCollector returns a collector of n's metrics.
func NewCollector(n *Node) *Collector {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(name, help, labels, nil)
	}
	c := &Collector{
		node:          n,
		unhealthy:     desc("crosstide_sched_sick", "1 for each worker considered unhealthy.", "minion"),
		awaitingTopUp: desc("crosstide_sched_dry_tasks", "Due tasks waiting for a top-up, by party.", "party"),
		provedDead:    desc("crosstide_sched_dead_total", "Runs proved dead, by kind of proof.", "proof"),
		running:       desc("crosstide_sched_running", "Handles, by task type.", "type"),
	}
	for _, m := range metrics {
		c.plain = append(c.plain, desc("crosstide_"+m.name, m.help))
	}
	return c
}

// Describe sends the descriptions of the metrics. It implements prometheus.Collector.
func (c *Collector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range c.plain {
		ch <- d
	}
	for _, d := range []*prometheus.Desc{c.unhealthy, c.awaitingTopUp, c.provedDead, c.running} {
		ch <- d
	}
}

// Collect sends the current values. It implements prometheus.Collector.
func (c *Collector) Collect(ch chan<- prometheus.Metric) {
	v := c.node.metricValues()
	for i, m := range metrics {
		ch <- prometheus.MustNewConstMetric(c.plain[i], m.kind, m.value(v))
	}
	for _, worker := range v.UnhealthyWorkers {
		ch <- prometheus.MustNewConstMetric(c.unhealthy, prometheus.GaugeValue, 1, worker)
	}
	for party, tasks := range v.TasksAwaitingTopUp {
		ch <- prometheus.MustNewConstMetric(c.awaitingTopUp, prometheus.GaugeValue, float64(tasks), party)
	}
	for kind, runs := range v.Counts.ProvedDead {
		ch <- prometheus.MustNewConstMetric(c.provedDead, prometheus.CounterValue, float64(runs), string(kind))
	}
	for taskType, runs := range v.HandlesByType {
		ch <- prometheus.MustNewConstMetric(c.running, prometheus.GaugeValue, float64(runs), taskType)
	}
}
