package storage

import (
	"slices"

	"crosstide/internal/errs"
)

// WriteSnapshot makes img the newest snapshot (it sets its Number), starts a new segment and removes the segments whose
// entries all lie at or before the previous snapshot, and before keepFrom if that is not 0. Appends continue
// meanwhile, except while the segment changes. An image of the own log must have the Term of its entry; one that
// came from another member must be written before the entries after it are appended: entries that it
// contradicts fall. Failures: Invalid (older than the newest snapshot), Stopped, Disk (as with Append; after IsFull the
// snapshot may be written again). Example:
//
//	err := store.WriteSlot(storage.Image{Index: applied, Term: term, Meta: members, Body: state}, 0)
func (s *Store) WriteSnapshot(snap Snapshot, keepFrom uint64) error {
	s.snapshotMu.Lock()
	defer s.snapshotMu.Unlock()
	s.mu.Lock()
	err, before, at := s.checkUsable(), s.newest, 1-s.newestFile
	s.mu.Unlock()
	if err != nil {
		return errs.Pass(err, "snapshot %d", before.Number+1)
	}
	if snap.Index < before.Index {
		return errs.Field(errs.Invalid, "index", "image at %d, the newest snapshot is at %d", snap.Index, before.Index)
	}
	snap.Number = before.Number + 1
	head, tail := encodeSnapshot(snap)
	file, err := s.writeFile(snapshotFileNames[at], head, snap.Body, tail)
	if IsFull(err) {
		if unfinished := s.removeUnfinished(snapshotFileNames[at]); unfinished == nil {
			return errs.Pass(err, "slot %d", snap.Number) // nothing has changed
		}
	}
	if err == nil {
		_ = file.Close() // synced before
		err = s.rotate(snap, at, before.Index, keepFrom)
	}
	if err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		return errs.Pass(s.markFailed(err), "snapshot %d", snap.Number)
	}
	s.updateStats(func(c *Stats) { c.Snapshots++ })
	return nil
}

// rotate starts a segment after the snapshot img is durable, and removes those that are not needed.
func (s *Store) rotate(snap Snapshot, at int, before, keepFrom uint64) error {
	s.mu.Lock()
	err := s.checkUsable()
	if err == nil {
		s.newest, s.newestFile = Snapshot{Number: snap.Number, Index: snap.Index, Term: snap.Term}, at
		head := s.segmentHead()
		s.log.applySnapshot(head[0])
		g := segment{number: s.segments[len(s.segments)-1].number + 1}
		if err = s.startSegment(g, head); err == nil {
			s.segments = append(s.segments, g)
		}
	}
	n := 0
	for n < len(s.segments)-1 && s.segments[n].lastEntry <= before && (keepFrom == 0 || s.segments[n].lastEntry < keepFrom) {
		n++
	}
	old := s.segments[:n]
	s.segments = slices.Clone(s.segments[n:])
	if n > 0 {
		s.log.entries = slices.DeleteFunc(s.log.entries, func(r Record) bool { return r.Index <= before && r.Index <= snap.Index })
		if len(s.log.entries) == 0 {
			s.log.compactedTo = max(s.log.compactedTo, snap.Index)
		}
	}
	s.mu.Unlock()
	for i := 0; i < n && err == nil; i++ { // oldest first, each synced, so that no gap can stay
		err = s.removeSegment(old[i].number)
	}
	return errs.Pass(err, "change of segment")
}

// NewestSnapshot reads the newest snapshot back and checks it. Failures: Unknown (none was written), Damaged, Disk.
func (s *Store) NewestSnapshot() (Snapshot, error) {
	s.mu.Lock()
	name, number := snapshotFileNames[s.newestFile], s.newest.Number
	s.mu.Unlock()
	if number == 0 {
		return Snapshot{}, errs.New(errs.Unknown, "no snapshot was written yet")
	}
	all, err := s.readFile(name)
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
