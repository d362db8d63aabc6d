package storage

import (
	"slices"
	"strings"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
)

// Open reads the folder, cuts a torn tail and makes the rest durable. Failures: Damaged when data that may have
// been synced is lost (nothing in the folder was changed; do not use it as a member's disk any more), Disk.
// Example:
//
//	store, boot, err := storage.Open(disk, storage.Options{})
//	if errs.Is(err, errs.Damaged) {
//		// rejoin as a replaced machine
//	}
func Open(d Disk, opt Options) (*Store, Recovered, error) {
	s := &Store{disk: d, clock: opt.Clock, newestFile: 1}
	if s.clock == nil {
		s.clock = clock.Real{}
	}
	recovered, err := s.open()
	if err != nil {
		return nil, Recovered{}, errs.Pass(err, "open the store")
	}
	return s, recovered, nil
}

// folderContents is the folder as it is read.
type folderContents struct {
	snapshots      []Snapshot // valid snapshots, newest first
	fileIndexes    []int      // their places in snapshotFileNames
	snapshotFiles  int        // snapshot files, valid or not
	unfinished     []string
	segmentNumbers []uint64 // of the segments
	segmentBytes   [][]byte
}

func (s *Store) scan() (f folderContents, err error) {
	names, err := s.disk.List()
	if err != nil {
		return f, errs.Pass(err, "look at the folder")
	}
	slices.Sort(names)
	for _, name := range names {
		place := slices.Index(snapshotFileNames[:], name)
		number, isLog := segmentNumber(name)
		switch {
		case strings.HasSuffix(name, unfinishedSuffix):
			f.unfinished = append(f.unfinished, name)
			continue
		case place < 0 && !isLog:
			continue // not ours
		}
		all, err := s.readFile(name)
		if err != nil {
			return f, errs.Pass(err, "look at %s", name)
		}
		if isLog {
			f.segmentNumbers, f.segmentBytes = append(f.segmentNumbers, number), append(f.segmentBytes, all)
			continue
		}
		f.snapshotFiles++
		snap, err := decodeSnapshot(all)
		if err != nil {
			continue // the other snapshot and the log decide
		}
		i := 0
		if len(f.snapshots) > 0 && f.snapshots[0].Number > snap.Number {
			i = 1
		}
		f.snapshots, f.fileIndexes = slices.Insert(f.snapshots, i, snap), slices.Insert(f.fileIndexes, i, place)
	}
	return f, nil
}

// recoveredLog is the log as it was read.
type recoveredLog struct {
	view            logState
	tail            []Record // records of the last valid segment
	droppedSegments int      // segments after it
	tornBytes       int64    // bytes after the last valid record
}

// open reads the folder and makes it ready for appends.
func (s *Store) open() (recovered Recovered, err error) {
	f, err := s.scan()
	if err != nil {
		return recovered, errs.Pass(err, "files of the store")
	}
	log, err := s.readLog(f)
	if err != nil {
		return recovered, errs.Pass(err, "log")
	}
	recovered.TornBytes = log.tornBytes
	if len(f.segmentNumbers) == 0 && f.snapshotFiles > 0 {
		return recovered, errs.New(errs.Damaged, "snapshots without a log")
	}
	if err := s.chooseSnapshot(f, &log.view, &recovered); err != nil {
		return recovered, errs.Pass(err, "newest snapshot")
	}
	return recovered, errs.Pass(s.rewriteTail(f, log), "end of the log")
}

// readLog reads the log up to its first bad byte, which may only be the torn end of the whole log.
func (s *Store) readLog(f folderContents) (recoveredLog, error) {
	var log recoveredLog
	for i, number := range f.segmentNumbers {
		if i > 0 && number != f.segmentNumbers[i-1]+1 {
			return log, errs.New(errs.Damaged, "segment %d follows %d", number, f.segmentNumbers[i-1])
		}
		records, end := readSegment(f.segmentBytes[i], number)
		g := segment{number: number}
		for _, r := range records {
			if !log.view.apply(r) {
				return log, errs.New(errs.Damaged, "segment %d: entry %d follows %d", number, r.Index, log.view.lastIndex())
			}
			g.track(r)
		}
		s.segments, log.tail = append(s.segments, g), records
		// The first records of a segment were synced before it got its name: no torn write takes them.
		lost := len(records) == 0 && f.snapshotFiles > 0 || len(records) == 1 && len(records[0].Data) > 0
		if i == 0 && lost || len(records) > 0 && records[0].Kind != kindSnapshot {
			return log, errs.New(errs.Damaged, "segment %d lost its start", number)
		}
		if end < len(f.segmentBytes[i]) || len(records) == 0 {
			return log, errs.Pass(log.truncateAt(f, i, end), "torn end")
		}
	}
	return log, nil
}

