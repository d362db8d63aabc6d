package storage

import (
	"bytes"
	"context"
	"fmt"
	"math/rand"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/routine"
)

var virtual = Options{Clock: &clock.Virtual{}}

func entry(term, index uint64) Record {
	return Record{Kind: uint8(index % 3), Term: term, Index: index, Data: fmt.Appendf(nil, "%d/%d;", term, index)}
}

func hard(term uint64) Record {
	return Record{Kind: KindHardState, Data: fmt.Appendf(nil, "vote %d", term)}
}

// model is what a store must hold.
type model struct {
	hard    []byte
	entries []Record // all from 1 on
}

func (m model) with(recs ...Record) model {
	m.entries = slices.Clone(m.entries)
	for _, r := range recs {
		if r.Kind == KindHardState {
			m.hard = r.Data
		} else {
			m.entries = append(m.entries[:r.Index-1], r)
		}
	}
	return m
}

func (m model) image(index uint64) Snapshot {
	snap := Snapshot{Index: index, Meta: []byte("members")}
	for _, r := range m.entries[:index] {
		snap.Term, snap.Body = r.Term, append(snap.Body, r.Data...)
	}
	return snap
}

// fits reports whether m was recovered.
func (m model) fits(recovered Recovered) bool {
	recs, from := recovered.Records, uint64(0)
	if m.hard != nil {
		if len(recs) == 0 || recs[0].Kind != KindHardState || !bytes.Equal(recs[0].Data, m.hard) {
			return false
		}
		recs = recs[1:]
	}
	if recovered.Snapshot != nil {
		if from = recovered.Snapshot.Index; from > uint64(len(m.entries)) || !bytes.Equal(recovered.Snapshot.Body, m.image(from).Body) {
			return false
		}
	}
	return slices.EqualFunc(recs, m.entries[from:], func(a, b Record) bool {
		return a.Kind == b.Kind && a.Term == b.Term && a.Index == b.Index && bytes.Equal(a.Data, b.Data)
	})
}

func must(s *Store, _ Recovered, err error) *Store {
	So(err, ShouldBeNil)
	return s
}

// filled is a folder with two snapshots (at 4 and 8), entries to 11 and a hard state.
func filled() (*MemDisk, model) {
	d, m := NewMemDisk(), model{}
	s := must(Open(d, virtual))
	for _, at := range []uint64{1, 5, 9} {
		recs := []Record{hard(at), entry(at, at), entry(at, at+1), entry(at, at+2)}
		if at < 9 {
			recs = append(recs, entry(at, at+3))
		}
		So(s.Append(recs), ShouldBeNil)
		if m = m.with(recs...); at < 9 {
			So(s.WriteSnapshot(m.image(at+3), 0), ShouldBeNil)
		}
	}
	So(s.Close(), ShouldBeNil)
	So(s.Append([]Record{hard(1)}), shouldBe, errs.Stopped)
	return d, m
}

func shouldBe(actual any, expected ...any) string {
	err, _ := actual.(error)
	return ShouldEqual(errs.KindOf(err), expected[0])
}

func TestStore(t *testing.T) {
	Convey("On a real folder, groups survive and Stats count them", t, func() {
		d, err := OSDisk(t.TempDir() + "/store")
		So(err, ShouldBeNil)
		s, recovered, err := Open(d, Options{})
		So(err, ShouldBeNil)
		So(recovered.Fresh, ShouldBeTrue)
		_, err = s.NewestSnapshot()
		So(err, shouldBe, errs.Unknown)
		m := model{}.with(hard(1), entry(1, 1), entry(1, 2), entry(1, 3))
		So(s.Append(append(m.entries, hard(1))), ShouldBeNil)
		So(s.WriteSnapshot(m.image(2), 0), ShouldBeNil)
		snap, err := s.NewestSnapshot()
		So(err, ShouldBeNil)
		So(string(snap.Body), ShouldEqual, "1/1;1/2;")
		So(string(snap.Meta), ShouldEqual, "members")
		So(s.Append([]Record{entry(2, 3), entry(2, 4)}), ShouldBeNil) // takes the place of 1/3
		So(s.Stats().Records, ShouldEqual, 6)
		So(s.Stats().Segments, ShouldEqual, 2)
		So(s.Append([]Record{entry(2, 6)}), shouldBe, errs.Invalid)
		So(s.Append([]Record{entry(2, 2)}), shouldBe, errs.Invalid)
		So(s.WriteSnapshot(m.image(1), 0), shouldBe, errs.Invalid)
		So(s.Close(), ShouldBeNil)
		s, recovered, err = Open(d, Options{})
		So(err, ShouldBeNil)
		So(recovered.Fresh, ShouldBeFalse)
		So(m.with(entry(2, 3), entry(2, 4)).fits(recovered), ShouldBeTrue)
		So(s.Close(), ShouldBeNil)
	})
	Convey("A snapshot from another member removes what it contradicts, and only that", t, func() {
		d, m := filled()
		s := must(Open(d, virtual))
		So(s.WriteSnapshot(Snapshot{Index: 10, Term: 20, Body: []byte("theirs")}, 0), ShouldBeNil)
		So(s.Append([]Record{entry(20, 12)}), shouldBe, errs.Invalid)
		So(s.Append([]Record{entry(20, 11)}), ShouldBeNil)
		_, recovered, err := Open(d, virtual)
		So(err, ShouldBeNil)
		So(recovered.Snapshot.Number, ShouldEqual, 3)
		So(recovered.Records, ShouldResemble, []Record{{Kind: KindHardState, Data: m.hard}, entry(20, 11)})
		d.flip(snapshotFileNames[0], 60, 1) // theirs; the log cannot replace it
		_, _, err = Open(d, virtual)
		So(err, shouldBe, errs.Damaged)
	})
	Convey("keepFrom keeps segments", t, func() {
		d, m := filled()
		s := must(Open(d, virtual))
		So(s.WriteSnapshot(m.image(11), 6), ShouldBeNil)
		So(s.Stats().Segments, ShouldEqual, 3)
		So(s.WriteSnapshot(m.image(11), 0), ShouldBeNil)
		So(s.Stats().Segments, ShouldEqual, 1)
	})
}

