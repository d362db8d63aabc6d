package store

import (
	"context"
	"encoding/json"

	"github.com/go-kit/log/level"

	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/raft"
	"crosstide/internal/state"
	"crosstide/internal/storage"
)

const (
	maxSnapshotLogBytes   = 64 << 20  // of log between two snapshots, regardless of Settings.SnapshotEvery
	maxUnsnapshottedBytes = 256 << 20 // of log that is in no snapshot; beyond this, proposals are rejected
)

// snapshots is the queue of the snapshotter, and its progress. A Store owns it; all but wake is guarded by Store.mu.
type snapshots struct {
	wake chan struct{} // capacity 1; a signal asks the snapshotter to empty the queue

	committed          []raft.Entry         // applied to the live state and not taken by the snapshotter yet
	unsnapshottedBytes int                  // of log entries that are applied to the live state and in no snapshot
	newest             internalapi.Snapshot // the newest snapshot on disk; the zero value if the disk has no snapshot
	compactedBytes     int                  // of log entries that snapshots have replaced since Open
	fetching           bool                 // whether a fetch is under way; there is at most one
	toInstall          *fetchedSnapshot     // fetched and not taken by the snapshotter yet, or nil
}

// onWritten records that a snapshot was written, which is now the newest on disk.
func (q *snapshots) onWritten(meta raft.Meta, bytes int) {
	q.newest = internalapi.Snapshot{Number: q.newest.Number + 1, Index: meta.Index, Term: meta.Term, Size: int64(bytes)}
}

// takeDurable removes the committed entries whose index is at most durable, and returns them.
func (q *snapshots) takeDurable(durable uint64) []raft.Entry {
	end := 0
	for end < len(q.committed) && q.committed[end].Index <= durable {
		end++
	}
	batch := q.committed[:end:end]
	if q.committed = q.committed[end:]; len(q.committed) == 0 {
		q.committed = nil
	}
	return batch
}

// snapshotter holds a second copy of the state, from which snapshots are encoded without locking the live state. The
// goroutine runSnapshotter owns it once startCore has initialized it; no lock guards it.
type snapshotter struct {
	state        *state.State  // nil before the first entry is applied
	initialImage []byte        // body of the recovered snapshot, to be decoded into state; nil if none, or decoded
	members      []raft.Member // in force at state.Index
	entries      int           // applied since the newest snapshot
	bytes        int           // total size of those entries in the log
}

// loadInitial decodes the recovered snapshot. It is called before the first entry is applied, not when the store
// starts, so that a restarted node serves sooner.
func (p *snapshotter) loadInitial() error {
	if p.state != nil {
		return nil
	}
	p.state = state.New()
	if p.initialImage == nil {
		return nil
	}
	decoded, err := state.Decode(p.initialImage)
	if err != nil {
		return errs.Pass(err, "decode the recovered snapshot")
	}
	p.state, p.initialImage = decoded, nil
	return nil
}

// apply applies an entry and reports whether it did. It skips an entry that an installed snapshot already includes.
func (p *snapshotter) apply(e raft.Entry) (applied bool, err error) {
	if e.Index <= p.state.Index {
		return false, nil
	}
	if e.Kind == raft.Members {
		p.members = nil
		if err := json.Unmarshal(e.Data, &p.members); err != nil {
			return false, errs.Wrap(err, errs.Damaged, "members at %d", e.Index)
		}
	}
	_, _ = applyTo(p.state, e) // a command's own error is an outcome, the same on every node
	p.entries++
	p.bytes += len(e.Data) + entryOverhead
	return true, nil
}

// encode returns a snapshot of the state in the form to be written, and its metadata.
func (p *snapshotter) encode() (storage.Snapshot, raft.Meta, error) {
	body, err := p.state.Encode()
	if err != nil {
		return storage.Snapshot{}, raft.Meta{}, errs.Pass(err, "encode the state")
	}
	meta := raft.Meta{Index: p.state.Index, Term: p.state.Term, Members: p.members}
	raw, err := json.Marshal(meta)
	if err != nil {
		return storage.Snapshot{}, raft.Meta{}, errs.Wrap(err, errs.Internal, "encode the metadata of a snapshot")
	}
	return storage.Snapshot{Index: meta.Index, Term: meta.Term, Meta: raw, Body: body}, meta, nil
}

// runSnapshotter is the goroutine of the snapshotter, the only writer of snapshot files once the store runs. It applies
// an entry only once it is durable on this node: a snapshot must never be ahead of the log on the same disk.
func (s *Store) runSnapshotter(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.snapshots.wake:
		}
		fetched, err := s.applyDurableEntries(ctx)
		if err == nil && fetched != nil {
			err = s.installFetched(ctx, fetched)
			close(fetched.done)
		}
		if errs.Is(err, errs.Stopped) {
			return
		}
		if err != nil {
			s.fatal(err)
			return
		}
	}
}

