package storage

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
)

func TestOpen_everyPrefix(t *testing.T) {
	Convey("Every prefix of the log, with or without zeros after it, recovers its complete records", t, func() {
		d, m := NewMemDisk(), model{}
		s := mustOpen(Open(d, virtual))
		name := s.log.segments[0].name()
		ends := []int{len(d.Bytes(name))} // length of the file by number of entries
		for i := uint64(1); i <= 5; i++ {
			So(s.Append([]Record{entry(1, i)}), ShouldBeNil)
			m, ends = m.with(entry(1, i)), append(ends, len(d.Bytes(name)))
		}
		content, wrong := d.Bytes(name), 0
		for _, zeros := range []int{0, 50} {
			for cut := range len(content) + 1 {
				complete := 0
				for complete < 5 && ends[complete+1] <= cut {
					complete++
				}
				left := NewMemDisk()
				left.Put(name, append(slices.Clone(content[:cut]), make([]byte, zeros)...))
				if !continuesFrom(left, model{entries: m.entries[:complete]}) {
					wrong++
				}
			}
		}
		So(wrong, ShouldEqual, 0)
	})
}

// continuesFrom reports whether Open recovers a model from a folder, the next entry can be appended, and Open then
// recovers both.
func continuesFrom(d *MemDisk, want model) bool {
	s, recovered, err := Open(d, virtual)
	if err != nil || !want.matches(recovered) {
		return false
	}
	next := entry(2, uint64(len(want.entries))+1)
	if s.Append([]Record{next}) != nil {
		return false
	}
	_, recovered, err = Open(d, virtual)
	return err == nil && recovered.TornBytes == 0 && want.with(next).matches(recovered)
}

// TestOpen_invertedBits guards against bit rot that goes unnoticed: an inverted bit must not change a record, or
// silently remove one that is not the last.
func TestOpen_invertedBits(t *testing.T) {
	Convey("An inverted bit is reported as damage, removed as a torn last record, or repaired from the log", t, func() {
		d, m := filledDisk()
		names, _ := d.List()
		So(names, ShouldHaveLength, 4)
		last := names[1]
		lastRecord := len(d.Bytes(last)) - recordHeaderSize - len(m.entries[10].Data)
		damaged, torn, repaired, wrong := 0, 0, 0, 0
		for _, name := range names {
			for at := range d.Bytes(name) {
				flipped := d.Clone()
				flipped.flip(name, at, 1<<(at%8))
				_, recovered, err := Open(flipped, virtual)
				isSegment := name[:4] == segmentPrefix
				isTail := name == last && at >= lastRecord
				switch {
				case errs.Is(err, errs.Damaged) && isSegment && !isTail:
					damaged++
				case err == nil && isTail && recovered.TornBytes > 0 && (model{m.hardState, m.entries[:10]}).matches(recovered):
					torn++
				case err == nil && !isSegment && m.matches(recovered):
					repaired++
				default:
					wrong++
				}
			}
		}
		So(wrong, ShouldEqual, 0)
		So(damaged*torn*repaired, ShouldBeGreaterThan, 0)
	})
}

func TestOpen_snapshotsTornOrMissing(t *testing.T) {
	for _, c := range []struct {
		broken string // last letters of the names of the broken snapshot files
		kind   errs.Kind
	}{{"", ""}, {"a", ""}, {"b", ""}, {"ab", errs.Damaged}} {
		for _, isMissing := range []bool{false, true} {
			name := fmt.Sprintf("broken %q, missing %t", c.broken, isMissing)
			Convey("Open succeeds with either snapshot and reports damage without both: "+name, t, func() {
				d, m := filledDisk()
				for _, letter := range c.broken {
					name := "slot-" + string(letter)
					if d.Put(name, d.Bytes(name)[:20]); isMissing {
						So(d.Remove(name), ShouldBeNil)
					}
				}
				_, recovered, err := Open(d, virtual)
				So(err, shouldBeKind, c.kind)
				So(err != nil || m.matches(recovered), ShouldBeTrue)
			})
		}
	}
	Convey("Without the older snapshot and the segment that continues it, Open reports damage", t, func() {
		d, _ := filledDisk()
		names, _ := d.List()
		So(d.Remove(names[0]), ShouldBeNil)
		So(d.Remove(snapshotFileNames[1]), ShouldBeNil)
		_, _, err := Open(d, virtual)
		So(err, shouldBeKind, errs.Damaged)
	})
}

func TestOpen_gapInLog(t *testing.T) {
	Convey("Open reports a gap before the first entry, after the snapshot or between entries as damage", t, func() {
		for _, c := range []struct {
			snapshot, first, second uint64
			kind                    errs.Kind
		}{
			{0, 2, 3, errs.Damaged},
			{0, 1, 3, errs.Damaged},
			{4, 6, 7, errs.Damaged},
			{4, 5, 7, errs.Damaged},
			{4, 5, 6, ""},
		} {
			d, content := NewMemDisk(), []byte(nil)
			head, tail := encodeSnapshot(Snapshot{Number: 1, Index: c.snapshot, Term: 1})
			if c.snapshot > 0 {
				d.Put(snapshotFileNames[0], append(head, tail...))
			}
			newest := Record{Kind: kindSnapshot, Index: c.snapshot, Term: 1}
			for _, r := range []Record{newest, entry(1, c.first), entry(1, c.second)} {
				content = appendRecord(content, 1, 0, r)
			}
			d.Put(segment{number: 1}.name(), content)
			_, _, err := Open(d, virtual)
			So(err, shouldBeKind, c.kind)
		}
	})
}
