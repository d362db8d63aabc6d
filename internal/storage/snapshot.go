package storage

import (
	"slices"

	"crosstide/internal/errs"
)

// WriteSnapshot stores snap as the newest snapshot under the next Number; snap.Number is ignored. It starts a new
// segment, and removes the segments whose entries are all at or before the previous snapshot and, if keepFrom is not 0,
// before keepFrom. Appends may run concurrently, and are blocked only while the new segment is started. The term of a
// snapshot of the node's own log must be that of the entry at its index. A snapshot from another member removes the
// entries that it contradicts, and must be written before later entries are appended. Failures: Invalid if snap is
// older than the newest snapshot, Stopped, Disk (as with Append; if IsFull reports true, snap may be written again).
// Example:
//
//	err := store.WriteSnapshot(storage.Snapshot{Index: applied, Term: term, Meta: members, Body: state}, 0)
func (s *Store) WriteSnapshot(snap Snapshot, keepFrom uint64) error {
	s.snapshotMu.Lock()
	defer s.snapshotMu.Unlock()
	s.mu.Lock()
	err, previous, file := s.checkUsable(), s.newest, 1-s.newestFile
	s.mu.Unlock()
	if err != nil {
		return errs.Pass(err, "snapshot %d", previous.Number+1)
	}
	if snap.Index < previous.Index {
		return errs.Field(errs.Invalid, "index",
			"snapshot at %d is older than the newest one at %d", snap.Index, previous.Index)
	}
	snap.Number = previous.Number + 1
	head, tail := encodeSnapshot(snap)
	written, err := s.writeFile(snapshotFileNames[file], head, snap.Body, tail)
	if IsFull(err) {
		if removeErr := s.removeUnfinished(snapshotFileNames[file]); removeErr == nil {
			return errs.Pass(err, "snapshot %d", snap.Number) // the store is unchanged and still usable
		}
	}
	if err == nil {
		_ = written.Close() // its content is synced
		err = s.rotate(snap, file, previous.Index, keepFrom)
	}
	if err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		return errs.Pass(s.markFailed(err), "snapshot %d", snap.Number)
	}
	s.updateStats(func(stats *Stats) { stats.Snapshots++ })
	return nil
}

// rotate starts a new segment after the snapshot in file has become durable, and removes the segments that are no
// longer needed (see detachObsolete).
func (s *Store) rotate(snap Snapshot, file int, previous, keepFrom uint64) error {
	s.mu.Lock()
	err := s.checkUsable()
	if err == nil {
		err = s.startSegmentAfter(snap, file)
	}
	obsolete := s.detachObsolete(snap.Index, previous, keepFrom)
	s.mu.Unlock()
	for i := 0; i < len(obsolete) && err == nil; i++ { // oldest first, each synced: a crash leaves no gap
		err = s.removeSegment(obsolete[i].number)
	}
	return errs.Pass(err, "rotate the log")
}

// startSegmentAfter makes snap the newest snapshot and starts a segment whose first record is that of snap. The caller
// holds mu.
func (s *Store) startSegmentAfter(snap Snapshot, file int) error {
	s.newest, s.newestFile = Snapshot{Number: snap.Number, Index: snap.Index, Term: snap.Term}, file
	head := s.segmentHead()
	s.log.state.applySnapshot(head[0])
	g := segment{number: s.log.active().number + 1}
	if err := s.startSegment(g, head); err != nil {
		return errs.Pass(err, "segment %d", g.number)
	}
	s.log.segments = append(s.log.segments, g)
	return nil
}

// detachObsolete removes the segments whose entries are all at or before the previous snapshot and, if keepFrom is not
// 0, before keepFrom. It returns them; their files are not removed yet. The remaining log continues the previous
// snapshot, in case the newest one is damaged. The caller holds mu.
func (s *Store) detachObsolete(newest, previous, keepFrom uint64) []segment {
	segments, n := s.log.segments, 0
	for n < len(segments)-1 && segments[n].lastEntry <= previous &&
		(keepFrom == 0 || segments[n].lastEntry < keepFrom) {
		n++
	}
	s.log.segments = slices.Clone(segments[n:])
	if n > 0 {
		s.log.state.compact(min(previous, newest), newest)
	}
	return segments[:n]
}

// NewestSnapshot reads the newest snapshot from the disk. Failures: Unknown if none has been written, Damaged, Disk.
func (s *Store) NewestSnapshot() (Snapshot, error) {
	s.mu.Lock()
	name, number := snapshotFileNames[s.newestFile], s.newest.Number
	s.mu.Unlock()
	if number == 0 {
		return Snapshot{}, errs.New(errs.Unknown, "no snapshot has been written yet")
	}
	content, err := readFile(s.disk, name)
	if err != nil {
		return Snapshot{}, errs.Pass(err, "newest snapshot")
	}
	snap, err := decodeSnapshot(content)
	if err != nil {
		return Snapshot{}, errs.Pass(err, "read %s", name)
	}
	if snap.Number < number {
		return Snapshot{}, errs.New(errs.Damaged, "%s has snapshot number %d, expected %d", name, snap.Number, number)
	}
	return snap, nil
}
