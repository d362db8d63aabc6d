package storage

import (
	"fmt"

	"crosstide/internal/errs"
)

// segment is one file of the log.
type segment struct {
	number    uint64 // part of its file name and of the checksums of its records; consecutive
	lastEntry uint64 // highest index of an entry in the segment; 0: no entry
}

// name returns the name of the segment's file.
func (g segment) name() string { return fmt.Sprintf("%s%016d", segmentPrefix, g.number) }

// track updates lastEntry for a record r that is added to the segment.
func (g *segment) track(r Record) {
	if r.Kind < kindSnapshot {
		g.lastEntry = max(g.lastEntry, r.Index)
	}
}

// segmentNumber returns the number of the segment with the file name. ok is false if name is not that of a segment.
func segmentNumber(name string) (number uint64, ok bool) {
	_, err := fmt.Sscanf(name, segmentPrefix+"%d", &number)
	return number, err == nil && segment{number: number}.name() == name
}

// segmentHead returns the first records of a new segment: the newest snapshot and the hard state, so that the segments
// before it can be removed. If the first record has Data, a hard state follows it. The caller holds mu.
func (s *Store) segmentHead() []Record {
	head := []Record{s.newest.record()}
	if s.log.state.hardState != nil {
		head[0].Data = []byte{1}
		head = append(head, *s.log.state.hardState)
	}
	return head
}

// startSegment writes the file of g with its first records, and directs Append to it. g must be, or be made by the
// caller, the last element of log.segments. The caller holds mu.
func (s *Store) startSegment(g segment, records []Record) error {
	var buf []byte
	for _, r := range records {
		buf = appendRecord(buf, g.number, 0, r)
	}
	file, err := s.writeFile(g.name(), buf)
	if err != nil {
		return errs.Pass(err, "write the active segment")
	}
	if s.log.file != nil {
		_ = s.log.file.Close() // its records are synced
	}
	s.log.file, s.log.size = file, len(buf)
	return nil
}

// removeSegment removes the file of a segment and syncs the folder. Failure: Disk.
func (s *Store) removeSegment(number uint64) error {
	name := segment{number: number}.name()
	if err := s.disk.Remove(name); err != nil {
		return errs.Wrap(err, errs.Disk, "remove %s", name)
	}
	s.updateStats(func(stats *Stats) { stats.Syncs++ })
	return errs.Wrap(s.disk.Sync(), errs.Disk, "sync the folder")
}
