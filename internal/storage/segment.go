package storage

import (
	"fmt"

	"crosstide/internal/errs"
)

type segment struct {
	number    uint64
	lastEntry uint64 // highest index of an entry
}

func (g segment) name() string { return fmt.Sprintf("%s%016d", segmentPrefix, g.number) }

func (g *segment) track(r Record) {
	if r.Kind < kindSnapshot {
		g.lastEntry = max(g.lastEntry, r.Index)
	}
}

// segmentNumber returns the number of the log segment that has the name; false if none has.
func segmentNumber(name string) (number uint64, ok bool) {
	_, err := fmt.Sscanf(name, segmentPrefix+"%d", &number)
	return number, err == nil && segment{number: number}.name() == name
}

// segmentHead returns the first records of a segment. Data in the first one means that the hard state follows.
func (s *Store) segmentHead() []Record {
	out := []Record{{Kind: kindSnapshot, Index: s.newest.Index, Term: s.newest.Term}}
	if s.log.hardState != nil {
		out[0].Data = []byte{1}
		out = append(out, *s.log.hardState)
	}
	return out
}

// startSegment makes g, with recs in it, the segment to append to.
func (s *Store) startSegment(g segment, recs []Record) error {
	var buf []byte
	for _, r := range recs {
		buf = appendRecord(buf, g.number, 0, r)
	}
	file, err := s.writeFile(g.name(), buf)
	if err != nil {
		return errs.Pass(err, "segment to append to")
	}
	if s.file != nil {
		_ = s.file.Close() // synced before
	}
	s.file, s.size = file, len(buf)
	return nil
}

// writeFile writes a file under a temporary name, syncs it, renames it and syncs the folder.
func (s *Store) writeFile(name string, parts ...[]byte) (File, error) {
	file, err := s.disk.Create(name + unfinishedSuffix)
	if err != nil {
		return nil, errs.Wrap(markFull(err), errs.Disk, "create %s", name)
	}
	bytes := 0
	for _, p := range parts {
		if _, err = file.Write(p); err != nil {
			err = markFull(err)
			break
		}
		bytes += len(p)
	}
	if err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = markFull(s.disk.Rename(name+unfinishedSuffix, name))
	}
	if err == nil {
		err = s.disk.Sync()
	}
	if err != nil {
		_ = file.Close() // the write has failed already
		return nil, errs.Wrap(err, errs.Disk, "write %s", name)
	}
	s.updateStats(func(c *Stats) { c.Syncs, c.Bytes = c.Syncs+2, c.Bytes+uint64(bytes) })
	return file, nil
}

func (s *Store) removeSegment(number uint64) error {
	name := segment{number: number}.name()
	if err := s.disk.Remove(name); err != nil {
		return errs.Wrap(err, errs.Disk, "remove %s", name)
	}
	s.updateStats(func(c *Stats) { c.Syncs++ })
	return errs.Wrap(s.disk.Sync(), errs.Disk, "sync the folder")
}
