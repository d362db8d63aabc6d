package store

import (
	"github.com/prometheus/client_golang/prometheus"

	"crosstide/internal/raft"
	"crosstide/internal/state/query"
	"crosstide/internal/storage"
)

// metrics are the counters and histograms of a store. They need no lock.
type metrics struct {
	proposals, dropped        prometheus.Counter
	syncs, commits, snapshots prometheus.Histogram
}

func newMetrics() *metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "crosstide_store_" + name, Help: help})
	}
	seconds := func(name, help string) prometheus.Histogram {
		return prometheus.NewHistogram(prometheus.HistogramOpts{Name: "crosstide_store_" + name, Help: help,
			Buckets: prometheus.ExponentialBuckets(0.0001, 2, 17)})
	}
	return &metrics{
		proposals: counter("proposals_total", "Proposals put into the log."),
		dropped:   counter("messages_dropped_total", "Messages to peers that fell or failed."),
		syncs:     seconds("sync_seconds", "Syncs of the log; its count is the count of group commits."),
		commits:   seconds("commit_seconds", "From a proposal to its answer, where it was committed."),
		snapshots: seconds("snapshot_seconds", "Encoding and writing of a snapshot."),
	}
}

// register registers m and a collector of s; with a nil registry it does nothing.
func (m *metrics) register(s *Store, to prometheus.Registerer) {
	if to != nil {
		to.MustRegister(m.proposals, m.dropped, m.syncs, m.commits, m.snapshots, &collector{store: s})
	}
}

// collector collects the gauges of a store from its fields at each scrape.
type collector struct{ store *Store }

// describe returns the description of a metric that collector computes.
func describe(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("crosstide_store_"+name, help, labels, nil)
}

var (
	descRole    = describe("role", "1 for the role of this node.", "role")
	descTerm    = describe("term", "Term.")
	descCommit  = describe("commit_index", "Newest entry known to be committed.")
	descApplied = describe("applied_index", "Newest entry in the live state.")
	descWaiting = describe("waiting", "Proposals that wait.")
	descRefused = describe("refused_total", "Messages that contradict what is committed here; must stay 0.")
	descLog     = describe("log_bytes_total", "Bytes written to disk.")
	descWrites  = describe("snapshots_total", "Snapshots written.")
	descState   = describe("state", "What is in the state.", "of")
	descType    = describe("running", "Handles out, by type of job.", "type")
)

// Describe sends nothing, which makes the collector an unchecked one: its labels depend on the state.
func (*collector) Describe(chan<- *prometheus.Desc) {}

// Collect sends the current values.
func (c *collector) Collect(to chan<- prometheus.Metric) {
	s := c.store
	s.mu.Lock()
	status, applied, waiting := s.status, s.live.Index, s.proposals.count
	figures, accounts := query.Count(s.live), query.Accounts(s.live)
	s.mu.Unlock()
	var disk storage.Stats
	if s.storage != nil {
		disk = s.storage.Stats()
	}
	gauge := func(d *prometheus.Desc, value float64, labels ...string) {
		to <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
	}
	for _, role := range []raft.Role{raft.Follower, raft.PreCandidate, raft.Candidate, raft.Leader} {
		value := 0.0
		if status.Role == role {
			value = 1
		}
		gauge(descRole, value, string(role))
	}
	gauge(descTerm, float64(status.Term))
	gauge(descCommit, float64(status.Commit))
	gauge(descApplied, float64(applied))
	gauge(descWaiting, float64(waiting))
	to <- prometheus.MustNewConstMetric(descRefused, prometheus.CounterValue, float64(status.Refused))
	to <- prometheus.MustNewConstMetric(descLog, prometheus.CounterValue, float64(disk.Bytes))
	to <- prometheus.MustNewConstMetric(descWrites, prometheus.CounterValue, float64(disk.Snapshots))
	gauge(descState, float64(figures.Jobs), "jobs")
	gauge(descState, float64(figures.Inbox), "inbox")
	gauge(descState, float64(figures.Tombstones), "tombs")
	gauge(descState, float64(figures.Handles), "handles")
	gauge(descState, float64(figures.Workers), "minions")
	for kind, n := range figures.RunningCounts {
		gauge(descType, float64(n), kind)
	}
	collectAccounts(accounts, to)
}
