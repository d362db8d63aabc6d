package storage

import (
	"slices"

	"crosstide/internal/errs"
)

// WriteSnapshot makes snap the newest snapshot (it sets its Number), starts a new segment and removes the segments
// whose entries all lie at or before the previous snapshot, and before keepFrom if that is not 0. Appends continue
// meanwhile, except while the segment changes. A snapshot of the own log must have the Term of its entry; one that came
// from another member must be written before the entries after it are appended: entries that it contradicts are
// removed. Failures: Invalid (older than the newest snapshot), Stopped, Disk (as with Append; after IsFull the snapshot
// may be written again). Example:
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
			"image at %d, the newest snapshot is at %d", snap.Index, previous.Index)
	}
	snap.Number = previous.Number + 1
	head, tail := encodeSnapshot(snap)
	written, err := s.writeFile(snapshotFileNames[file], head, snap.Body, tail)
	if IsFull(err) {
		if removeErr := s.removeUnfinished(snapshotFileNames[file]); removeErr == nil {
			return errs.Pass(err, "slot %d", snap.Number) // nothing has changed
		}
	}
	if err == nil {
		_ = written.Close() // synced before
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

// rotate starts a segment once the snapshot in file is durable, and removes those that are not needed.
func (s *Store) rotate(snap Snapshot, file int, previous, keepFrom uint64) error {
	s.mu.Lock()
	err := s.checkUsable()
	if err == nil {
		err = s.startSegmentAfter(snap, file)
	}
	unneeded := s.takeUnneeded(snap.Index, previous, keepFrom)
	s.mu.Unlock()
	for i := 0; i < len(unneeded) && err == nil; i++ { // oldest first, each synced, so that no gap can stay
		err = s.removeSegment(unneeded[i].number)
	}
	return errs.Pass(err, "change of segment")
}

// startSegmentAfter makes snap the newest snapshot and begins a segment with it. The caller holds mu.
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

// takeUnneeded takes the segments out of the log whose entries all lie at or before the previous snapshot, and before
// keepFrom if that is not 0. The previous snapshot stays usable if the newest one is damaged. The caller holds mu.
func (s *Store) takeUnneeded(newest, previous, keepFrom uint64) []segment {
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

// NewestSnapshot reads the newest snapshot back and checks it. Failures: Unknown (none was written), Damaged, Disk.
func (s *Store) NewestSnapshot() (Snapshot, error) {
	s.mu.Lock()
	name, number := snapshotFileNames[s.newestFile], s.newest.Number
	s.mu.Unlock()
	if number == 0 {
		return Snapshot{}, errs.New(errs.Unknown, "no snapshot was written yet")
	}
	all, err := readFile(s.disk, name)
	if err != nil {
		return Snapshot{}, errs.Pass(err, "newest snapshot")
	}
	snap, err := decodeSnapshot(all)
	if err != nil {
		return Snapshot{}, errs.Pass(err, "read %s", name)
	}
	if snap.Number < number {
		return Snapshot{}, errs.New(errs.Damaged, "%s holds number %d, not %d", name, snap.Number, number)
	}
	return snap, nil
}
