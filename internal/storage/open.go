package storage

import (
	"slices"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
)

// Recovered is the durable state that Open found.
type Recovered struct {
	Snapshot  *Snapshot // the newest snapshot that the log continues; nil if none was ever written
	Records   []Record  // the hard state if there is one, then the entries after Snapshot, without a gap
	Fresh     bool      // the folder has no snapshot, no hard state and no entry
	TornBytes int64     // length of the torn end of the log that was removed
}

// Open reads a folder, removes the torn end of its log and makes the rest durable. At most one Store may be open on a
// folder. Failures: Damaged if data that may have been synced is lost (nothing in the folder was changed, and it must
// not be used as a member's disk any more), Disk. Example:
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

// newStore returns a store that is not open yet. As its newest snapshot counts as in the second file, it writes its
// first one to the first.
func newStore(d Disk, clock clock.Clock) *Store { return &Store{disk: d, clock: clock, newestFile: 1} }

// open is Open without the defaults; Resume opens a second store with it.
func (s *Store) open() (recovered Recovered, err error) {
	folder, err := scanFolder(s.disk)
	if err != nil {
		return recovered, errs.Pass(err, "files of the store")
	}
	log, err := readLog(folder)
	if err != nil {
		return recovered, errs.Pass(err, "log")
	}
	recovered.TornBytes = log.tornBytes
	if len(folder.segments) == 0 && folder.snapshotFiles > 0 {
		return recovered, errs.New(errs.Damaged, "snapshots without a log")
	}
	if err := s.chooseSnapshot(folder, &log.state, &recovered); err != nil {
		return recovered, errs.Pass(err, "newest snapshot")
	}
	return recovered, errs.Pass(s.rewriteTail(folder, log), "end of the log")
}

// chooseSnapshot makes the newest snapshot that the log continues the store's, and brings log to the state with it.
// Failure: Damaged if there are snapshot files and the log continues none.
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
			return errs.New(errs.Damaged, "the log does not follow any valid snapshot (%d of %d valid)",
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

// rewriteTail writes the last segment again, as what was read of it may come from the page cache, after a failed sync
// or a kill, and need not be durable. It removes unfinished files and the segments after the torn end.
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

// tailRecords returns the records for the last segment when it is written again: those that were read of it, and the
// hard state and the newest snapshot if they are not among them.
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

// withoutData returns the entries without their Data, which a store has on the disk only.
func withoutData(entries []Record) []Record {
	stripped := slices.Clone(entries)
	for i := range stripped {
		stripped[i].Data = nil
	}
	return stripped
}
