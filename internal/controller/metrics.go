package controller

import (
	"github.com/prometheus/client_golang/prometheus"

	"crosstide/internal/jobs"
)

// Metrics is a prometheus.Collector for the metrics of the job table. A node that is not the leader exports only
// isLeader.
type Metrics struct {
	leader *Leader

	isLeader *prometheus.Desc
	waiting  *prometheus.Desc
	workers  *prometheus.Desc
	runs     *prometheus.Desc
	version  *prometheus.Desc

	discardedRuns, discardedWork *prometheus.Desc
}

var _ prometheus.Collector = (*Metrics)(nil)

// NewMetrics returns the metrics of a leader. Example:
//
//	registry.MustRegister(controller.NewMetrics(leader))
func NewMetrics(leader *Leader) *Metrics {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("crosstide_jobs_"+name, help, labels, nil)
	}
	return &Metrics{
		leader:   leader,
		isLeader: desc("leads", "1 on the node that schedules jobs, 0 on the others."),
		waiting:  desc("waiting", "Jobs without a started run, by queue.", "queue"),
		workers:  desc("workers", "Workers, by zone and state.", "zone", "state"),
		runs:     desc("runs", "Unfinished runs, by zone of their worker.", "zone"),
		version:  desc("config_version", "Version of the configuration in force."),

		discardedRuns: desc("discarded_runs_total",
			"Runs that ended without success for a reason other than their own failure, by cause.", "cause"),
		discardedWork: desc("discarded_core_seconds_total",
			"Core-seconds spent on discarded runs without a checkpoint, by cause.", "cause"),
	}
}

// Describe sends the descriptions of all metrics.
func (m *Metrics) Describe(out chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{m.isLeader, m.waiting, m.workers, m.runs, m.version,
		m.discardedRuns, m.discardedWork} {
		out <- desc
	}
}

// workerGroup is the label set by which workers are counted.
type workerGroup struct{ zone, state string }

// tableStats holds counts taken from one snapshot of the job table.
type tableStats struct {
	version uint64
	waiting map[string]int // by queue
	workers map[workerGroup]int
	runs    map[string]int // by zone
}

// Collect sends the current values of all metrics.
func (m *Metrics) Collect(out chan<- prometheus.Metric) {
	gauge := func(desc *prometheus.Desc, value float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
	}
	stats := tableStats{waiting: map[string]int{}, workers: map[workerGroup]int{}, runs: map[string]int{}}
	_, err := m.leader.readTable(func(table *jobs.Table) error {
		stats.count(table)
		return nil
	})
	if err != nil {
		gauge(m.isLeader, 0)
		return
	}
	gauge(m.isLeader, 1)
	m.collectDiscarded(out)
	gauge(m.version, float64(stats.version))
	for queue, count := range stats.waiting {
		gauge(m.waiting, float64(count), queue)
	}
	for group, count := range stats.workers {
		gauge(m.workers, float64(count), group.zone, group.state)
	}
	for zone, count := range stats.runs {
		gauge(m.runs, float64(count), zone)
	}
}

// collectDiscarded sends the metrics of discarded runs from the leader's latest health report.
func (m *Metrics) collectDiscarded(out chan<- prometheus.Metric) {
	health := m.leader.latestHealth.Load()
	if health == nil {
		return
	}
	for cause, sum := range health.Discarded {
		out <- prometheus.MustNewConstMetric(m.discardedRuns, prometheus.CounterValue, float64(sum.Runs), string(cause))
		out <- prometheus.MustNewConstMetric(m.discardedWork, prometheus.CounterValue, sum.CoreSeconds, string(cause))
	}
}

func (s *tableStats) count(table *jobs.Table) {
	s.version = table.Config.Version
	for _, queue := range table.Config.Queues {
		s.waiting[queue.Name] = table.QueuedCount(queue.Name)
	}
	for id, worker := range table.Workers {
		state := "ready"
		switch {
		case worker.Left:
			state = "leaving"
		case worker.Draining:
			state = "draining"
		}
		s.workers[workerGroup{worker.Zone, state}]++
		s.runs[worker.Zone] += table.RunCount(id)
	}
}
