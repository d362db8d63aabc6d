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
		proposals: counter("proposals_total", "Proposals passed to the replication core."),
		dropped: counter("messages_dropped_total",
			"Messages to peers that were dropped from a full queue or failed to be sent."),
		syncs: seconds("sync_seconds",
			"Time to write and sync a batch of log records; the count is the number of group commits."),
		commits: seconds("commit_seconds",
			"Time from a proposal to its outcome, of proposals that were committed and succeeded."),
		snapshots: seconds("snapshot_seconds", "Time to encode and write a snapshot."),
	}
}

// register registers m and a collector of s, unless registerer is nil.
func (m *metrics) register(s *Store, registerer prometheus.Registerer) {
	if registerer != nil {
		registerer.MustRegister(m.proposals, m.dropped, m.syncs, m.commits, m.snapshots, &collector{store: s})
	}
}

// collector collects the gauges of a store from its fields at each scrape.
type collector struct{ store *Store }

// describe returns the description of a metric that collector computes.
func describe(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("crosstide_store_"+name, help, labels, nil)
}

var (
	descRole      = describe("role", "1 for the current raft role of this node, 0 for the others.", "role")
	descTerm      = describe("term", "Term.")
	descCommit    = describe("commit_index", "Index of the newest entry known to be committed.")
	descApplied   = describe("applied_index", "Index of the newest entry applied to the live state.")
	descWaiting   = describe("waiting", "Proposals without an outcome yet.")
	descRefused   = describe("refused_total", "Raft messages that contradict entries committed here; must stay 0.")
	descLogBytes  = describe("log_bytes_total", "Bytes written to the files of the store.")
	descSnapshots = describe("snapshots_total", "Snapshots written.")
	descObjects   = describe("state", "Objects in the replicated state, by kind.", "of")
	descRunning   = describe("running", "Handles in use, by task type.", "type")
)

// Describe sends no descriptions, which makes this an unchecked collector: its label values depend on the state.
func (*collector) Describe(chan<- *prometheus.Desc) {}

// Collect sends the current values.
func (c *collector) Collect(ch chan<- prometheus.Metric) {
	s := c.store
	s.mu.Lock()
	status, applied, waiting := s.status, s.live.Index, s.proposals.count
	counts, accounts := query.Count(s.live), query.Accounts(s.live)
	s.mu.Unlock()
	var disk storage.Stats
	if s.storage != nil {
		disk = s.storage.Stats()
	}
	gauge := func(d *prometheus.Desc, value float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
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
	ch <- prometheus.MustNewConstMetric(descRefused, prometheus.CounterValue, float64(status.InvariantViolations))
	ch <- prometheus.MustNewConstMetric(descLogBytes, prometheus.CounterValue, float64(disk.Bytes))
	ch <- prometheus.MustNewConstMetric(descSnapshots, prometheus.CounterValue, float64(disk.Snapshots))
	gauge(descObjects, float64(counts.Jobs), "jobs")
	gauge(descObjects, float64(counts.Inbox), "inbox")
	gauge(descObjects, float64(counts.Tombstones), "tombs")
	gauge(descObjects, float64(counts.Handles), "handles")
	gauge(descObjects, float64(counts.Workers), "minions")
	for taskType, n := range counts.HandlesByType {
		gauge(descRunning, float64(n), taskType)
	}
	collectAccounts(accounts, ch)
}