func TestOpen_damagedFiles(t *testing.T) {
	Convey("Every prefix of the log recovers the complete records in it", t, func() {
		d, m, ends := NewMemDisk(), model{}, []int{}
		s := must(Open(d, virtual))
		name := s.log.segments[0].name()
		ends = append(ends, len(d.Bytes(name)))
		for i := uint64(1); i <= 5; i++ {
			So(s.Append([]Record{entry(1, i)}), ShouldBeNil)
			m, ends = m.with(entry(1, i)), append(ends, len(d.Bytes(name)))
		}
		all, wrong := d.Bytes(name), 0
		for _, zeros := range []int{0, 50} {
			for cut := range len(all) + 1 {
				c, whole := NewMemDisk(), 0
				c.Put(name, append(slices.Clone(all[:cut]), make([]byte, zeros)...))
				for whole < 5 && ends[whole+1] <= cut {
					whole++
				}
				want := model{entries: m.entries[:whole]}
				s, recovered, err := Open(c, virtual)
				if err != nil || !want.fits(recovered) || s.Append([]Record{entry(2, uint64(whole)+1)}) != nil {
					wrong++
					continue
				}
				_, recovered, err = Open(c, virtual)
				if err != nil || recovered.TornBytes != 0 || !want.with(entry(2, uint64(whole)+1)).fits(recovered) {
					wrong++
				}
			}
		}
		So(wrong, ShouldEqual, 0)
	})
	Convey("An inverted bit anywhere is damage, a torn last record, or repaired from the log", t, func() {
		d, m := filled()
		names, _ := d.List()
		So(names, ShouldHaveLength, 4)
		last := names[1]
		tail := len(d.Bytes(last)) - recordHeaderSize - len(m.entries[10].Data)
		damaged, cut, good, wrong := 0, 0, 0, 0
		for _, name := range names {
			for at := range d.Bytes(name) {
				c := d.Clone()
				c.flip(name, at, 1<<(at%8))
				_, recovered, err := Open(c, virtual)
				isTail := name == last && at >= tail
				switch {
				case errs.Is(err, errs.Damaged) && name[:4] == segmentPrefix && !isTail:
					damaged++
				case err == nil && isTail && recovered.TornBytes > 0 && (model{m.hard, m.entries[:10]}).fits(recovered):
					cut++
				case err == nil && name[:4] != segmentPrefix && m.fits(recovered):
					good++
				default:
					wrong++
				}
			}
		}
		So(wrong, ShouldEqual, 0)
		So(damaged*cut*good, ShouldBeGreaterThan, 0)
	})
	Convey("Snapshots that are torn or missing", t, func() {
		for broken, kind := range map[string]errs.Kind{"": "", "a": "", "b": "", "ab": errs.Damaged} {
			for _, missing := range []bool{false, true} {
				d, m := filled()
				for _, c := range broken {
					name := "slot-" + string(c)
					if d.Put(name, d.Bytes(name)[:20]); missing {
						So(d.Remove(name), ShouldBeNil)
					}
				}
				_, recovered, err := Open(d, virtual)
				So(err, shouldBe, kind)
				So(err != nil || m.fits(recovered), ShouldBeTrue)
			}
		}
		d, _ := filled()
		names, _ := d.List()
		So(d.Remove(names[0]), ShouldBeNil)
		So(d.Remove(snapshotFileNames[1]), ShouldBeNil) // the older snapshot, and a gap after it
		_, _, err := Open(d, virtual)
		So(err, shouldBe, errs.Damaged)
	})
}

