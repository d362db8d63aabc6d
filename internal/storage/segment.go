package storage

import (
	"fmt"

	"crosstide/internal/errs"
)

// segment is one file of the log.
type segment struct {
	number    uint64 // in its name and in the checksums of its records; the next segment has the next number
	lastEntry uint64 // highest index of an entry in it; 0: it has none
}

// name returns the name of the segment's file.
func (g segment) name() string { return fmt.Sprintf("%s%016d", segmentPrefix, g.number) }

// track records that r is in the segment.
func (g *segment) track(r Record) {
	if r.Kind < kindSnapshot {
		g.lastEntry = max(g.lastEntry, r.Index)
	}
}

// segmentNumber returns the number of the segment whose file has the name; false if it is not that of a segment.
func segmentNumber(name string) (number uint64, ok bool) {
	_, err := fmt.Sscanf(name, segmentPrefix+"%d", &number)
	return number, err == nil && segment{number: number}.name() == name
}

// segmentHead returns the first records of a segment: the newest snapshot and the hard state, so that the segments
// before it can be removed. Data in the first record means that a hard state follows. The caller holds mu.
func (s *Store) segmentHead() []Record {
	head := []Record{s.newest.record()}
	if s.log.state.hardState != nil {
		head[0].Data = []byte{1}
		head = append(head, *s.log.state.hardState)
	}
	return head
}

// startSegment writes the file of g with its first records, and makes it the one that Append writes to. The caller
// holds mu.
func (s *Store) startSegment(g segment, records []Record) error {
	var buf []byte
	for _, r := range records {
		buf = appendRecord(buf, g.number, 0, r)
	}
	file, err := s.writeFile(g.name(), buf)
	if err != nil {
		return errs.Pass(err, "segment to append to")
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