// truncateAt ends the log at a byte of segment i. A valid record after it is errs.Damaged: a torn write leaves none.
func (l *recoveredLog) truncateAt(f folderContents, i, end int) error {
	number := f.segmentNumbers[i]
	later := anyRecord(f.segmentBytes[i], number, end)
	l.tornBytes = int64(len(f.segmentBytes[i]) - end)
	for j := i + 1; j < len(f.segmentNumbers); j++ {
		later = later || anyRecord(f.segmentBytes[j], f.segmentNumbers[j], 0)
		l.tornBytes += int64(len(f.segmentBytes[j]))
	}
	if later {
		return errs.New(errs.Damaged, "segment %d is bad at byte %d, before valid records", number, end)
	}
	l.droppedSegments = len(f.segmentNumbers) - 1 - i
	return nil
}

// chooseSnapshot takes the newest snapshot that the log follows.
func (s *Store) chooseSnapshot(f folderContents, view *logState, recovered *Recovered) error {
	for i := range f.snapshots {
		snap, t := f.snapshots[i], *view
		if t.lastSnapshot.Index != snap.Index || t.lastSnapshot.Term != snap.Term {
			t.applySnapshot(Record{Kind: kindSnapshot, Index: snap.Index, Term: snap.Term})
		}
		if entries, ok := t.entriesAfter(snap.Index); ok {
			*view, s.newestFile, recovered.Snapshot = t, f.fileIndexes[i], &snap
			s.newest = Snapshot{Number: snap.Number, Index: snap.Index, Term: snap.Term}
			recovered.Records = slices.Clone(entries)
			break
		}
	}
	if recovered.Snapshot == nil {
		entries, ok := view.entriesAfter(0)
		if !ok || len(f.snapshots) > 0 {
			return errs.New(errs.Damaged, "the log does not follow any valid snapshot (%d of %d valid)", len(f.snapshots), f.snapshotFiles)
		}
		recovered.Records = slices.Clone(entries)
	}
	if view.hardState != nil {
		recovered.Records = slices.Insert(recovered.Records, 0, *view.hardState)
	}
	recovered.Fresh = recovered.Snapshot == nil && len(recovered.Records) == 0
	return nil
}

// rewriteTail writes the last segment again, so that what Open returns is durable even if it was read from the page
// cache after a failed sync or a kill, and removes the files that are not used.
func (s *Store) rewriteTail(f folderContents, log recoveredLog) error {
	for _, name := range f.unfinished {
		if err := s.disk.Remove(name); err != nil {
			return errs.Wrap(err, errs.Disk, "remove %s", name)
		}
	}
	if len(s.segments) == 0 {
		s.segments = []segment{{number: 1}}
	}
	last := s.segments[len(s.segments)-1]
	s.log = logState{entries: log.view.entries, hardState: log.view.hardState, compactedTo: log.view.compactedTo, lastSnapshot: log.view.lastSnapshot}
	head := slices.Clone(log.tail)
	if len(log.tail) == 0 {
		head = s.segmentHead()
	} else if log.view.hardState != nil && !slices.ContainsFunc(log.tail, func(r Record) bool { return r.Kind == KindHardState }) {
		head = append(s.segmentHead(), log.tail[1:]...)
	}
	if s.newest.Number > 0 && !slices.ContainsFunc(head, func(r Record) bool {
		return r.Kind == kindSnapshot && r.Index == s.newest.Index && r.Term == s.newest.Term
	}) {
		head = append(head, Record{Kind: kindSnapshot, Index: s.newest.Index, Term: s.newest.Term})
	}
	s.log.entries = slices.Clone(log.view.entries)
	for i := range s.log.entries {
		s.log.entries[i].Data = nil
	}
	if err := s.startSegment(last, head); err != nil {
		return errs.Pass(err, "segment %d", last.number)
	}
	for i := range log.droppedSegments { // from the end, so that no gap can stay
		number := f.segmentNumbers[len(f.segmentNumbers)-1-i]
		if err := s.removeSegment(number); err != nil {
			return errs.Pass(err, "drop segment %d", number)
		}
	}
	return nil
}

// Clear removes every file of a store from the folder, and only those, and syncs the folder. Failure: Disk.
func Clear(d Disk) error {
	names, err := d.List()
	if err != nil {
		return errs.Pass(err, "clear the folder")
	}
	for _, name := range names {
		_, isLog := segmentNumber(name)
		if !isLog && !slices.Contains(snapshotFileNames[:], name) && !strings.HasSuffix(name, unfinishedSuffix) {
			continue
		}
		if err := d.Remove(name); err != nil {
			return errs.Pass(err, "clear the folder")
		}
	}
	return errs.Pass(d.Sync(), "clear the folder")
}
