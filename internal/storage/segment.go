package storage

import (
	"fmt"

	"crosstide/internal/errs"
)

// segment is one file of the log. Its number is in its name and in the checksums of its records.
type segment struct {
	number    uint64
	lastEntry uint64 // highest index of an entry in it; 0: it has none
}

func (g segment) name() string { return fmt.Sprintf("%s%016d", segmentPrefix, g.number) }

// track takes note of a record that is in the segment.
func (g *segment) track(r Record) {
	if r.Kind < kindSnapshot {
		g.lastEntry = max(g.lastEntry, r.Index)
	}
}

// segmentNumber returns the number of the segment that has the file name; false if none has.
func segmentNumber(name string) (number uint64, ok bool) {
	_, err := fmt.Sscanf(name, segmentPrefix+"%d", &number)
	return number, err == nil && segment{number: number}.name() == name
}

// segmentHead returns the first records of a segment, so that it does not depend on those before it. Data in the first
// one means that the hard state follows.
func (s *Store) segmentHead() []Record {
	out := []Record{s.newest.record()}
	if s.log.state.hardState != nil {
		out[0].Data = []byte{1}
		out = append(out, *s.log.state.hardState)
	}
	return out
}

// startSegment makes g, with records in it, the segment to append to. The caller holds mu.
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
		_ = s.log.file.Close() // synced before
	}
	s.log.file, s.log.size = file, len(buf)
	return nil
}

func (s *Store) removeSegment(number uint64) error {
	name := segment{number: number}.name()
	if err := s.disk.Remove(name); err != nil {
		return errs.Wrap(err, errs.Disk, "remove %s", name)
	}
	s.updateStats(func(stats *Stats) { stats.Syncs++ })
	return errs.Wrap(s.disk.Sync(), errs.Disk, "sync the folder")
}