// applyDurableEntries applies the durable entries to the snapshotter's state, writes the snapshots that fall due in
// between, and returns the fetched snapshot that is to be installed, if any.
func (s *Store) applyDurableEntries(ctx context.Context) (*fetchedSnapshot, error) {
	fetched, batch := s.takeDurableEntries()
	if len(batch) > 0 {
		if err := s.snapshotter.loadInitial(); err != nil {
			return fetched, errs.Pass(err, "load the recovered snapshot")
		}
	}
	for i := range batch {
		if err := s.applyToSnapshotter(ctx, batch[i]); err != nil {
			return fetched, errs.Pass(err, "apply to the snapshotter's state")
		}
		batch[i].Data = nil
	}
	return fetched, nil
}

// takeDurableEntries takes the fetched snapshot that is to be installed, if any, and the durable entries. Without a
// fetched snapshot it takes no entries while the live state is catching up, so that a restarted node serves sooner;
// each later pass signals again.
func (s *Store) takeDurableEntries() (*fetchedSnapshot, []raft.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fetched := s.snapshots.toInstall
	s.snapshots.toInstall = nil
	if len(s.unapplied) > 0 && fetched == nil {
		return nil, nil
	}
	return fetched, s.snapshots.takeDurable(s.diskQueue.durable)
}

// applyToSnapshotter applies one entry to the snapshotter's state, and writes a snapshot if one is due.
func (s *Store) applyToSnapshotter(ctx context.Context, e raft.Entry) error {
	applied, err := s.snapshotter.apply(e)
	if err != nil {
		return errs.Pass(err, "apply to the snapshotter's state")
	}
	if !applied || !s.isSnapshotDue() {
		return nil
	}
	return errs.Pass(s.writeSnapshot(ctx), "snapshot at %d", e.Index)
}

// isSnapshotDue reports whether the snapshotter has applied maxSnapshotLogBytes or SnapshotEvery entries since the
// newest snapshot. A new leader postpones the latter until takeoverPeriod ends: encoding would compete with the
// takeover.
func (s *Store) isSnapshotDue() bool {
	if s.snapshotter.bytes >= maxSnapshotLogBytes {
		return true
	}
	return s.snapshotter.entries >= s.settings.SnapshotEvery && !s.isInTakeover()
}

// writeSnapshot writes a snapshot of the snapshotter's state and compacts the core's log.
func (s *Store) writeSnapshot(ctx context.Context) error {
	start := s.clock.Now()
	image, meta, err := s.snapshotter.encode()
	if err != nil {
		return errs.Pass(err, "encode a snapshot")
	}
	err = s.retryWhileDiskFull(ctx, "write a snapshot", func() error {
		return errs.Pass(s.storage.WriteSnapshot(image, 0), "store")
	})
	if err != nil {
		return errs.Pass(err, "persist")
	}
	took := s.clock.Now() - start
	s.metrics.snapshots.Observe(took.Seconds())
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.snapshots.newest.Index
	s.snapshots.onWritten(meta, len(image.Body))
	s.core.SnapshotPersisted(meta)
	s.snapshots.compactedBytes += s.snapshotter.bytes
	s.core.Compact(s.compactionIndex(previous))
	s.snapshots.unsnapshottedBytes -= s.snapshotter.bytes
	s.snapshotter.entries, s.snapshotter.bytes = 0, 0
	_ = level.Info(s.logger).Log("msg", "snapshot written", "index", meta.Index, "bytes", len(image.Body), "took", took)
	return nil
}

// compactionIndex returns the index up to which the log may be dropped from memory. It is at most previous, the index
// of the snapshot before the newest, so that followers slightly behind need no snapshot, and at most the index of each
// snapshot that another member is fetching: otherwise, whenever a fetch takes longer than two snapshots, the log after
// the fetched snapshot would already be dropped. A fetch that has fallen maxUnsnapshottedBytes behind no longer counts,
// which bounds the memory. s.mu must be held.
func (s *Store) compactionIndex(previous uint64) uint64 {
	for _, c := range s.snapshotCache.images {
		if s.snapshots.compactedBytes-c.compactedBytes < maxUnsnapshottedBytes {
			previous = min(previous, c.image.Index)
		}
	}
	return previous
}

// decodeSnapshotMeta decodes the raft metadata of a snapshot.
func decodeSnapshotMeta(raw []byte) (m raft.Meta, err error) {
	return m, errs.Wrap(json.Unmarshal(raw, &m), errs.Damaged, "decode snapshot metadata")
}
