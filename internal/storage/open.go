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
func Open(d Disk, opt Options) (*Store, Boot, error) {
	s := &Store{disk: d, clock: opt.Clock, newestPlace: 1}
	if s.clock == nil {
		s.clock = clock.Real{}
	}
	boot, err := s.open()
	if err != nil {
		return nil, Boot{}, errs.Pass(err, "open the store")
	}
	return s, boot, nil
}

// folder is the folder as it is read.
type folder struct {
	images         []Snapshot // valid snapshots, newest first
	places         []int      // their places in slotNames
	slots          int        // snapshot files, valid or not
	unfinished     []string
	segmentNumbers []uint64 // of the segments
	segmentBytes   [][]byte
}

func (s *Store) scan() (f folder, err error) {
	names, err := s.disk.List()
	if err != nil {
		return f, errs.Pass(err, "look at the folder")
	}
	slices.Sort(names)
	for _, name := range names {
		place := slices.Index(slotNames[:], name)
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
		f.slots++
		img, err := readSlot(all)
		if err != nil {
			continue // the other snapshot and the log decide
		}
		i := 0
		if len(f.images) > 0 && f.images[0].Number > img.Number {
			i = 1
		}
		f.images, f.places = slices.Insert(f.images, i, img), slices.Insert(f.places, i, place)
	}
	return f, nil
}

// openedLog is the log as it was read.
type openedLog struct {
	view    logView
	tail    []Record // records of the last valid segment
	dropped int      // segments after it
	cut     int64    // bytes after the last valid record
}

// open reads the folder and makes it ready for appends.
func (s *Store) open() (boot Boot, err error) {
	f, err := s.scan()
	if err != nil {
		return boot, errs.Pass(err, "files of the store")
	}
	log, err := s.readLog(f)
	if err != nil {
		return boot, errs.Pass(err, "log")
	}
	boot.Cut = log.cut
	if len(f.segmentNumbers) == 0 && f.slots > 0 {
		return boot, errs.New(errs.Damaged, "snapshots without a log")
	}
	if err := s.chooseSnapshot(f, &log.view, &boot); err != nil {
		return boot, errs.Pass(err, "newest snapshot")
	}
	return boot, errs.Pass(s.rewriteTail(f, log), "end of the log")
}

// readLog reads the log up to its first bad byte, which may only be the torn end of the whole log.
func (s *Store) readLog(f folder) (openedLog, error) {
	var log openedLog
	for i, number := range f.segmentNumbers {
		if i > 0 && number != f.segmentNumbers[i-1]+1 {
			return log, errs.New(errs.Damaged, "segment %d follows %d", number, f.segmentNumbers[i-1])
		}
		records, end := readSegment(f.segmentBytes[i], number)
		g := segment{number: number}
		for _, r := range records {
			if !log.view.add(r) {
				return log, errs.New(errs.Damaged, "segment %d: entry %d follows %d", number, r.Index, log.view.lastIndex())
			}
			g.note(r)
		}
		s.segments, log.tail = append(s.segments, g), records
		// The first records of a segment were synced before it got its name: no torn write takes them.
		lost := len(records) == 0 && f.slots > 0 || len(records) == 1 && len(records[0].Data) > 0
		if i == 0 && lost || len(records) > 0 && records[0].Kind != kindBase {
			return log, errs.New(errs.Damaged, "segment %d lost its start", number)
		}
		if end < len(f.segmentBytes[i]) || len(records) == 0 {
			return log, errs.Pass(log.cutAt(f, i, end), "torn end")
		}
	}
	return log, nil
}

// cutAt ends the log at a byte of segment i. A valid record after it is errs.Damaged: a torn write leaves none.
func (l *openedLog) cutAt(f folder, i, end int) error {
	number := f.segmentNumbers[i]
	later := anyRecord(f.segmentBytes[i], number, end)
	l.cut = int64(len(f.segmentBytes[i]) - end)
	for j := i + 1; j < len(f.segmentNumbers); j++ {
		later = later || anyRecord(f.segmentBytes[j], f.segmentNumbers[j], 0)
		l.cut += int64(len(f.segmentBytes[j]))
	}
	if later {
		return errs.New(errs.Damaged, "segment %d is bad at byte %d, before valid records", number, end)
	}
	l.dropped = len(f.segmentNumbers) - 1 - i
	return nil
}

// chooseSnapshot takes the newest snapshot that the log follows.
func (s *Store) chooseSnapshot(f folder, view *logView, boot *Boot) error {
	for i := range f.images {
		img, t := f.images[i], *view
		if t.base.Index != img.Index || t.base.Term != img.Term {
			t.rebase(Record{Kind: kindBase, Index: img.Index, Term: img.Term})
		}
		if entries, ok := t.entriesAfter(img.Index); ok {
			*view, s.newestPlace, boot.Snapshot = t, f.places[i], &img
			s.newest = Snapshot{Number: img.Number, Index: img.Index, Term: img.Term}
			boot.Records = slices.Clone(entries)
			break
		}
	}
	if boot.Snapshot == nil {
		entries, ok := view.entriesAfter(0)
		if !ok || len(f.images) > 0 {
			return errs.New(errs.Damaged, "the log does not follow any valid snapshot (%d of %d valid)", len(f.images), f.slots)
		}
		boot.Records = slices.Clone(entries)
	}
	if view.hard != nil {
		boot.Records = slices.Insert(boot.Records, 0, *view.hard)
	}
	boot.Fresh = boot.Snapshot == nil && len(boot.Records) == 0
	return nil
}

// rewriteTail writes the last segment again, so that what Open returns is durable even if it was read from the page
// cache after a failed sync or a kill, and removes the files that are not used.
func (s *Store) rewriteTail(f folder, log openedLog) error {
	for _, name := range f.unfinished {
		if err := s.disk.Remove(name); err != nil {
			return errs.Wrap(err, errs.Disk, "remove %s", name)
		}
	}
	if len(s.segments) == 0 {
		s.segments = []segment{{number: 1}}
	}
	last := s.segments[len(s.segments)-1]
	s.log = logView{entries: log.view.entries, hard: log.view.hard, floor: log.view.floor, base: log.view.base}
	head := slices.Clone(log.tail)
	if len(log.tail) == 0 {
		head = s.segmentHead()
	} else if log.view.hard != nil && !slices.ContainsFunc(log.tail, func(r Record) bool { return r.Kind == KindHard }) {
		head = append(s.segmentHead(), log.tail[1:]...)
	}
	if s.newest.Number > 0 && !slices.ContainsFunc(head, func(r Record) bool {
		return r.Kind == kindBase && r.Index == s.newest.Index && r.Term == s.newest.Term
	}) {
		head = append(head, Record{Kind: kindBase, Index: s.newest.Index, Term: s.newest.Term})
	}
	s.log.entries = slices.Clone(log.view.entries)
	for i := range s.log.entries {
		s.log.entries[i].Data = nil
	}
	if err := s.startSegment(last, head); err != nil {
		return errs.Pass(err, "segment %d", last.number)
	}
	for i := range log.dropped { // from the end, so that no gap can stay
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
		if !isLog && !slices.Contains(slotNames[:], name) && !strings.HasSuffix(name, unfinishedSuffix) {
			continue
		}
		if err := d.Remove(name); err != nil {
			return errs.Pass(err, "clear the folder")
		}
	}
	return errs.Pass(d.Sync(), "clear the folder")
}