func TestOpen_gapInLog(t *testing.T) {
	Convey("Entries that do not follow the start, the snapshot or each other are damage", t, func() {
		for _, c := range []struct{ base, first, then uint64 }{{0, 2, 3}, {0, 1, 3}, {4, 6, 7}, {4, 5, 7}, {4, 5, 6}} {
			d, all := NewMemDisk(), []byte(nil)
			head, tail := encodeSnapshot(Snapshot{Number: 1, Index: c.base, Term: 1})
			if c.base > 0 {
				d.Put(snapshotFileNames[0], append(head, tail...))
			}
			for _, r := range []Record{{Kind: kindSnapshot, Index: c.base, Term: 1}, entry(1, c.first), entry(1, c.then)} {
				all = appendRecord(all, 1, 0, r)
			}
			d.Put(segment{number: 1}.name(), all)
			_, _, err := Open(d, virtual)
			So(errs.Is(err, errs.Damaged), ShouldEqual, c.then != 6)
		}
	})
}

func TestOpen_afterCrash(t *testing.T) {
	Convey("What was appended is there after a crash at any moment", t, func() {
		bad, crashes, snapshots := 0, 0, 0
		for seed := range int64(600) {
			r, d := rand.New(rand.NewSource(seed)), NewMemDisk()
			m, commit, term := model{}, uint64(0), uint64(1)
			for round := 0; round < 6 && bad == 0; round++ {
				d.PowerOff(1 + r.Intn(60))
				tried := []Record{}
				s, _, err := Open(d, virtual)
				for err == nil {
					if at := commit; r.Intn(5) == 0 && at > 0 {
						if err = s.WriteSnapshot(m.image(at), uint64(r.Intn(3))*at/2); err == nil {
							snapshots++
						}
						continue
					}
					term++
					next := uint64(len(m.entries)) + 1
					if back := next - 1 - commit; back > 0 && r.Intn(4) == 0 {
						next -= uint64(r.Intn(int(back) + 1))
					}
					tried = []Record{hard(term)}
					for range r.Intn(4) {
						tried, next = append(tried, entry(term, next)), next+1
					}
					if err = s.Append(tried); err == nil {
						m, tried = m.with(tried...), nil
						commit += uint64(r.Intn(len(m.entries) + 1 - int(commit)))
					}
				}
				d.Crash(r)
				if crashes++; r.Intn(3) == 0 { // and once more while it starts
					d.PowerOff(1 + r.Intn(8))
					_, _, _ = Open(d, virtual)
					d.Crash(r)
				}
				_, recovered, err := Open(d, virtual)
				ok := false
				for n := 0; n <= len(tried) && !ok; n++ {
					if got := m.with(tried[:n]...); err == nil && got.fits(recovered) {
						ok, m = true, got
					}
				}
				if !ok {
					bad++
					Printf("seed %d round %d: %v", seed, round, err)
				}
			}
		}
		So(bad, ShouldEqual, 0)
		So(crashes, ShouldEqual, 3600)
		So(snapshots, ShouldBeGreaterThan, 1000)
	})
	Convey("A failed sync is fatal, and what is read after it is durable", t, func() {
		for n := 1; n <= 5; n++ {
			for _, isSnapshot := range []bool{false, true} {
				d, m := filled()
				s := must(Open(d, virtual))
				d.FailSync(n)
				var err error
				for i := 0; i < n && err == nil; i++ {
					if !isSnapshot {
						err = s.Append([]Record{entry(12, 12)})
					} else {
						err = s.WriteSnapshot(m.image(11), 0)
					}
				}
				So(err, shouldBe, errs.Disk)
				So(s.Append([]Record{hard(13)}), shouldBe, errs.Disk)
				So(s.WriteSnapshot(m.image(11), 0), shouldBe, errs.Disk)
				_, before, err := Open(d, virtual) // the process starts again on the same machine
				So(err, ShouldBeNil)
				d.Crash(rand.New(rand.NewSource(int64(n))))
				_, after, err := Open(d, virtual)
				So(err, ShouldBeNil)
				So(after, ShouldResemble, before)
			}
		}
	})
	Convey("Appends and snapshots at the same time", t, func() {
		d, m := NewMemDisk(), model{}
		for i := uint64(1); i <= 300; i++ {
			m = m.with(entry(1, i))
		}
		s := must(Open(d, virtual))
		So(s.Append(m.entries[:100]), ShouldBeNil)
		g, failures := routine.New(context.Background()), make([]error, 2)
		g.Go(func(context.Context) {
			for i := uint64(10); i <= 100 && failures[0] == nil; i += 10 {
				failures[0] = s.WriteSnapshot(m.image(i), 0)
			}
		})
		g.Go(func(context.Context) {
			for i := 100; i < 300 && failures[1] == nil; i++ {
				failures[1] = s.Append(m.entries[i : i+1])
			}
		})
		g.Wait()
		So(failures, ShouldResemble, make([]error, 2))
		_, recovered, err := Open(d, virtual)
		So(err, ShouldBeNil)
		So(recovered.Snapshot.Index, ShouldEqual, 100)
		So(m.fits(recovered), ShouldBeTrue)
	})
}
