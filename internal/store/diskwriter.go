package store

import (
	"context"
	"encoding/json"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/raft"
	"crosstide/internal/storage"
)

// entryOverhead is the assumed size of an entry without its data, wherever this package counts bytes.
const entryOverhead = 64

// diskWrite holds the changes that one raft.Ready requires to be stored. Ready.ResetLog needs no write: the storage
// dropped the same entries when it wrote the snapshot that caused the reset.
type diskWrite struct {
	hardState     *raft.HardState
	entries       []raft.Entry
	sendAfterSync []raft.Message // must not be sent before the write is synced
}

// diskQueue is the queue of writes for the disk writer, and the progress of that goroutine. A Store owns it; all fields
// but wake are guarded by Store.mu.
type diskQueue struct {
	wake chan struct{} // capacity 1; a signal asks the disk writer to empty the queue

	writes    []diskWrite   // in the order of the Readys
	busySince time.Duration // when the disk writer took its batch; 0 while it has none
	durable   uint64        // the log on disk equals the core's up to this index
}

// add queues the changes that a Ready requires to be stored, if any. Stored entries that the Ready replaces no longer
// count as durable.
func (q *diskQueue) add(ready raft.Ready) {
	if ready.HardState == nil && len(ready.Entries) == 0 && len(ready.MessagesAfterSync) == 0 {
		return
	}
	if len(ready.Entries) > 0 {
		q.durable = min(q.durable, ready.Entries[0].Index-1)
	}
	q.writes = append(q.writes, diskWrite{ready.HardState, ready.Entries, ready.MessagesAfterSync})
	signal(q.wake)
}

// take removes all queued writes and returns them, to be stored with one sync.
func (q *diskQueue) take(now time.Duration) []diskWrite {
	batch := q.writes
	q.writes = nil
	if len(batch) > 0 {
		q.busySince = now
	}
	return batch
}

// onSynced records that the log is stored up to index, except for entries that queued writes will replace.
func (q *diskQueue) onSynced(index uint64) {
	q.durable = index
	for _, w := range q.writes {
		if len(w.entries) > 0 {
			q.durable = min(q.durable, w.entries[0].Index-1)
		}
	}
}

// isIdle reports whether no write is queued or under way.
func (q *diskQueue) isIdle() bool { return len(q.writes) == 0 && q.busySince == 0 }

// isHung reports whether the disk writer has been storing one batch for longer than limit.
func (q *diskQueue) isHung(now, limit time.Duration) bool {
	return q.busySince != 0 && now-q.busySince > limit
}

// runDiskWriter is the goroutine that stores queued writes. It stores all writes that are in the queue with one sync
// (group commit).
func (s *Store) runDiskWriter(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.diskQueue.wake:
		}
		batch := s.takeDiskWrites()
		if len(batch) == 0 {
			continue
		}
		err := s.retryWhileDiskFull(ctx, "store the log", func() error {
			return errs.Pass(s.writeBatch(batch), "write a batch")
		})
		if errs.Is(err, errs.Stopped) {
			return
		}
		if err != nil {
			s.fatal(err)
			return
		}
		s.onStored(batch)
	}
}

// takeDiskWrites is diskQueue.take for callers without s.mu.
func (s *Store) takeDiskWrites() []diskWrite {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.diskQueue.take(s.clock.Now())
}

// writeBatch stores a batch with one sync. s.mu must not be held: the disk may be slow.
func (s *Store) writeBatch(batch []diskWrite) error {
	records, err := recordsOf(batch)
	if err == nil && len(records) > 0 {
		start := s.clock.Now()
		err = s.storage.Append(records)
		s.metrics.syncs.Observe((s.clock.Now() - start).Seconds())
	}
	return errs.Pass(err, "append")
}

// recordsOf returns the log records of a batch.
func recordsOf(batch []diskWrite) (records []storage.Record, err error) {
	for _, w := range batch {
		if w.hardState != nil {
			data, err := json.Marshal(w.hardState)
			if err != nil {
				return nil, errs.Wrap(err, errs.Internal, "encode the hard state")
			}
			records = append(records, storage.Record{Kind: storage.KindHardState, Data: data})
		}
		for _, e := range w.entries {
			records = append(records, storage.Record{Kind: uint8(e.Kind), Term: e.Term, Index: e.Index, Data: e.Data})
		}
	}
	return records, nil
}

// onStored enqueues the messages that had to wait until a batch was stored, and reports the sync to the core, the
// snapshotter and the loop.
func (s *Store) onStored(batch []diskWrite) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.diskQueue.busySince = 0
	var last raft.Entry
	for _, w := range batch {
		s.enqueueMessages(w.sendAfterSync)
		if n := len(w.entries); n > 0 {
			last = w.entries[n-1]
		}
	}
	if last.Index > 0 {
		s.core.Synced(s.clock.Now(), last.Index, last.Term)
		s.diskQueue.onSynced(last.Index)
		signal(s.snapshots.wake)
	}
	signal(s.wakeLoop)
	if len(s.diskQueue.writes) > 0 {
		signal(s.diskQueue.wake)
	}
}

// isDiskIdle is diskQueue.isIdle for callers without s.mu.
func (s *Store) isDiskIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.diskQueue.isIdle()
}
