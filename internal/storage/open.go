package storage

import (
	"slices"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
)

// Recovered is the durable state that Open found.
type Recovered struct {
	Snapshot  *Snapshot // the newest snapshot that the log continues; nil if none was ever written
	Records   []Record  // the hard state if there is one, then the entries after Snapshot, with consecutive indexes
	Fresh     bool      // the folder has no snapshot, no hard state and no entries
	TornBytes int64     // length of the torn end of the log that was removed
}

// Open reads a folder, removes the torn end of its log and makes the remaining data durable. At most one Store may be
// open on a folder. Failures: Damaged if data that may have been synced is lost (nothing in the folder was changed, and
// it must no longer be used as a member's disk), Disk. Example:
//
//	store, recovered, err := storage.Open(disk, storage.Options{})
//	if errs.Is(err, errs.Damaged) {
//		// rejoin as a replaced machine
//	}
func Open(d Disk, opt Options) (*Store, Recovered, error) {
	if opt.Clock == nil {
		opt.Clock = clock.Real{}
	}
	s := newStore(d, opt.Clock)
	recovered, err := s.open()
	if err != nil {
		return nil, Recovered{}, errs.Pass(err, "open the store")
	}
	return s, recovered, nil
}

// newStore returns a store that is not open yet. newestFile is the second file, so that the first snapshot is written
// to the first file.
func newStore(d Disk, clock clock.Clock) *Store { return &Store{disk: d, clock: clock, newestFile: 1} }

// open implements Open for a store that newStore returned. Resume uses it too.
func (s *Store) open() (recovered Recovered, err error) {
	folder, err := scanFolder(s.disk)
	if err != nil {
		return recovered, errs.Pass(err, "read the store files")
	}
	log, err := readLog(folder)
	if err != nil {
		return recovered, errs.Pass(err, "log")
	}
	recovered.TornBytes = log.tornBytes
	if len(folder.segments) == 0 && folder.snapshotFiles > 0 {
		return recovered, errs.New(errs.Damaged, "the folder has snapshots but no log")
	}
	if err := s.chooseSnapshot(folder, &log.state, &recovered); err != nil {
		return recovered, errs.Pass(err, "newest snapshot")
	}
	return recovered, errs.Pass(s.rewriteTail(folder, log), "rewrite the last segment")
}

// chooseSnapshot selects the newest valid snapshot that the log continues: the log has every entry after it up to its
// own end. It makes that snapshot the store's newest, applies it to log and sets the fields of recovered. Failure:
// Damaged if the log continues none of the valid snapshots or, without a valid snapshot, does not start at entry 1.
func (s *Store) chooseSnapshot(folder folderContents, log *logState, recovered *Recovered) error {
	for _, stored := range folder.snapshots {
		snap, state := stored.Snapshot, *log
		if state.lastSnapshot.Index != snap.Index || state.lastSnapshot.Term != snap.Term {
			state.applySnapshot(snap.record())
		}
		if entries, ok := state.entriesAfter(snap.Index); ok {
			*log, s.newestFile, recovered.Snapshot = state, stored.file, &snap
			s.newest = Snapshot{Number: snap.Number, Index: snap.Index, Term: snap.Term}
			recovered.Records = slices.Clone(entries)
			break
		}
	}
	if recovered.Snapshot == nil {
		entries, ok := log.entriesAfter(0)
		if !ok || len(folder.snapshots) > 0 {
			return errs.New(errs.Damaged,
				"the log does not continue any valid snapshot (%d of %d snapshot files are valid)",
				len(folder.snapshots), folder.snapshotFiles)
		}
		recovered.Records = slices.Clone(entries)
	}
	if log.hardState != nil {
		recovered.Records = slices.Insert(recovered.Records, 0, *log.hardState)
	}
	recovered.Fresh = recovered.Snapshot == nil && len(recovered.Records) == 0
	return nil
}

// rewriteTail rewrites and syncs the last segment: after a failed sync or a killed process, the data that was read may
// come from the page cache and need not be durable. It also removes unfinished files and the segments after the torn
// end.
func (s *Store) rewriteTail(folder folderContents, log recoveredLog) error {
	for _, name := range folder.unfinished {
		if err := s.disk.Remove(name); err != nil {
			return errs.Wrap(err, errs.Disk, "remove %s", name)
		}
	}
	s.log.state, s.log.segments = log.state, log.segments
	if len(s.log.segments) == 0 {
		s.log.segments = []segment{{number: 1}}
	}
	records := s.tailRecords(log.tail)
	s.log.state.entries = withoutData(log.state.entries)
	last := *s.log.active()
	if err := s.startSegment(last, records); err != nil {
		return errs.Pass(err, "segment %d", last.number)
	}
	for i := range log.droppedSegments { // the last one first, so that a crash leaves no gap
		number := folder.segments[len(folder.segments)-1-i].number
		if err := s.removeSegment(number); err != nil {
			return errs.Pass(err, "drop segment %d", number)
		}
	}
	return nil
}

// tailRecords returns the records for the rewritten last segment: tail, which was read from it, and the hard state and
// the newest snapshot if tail does not have them.
func (s *Store) tailRecords(tail []Record) []Record {
	isHardState := func(r Record) bool { return r.Kind == KindHardState }
	isNewest := func(r Record) bool {
		return r.Kind == kindSnapshot && r.Index == s.newest.Index && r.Term == s.newest.Term
	}
	records := slices.Clone(tail)
	if len(tail) == 0 {
		records = s.segmentHead()
	} else if s.log.state.hardState != nil && !slices.ContainsFunc(tail, isHardState) {
		records = append(s.segmentHead(), tail[1:]...)
	}
	if s.newest.Number > 0 && !slices.ContainsFunc(records, isNewest) {
		records = append(records, s.newest.record())
	}
	return records
}

// withoutData returns the entries without their Data, which a store has only on the disk.
func withoutData(entries []Record) []Record {
	stripped := slices.Clone(entries)
	for i := range stripped {
		stripped[i].Data = nil
	}
	return stripped
}
