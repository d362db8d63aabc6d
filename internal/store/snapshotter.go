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
	maxSnapshotLogBytes   = 64 << 20  // of log between two snapshots, whatever Settings.SnapshotEvery says
	maxUnsnapshottedBytes = 256 << 20 // of log that no snapshot covers; beyond, proposals are refused
)

// snapshots is what the loop hands to the snapshotter, and what the others may know of its work. A Store owns it; all
// but wake is guarded by Store.mu.
type snapshots struct {
	wake chan struct{} // capacity 1: the snapshotter has something to do

	committed          []raft.Entry         // applied to the live state, not taken by the snapshotter yet
	unsnapshottedBytes int                  // of the log: applied to the live state and in no snapshot
	newest             internalapi.Snapshot // the newest one on the disk; the zero value: none
	compactedBytes     int                  // of the log that snapshots took the place of, since the start
	fetching           bool                 // a fetch that the core asked for is under way
	toInstall          *fetchedSnapshot     // waits for the snapshotter; nil: none
}

// written records the newest snapshot on the disk.
func (q *snapshots) written(meta raft.Meta, bytes int) {
	q.newest = internalapi.Snapshot{Number: q.newest.Number + 1, Index: meta.Index, Term: meta.Term, Size: int64(bytes)}
}

// takeDurable removes the committed entries up to the index that is durable here and returns them.
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

// snapshotter holds a second replica of the state, from which snapshots are written so that the live one is not locked
// for their length. Its goroutine alone owns it, after startCore has set where it begins; no lock guards it.
type snapshotter struct {
	state        *state.State  // nil before there is something to apply
	initialImage []byte        // the snapshot on the disk at the start, to decode into state; nil: none, or decoded
	members      []raft.Member // in force at state.Index
	entries      int           // applied since the newest snapshot
	bytes        int           // of their log
}

// loadInitial decodes the snapshot of the start, at the first entry to apply and not before: a node that came back
// serves sooner that way.
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
		return errs.Pass(err, "the snapshot of the start")
	}
	p.state, p.initialImage = decoded, nil
	return nil
}

// apply applies an entry, unless an installed snapshot has it; it tells whether it did.
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
	_, _ = applyTo(p.state, e) // a command's own failure is an outcome
	p.entries++
	p.bytes += len(e.Data) + entryOverhead
	return true, nil
}

// encode returns the snapshot of the replica, to be written.
func (p *snapshotter) encode() (storage.Snapshot, raft.Meta, error) {
	body, err := p.state.Encode()
	if err != nil {
		return storage.Snapshot{}, raft.Meta{}, errs.Pass(err, "write a slot")
	}
	meta := raft.Meta{Index: p.state.Index, Term: p.state.Term, Members: p.members}
	raw, err := json.Marshal(meta)
	if err != nil {
		return storage.Snapshot{}, raft.Meta{}, errs.Wrap(err, errs.Internal, "encode the meta of a slot")
	}
	return storage.Snapshot{Index: meta.Index, Term: meta.Term, Meta: raw, Body: body}, meta, nil
}

// runSnapshotter is the goroutine of the snapshotter, the only writer of snapshots once the store runs. It takes
// entries only once they are stored here: a snapshot must not be ahead of the log on its own disk.
func (s *Store) runSnapshotter(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.snapshots.wake:
		}
		fetched, err := s.applyStored(ctx)
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

// applyStored applies to the replica what is stored here, writes the snapshots that fall due on the way, and returns
// the fetched snapshot that waits to be installed, if any.
func (s *Store) applyStored(ctx context.Context) (*fetchedSnapshot, error) {
	fetched, batch := s.takeStored()
	if len(batch) > 0 {
		if err := s.snapshotter.loadInitial(); err != nil {
			return fetched, errs.Pass(err, "trail")
		}
	}
	for i := range batch {
		if err := s.applyToReplica(ctx, batch[i]); err != nil {
			return fetched, errs.Pass(err, "trail")
		}
		batch[i].Data = nil
	}
	return fetched, nil
}

// takeStored takes the fetched snapshot that waits to be installed, if any, and the entries that the replica may apply.
// While the live state has entries to catch up on it takes none: a node that came back serves sooner that way, and
// each later pass asks again.
func (s *Store) takeStored() (*fetchedSnapshot, []raft.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fetched := s.snapshots.toInstall
	s.snapshots.toInstall = nil
	if len(s.unapplied) > 0 && fetched == nil {
		return nil, nil
	}
	return fetched, s.snapshots.takeDurable(s.disk.durable)
}

func (s *Store) applyToReplica(ctx context.Context, e raft.Entry) error {
	applied, err := s.snapshotter.apply(e)
	if err != nil {
		return errs.Pass(err, "trail")
	}
	if !applied || !s.isSnapshotDue() {
		return nil
	}
	return errs.Pass(s.writeSnapshot(ctx), "slot at %d", e.Index)
}

// isSnapshotDue tells whether the replica has applied enough since the newest snapshot. One that falls due just after
// this node began to lead waits: encoding would compete with taking over.
func (s *Store) isSnapshotDue() bool {
	if s.snapshotter.bytes >= maxSnapshotLogBytes {
		return true
	}
	return s.snapshotter.entries >= s.settings.SnapshotEvery && !s.inTakeover()
}

// writeSnapshot writes the replica to the disk and lets the core compact its log.
func (s *Store) writeSnapshot(ctx context.Context) error {
	from := s.clock.Now()
	image, meta, err := s.snapshotter.encode()
	if err != nil {
		return errs.Pass(err, "slot")
	}
	err = s.retryWhileDiskFull(ctx, "write a snapshot", func() error {
		return errs.Pass(s.storage.WriteSnapshot(image, 0), "own state")
	})
	if err != nil {
		return errs.Pass(err, "slot")
	}
	took := s.clock.Now() - from
	s.metrics.snapshots.Observe(took.Seconds())
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.snapshots.newest.Index
	s.snapshots.written(meta, len(image.Body))
	s.core.SnapshotPersisted(meta)
	s.snapshots.compactedBytes += s.snapshotter.bytes
	s.core.Compact(s.compactionIndex(before))
	s.snapshots.unsnapshottedBytes -= s.snapshotter.bytes
	s.snapshotter.entries, s.snapshotter.bytes = 0, 0
	_ = level.Info(s.logger).Log("msg", "snapshot written", "index", meta.Index, "bytes", len(image.Body), "took", took)
	return nil
}

// compactionIndex is the index up to which the log may go from memory: that of the snapshot before the newest, for
// followers a little behind, and not past a snapshot that is being fetched. Else a fetch that takes longer than the
// writing of two snapshots would find the log after it gone, each time it is done. What a fetch keeps in memory is
// bounded. Called under the lock.
func (s *Store) compactionIndex(before uint64) uint64 {
	for _, c := range s.served.images {
		if s.snapshots.compactedBytes-c.compactedBytes < maxUnsnapshottedBytes {
			before = min(before, c.image.Index)
		}
	}
	return before
}

// decodeSnapshotMeta decodes what stands beside the body of a snapshot.
func decodeSnapshotMeta(raw []byte) (m raft.Meta, err error) {
	return m, errs.Wrap(json.Unmarshal(raw, &m), errs.Damaged, "meta of a slot")
}
