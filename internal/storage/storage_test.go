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

// model is what a store must have.
type model struct {
	hard    []byte
	entries []Record // from index 1 on
}

// with returns the model after an Append of records.
func (m model) with(records ...Record) model {
	m.entries = slices.Clone(m.entries)
	for _, r := range records {
		if r.Kind == KindHardState {
			m.hard = r.Data
		} else {
			m.entries = append(m.entries[:r.Index-1], r)
		}
	}
	return m
}

// snapshot returns the snapshot at an index.
func (m model) snapshot(index uint64) Snapshot {
	snap := Snapshot{Index: index, Meta: []byte("members")}
	for _, r := range m.entries[:index] {
		snap.Term, snap.Body = r.Term, append(snap.Body, r.Data...)
	}
	return snap
}

// fits reports whether m was recovered.
func (m model) fits(recovered Recovered) bool {
	records, from := recovered.Records, uint64(0)
	if m.hard != nil {
		if len(records) == 0 || records[0].Kind != KindHardState || !bytes.Equal(records[0].Data, m.hard) {
			return false
		}
		records = records[1:]
	}
	if snap := recovered.Snapshot; snap != nil {
		from = snap.Index
		if from > uint64(len(m.entries)) || !bytes.Equal(snap.Body, m.snapshot(from).Body) {
			return false
		}
	}
	return slices.EqualFunc(records, m.entries[from:], func(a, b Record) bool {
		return a.Kind == b.Kind && a.Term == b.Term && a.Index == b.Index && bytes.Equal(a.Data, b.Data)
	})
}

// must returns the store of an Open that has to succeed.
func must(s *Store, _ Recovered, err error) *Store {
	So(err, ShouldBeNil)
	return s
}

// filled returns a folder with two snapshots (at 4 and 8), entries up to 11 and a hard state.
func filled() (*MemDisk, model) {
	d, m := NewMemDisk(), model{}
	s := must(Open(d, virtual))
	for _, at := range []uint64{1, 5, 9} {
		records := []Record{hard(at), entry(at, at), entry(at, at+1), entry(at, at+2)}
		if at < 9 {
			records = append(records, entry(at, at+3))
		}
		So(s.Append(records), ShouldBeNil)
		if m = m.with(records...); at < 9 {
			So(s.WriteSnapshot(m.snapshot(at+3), 0), ShouldBeNil)
		}
	}
	So(s.Close(), ShouldBeNil)
	So(s.Append([]Record{hard(1)}), shouldBe, errs.Stopped)
	return d, m
}

// shouldBe is an assertion on the kind of an error; empty: none.
func shouldBe(actual any, expected ...any) string {
	err, _ := actual.(error)
	return ShouldEqual(errs.KindOf(err), expected[0])
}

func TestStore_realFolder(t *testing.T) {
	Convey("In a folder of the system, what was appended is recovered, and Stats counts it", t, func() {
		d, err := OSDisk(t.TempDir() + "/store")
		So(err, ShouldBeNil)
		s, recovered, err := Open(d, Options{})
		So(err, ShouldBeNil)
		So(recovered.Fresh, ShouldBeTrue)
		_, err = s.NewestSnapshot()
		So(err, shouldBe, errs.Unknown)
		m := model{}.with(hard(1), entry(1, 1), entry(1, 2), entry(1, 3))
		So(s.Append(append(m.entries, hard(1))), ShouldBeNil)
		So(s.WriteSnapshot(m.snapshot(2), 0), ShouldBeNil)
		snap, err := s.NewestSnapshot()
		So(err, ShouldBeNil)
		So(string(snap.Body), ShouldEqual, "1/1;1/2;")
		So(string(snap.Meta), ShouldEqual, "members")
		So(s.Append([]Record{entry(2, 3), entry(2, 4)}), ShouldBeNil) // replaces 1/3
		So(s.Stats().Records, ShouldEqual, 6)
		So(s.Stats().Segments, ShouldEqual, 2)
		So(s.Append([]Record{entry(2, 6)}), shouldBe, errs.Invalid)
		So(s.Append([]Record{entry(2, 2)}), shouldBe, errs.Invalid)
		So(s.WriteSnapshot(m.snapshot(1), 0), shouldBe, errs.Invalid)
		So(s.Close(), ShouldBeNil)
		s, recovered, err = Open(d, Options{})
		So(err, ShouldBeNil)
		So(recovered.Fresh, ShouldBeFalse)
		So(m.with(entry(2, 3), entry(2, 4)).fits(recovered), ShouldBeTrue)
		So(s.Close(), ShouldBeNil)
	})
}

func TestWriteSnapshot_ofAnotherMember(t *testing.T) {
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
		d.flip(snapshotFileNames[0], 60, 1) // that snapshot; the log cannot replace it
		_, _, err = Open(d, virtual)
		So(err, shouldBe, errs.Damaged)
	})
}

func TestWriteSnapshot_keepFrom(t *testing.T) {
	Convey("Segments with entries from keepFrom on stay until a later snapshot without it", t, func() {
		d, m := filled()
		s := must(Open(d, virtual))
		So(s.WriteSnapshot(m.snapshot(11), 6), ShouldBeNil)
		So(s.Stats().Segments, ShouldEqual, 3)
		So(s.WriteSnapshot(m.snapshot(11), 0), ShouldBeNil)
		So(s.Stats().Segments, ShouldEqual, 1)
	})
}

func TestOpen_everyPrefix(t *testing.T) {
	Convey("Every prefix of the log recovers the complete records in it, also with zeros after it", t, func() {
		d, m := NewMemDisk(), model{}
		s := must(Open(d, virtual))
		name := s.log.segments[0].name()
		ends := []int{len(d.Bytes(name))} // by number of entries
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

// continuesFrom reports whether a folder opens to a model, takes an entry after it, and opens again to both.
func continuesFrom(d *MemDisk, want model) bool {
	s, recovered, err := Open(d, virtual)
	if err != nil || !want.fits(recovered) {
		return false
	}
	next := entry(2, uint64(len(want.entries))+1)
	if s.Append([]Record{next}) != nil {
		return false
	}
	_, recovered, err = Open(d, virtual)
	return err == nil && recovered.TornBytes == 0 && want.with(next).fits(recovered)
}

func TestOpen_invertedBits(t *testing.T) {
	Convey("An inverted bit anywhere is damage, a torn last record, or repaired from the log", t, func() {
		d, m := filled()
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
				case err == nil && isTail && recovered.TornBytes > 0 && (model{m.hard, m.entries[:10]}).fits(recovered):
					torn++
				case err == nil && !isSegment && m.fits(recovered):
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
		broken string // last letters of the names of snapshot files
		kind   errs.Kind
	}{{"", ""}, {"a", ""}, {"b", ""}, {"ab", errs.Damaged}} {
		for _, isMissing := range []bool{false, true} {
			name := fmt.Sprintf("broken %q, missing %t", c.broken, isMissing)
			Convey("The log continues either snapshot, and without both of them it is damaged: "+name, t, func() {
				d, m := filled()
				for _, letter := range c.broken {
					name := "slot-" + string(letter)
					if d.Put(name, d.Bytes(name)[:20]); isMissing {
						So(d.Remove(name), ShouldBeNil)
					}
				}
				_, recovered, err := Open(d, virtual)
				So(err, shouldBe, c.kind)
				So(err != nil || m.fits(recovered), ShouldBeTrue)
			})
		}
	}
	Convey("Without the older snapshot and the segment after it the log is damaged", t, func() {
		d, _ := filled()
		names, _ := d.List()
		So(d.Remove(names[0]), ShouldBeNil)
		So(d.Remove(snapshotFileNames[1]), ShouldBeNil)
		_, _, err := Open(d, virtual)
		So(err, shouldBe, errs.Damaged)
	})
}

func TestOpen_gapInLog(t *testing.T) {
	Convey("Entries that do not follow the start, the snapshot or each other are damage", t, func() {
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
			So(err, shouldBe, c.kind)
		}
	})
}

// crashRun is a store that is used at random until its disk loses power, again and again.
type crashRun struct {
	random    *rand.Rand
	disk      *MemDisk
	model     model    // what was appended with success
	tried     []Record // by the last Append, if it failed: any first few of them may be durable
	commit    uint64   // no entry up to it is replaced
	term      uint64
	snapshots int // written
}

// useUntilPowerLoss opens the store, and appends and writes snapshots until the power of the disk fails.
func (c *crashRun) useUntilPowerLoss() {
	c.disk.PowerOff(1 + c.random.Intn(60))
	c.tried = nil
	s, _, err := Open(c.disk, virtual)
	for err == nil {
		if at := c.commit; c.random.Intn(5) == 0 && at > 0 {
			if err = s.WriteSnapshot(c.model.snapshot(at), uint64(c.random.Intn(3))*at/2); err == nil {
				c.snapshots++
			}
			continue
		}
		err = c.append(s)
	}
}

// append appends a hard state and up to three entries, which may replace entries that are not committed.
func (c *crashRun) append(s *Store) error {
	c.term++
	next := uint64(len(c.model.entries)) + 1
	if uncommitted := next - 1 - c.commit; uncommitted > 0 && c.random.Intn(4) == 0 {
		next -= uint64(c.random.Intn(int(uncommitted) + 1))
	}
	c.tried = []Record{hard(c.term)}
	for range c.random.Intn(4) {
		c.tried, next = append(c.tried, entry(c.term, next)), next+1
	}
	if err := s.Append(c.tried); err != nil {
		return errs.Pass(err, "append")
	}
	c.model, c.tried = c.model.with(c.tried...), nil
	c.commit += uint64(c.random.Intn(len(c.model.entries) + 1 - int(c.commit)))
	return nil
}

// crash loses what was not synced, in one of three cases once more while the store is opened.
func (c *crashRun) crash() {
	c.disk.Crash(c.random)
	if c.random.Intn(3) == 0 {
		c.disk.PowerOff(1 + c.random.Intn(8))
		_, _, _ = Open(c.disk, virtual)
		c.disk.Crash(c.random)
	}
}

// recovers reports whether the store opens to what was appended with success, and the first few records of tried.
func (c *crashRun) recovers() bool {
	_, recovered, err := Open(c.disk, virtual)
	if err != nil {
		return false
	}
	for n := range len(c.tried) + 1 {
		if got := c.model.with(c.tried[:n]...); got.fits(recovered) {
			c.model = got
			return true
		}
	}
	return false
}

func TestOpen_afterCrash(t *testing.T) {
	Convey("What was appended is there after a loss of power at any moment", t, func() {
		wrong, crashes, snapshots := 0, 0, 0
		for seed := range int64(600) {
			c := &crashRun{random: rand.New(rand.NewSource(seed)), disk: NewMemDisk(), term: 1}
			for round := 0; round < 6 && wrong == 0; round++ {
				c.useUntilPowerLoss()
				c.crash()
				crashes++
				if !c.recovers() {
					wrong++
					t.Logf("seed %d round %d", seed, round)
				}
			}
			snapshots += c.snapshots
		}
		So(wrong, ShouldEqual, 0)
		So(crashes, ShouldEqual, 3600)
		So(snapshots, ShouldBeGreaterThan, 1000)
	})
}

// checkFailedSync lets the n-th sync from now fail, of an append or a snapshot: the store rejects all writes after it,
// and what the next Open returns is durable.
func checkFailedSync(t *testing.T, n int, isSnapshot bool) {
	t.Helper()
	d, m := filled()
	s := must(Open(d, virtual))
	d.FailSync(n)
	var err error
	for i := 0; i < n && err == nil; i++ {
		if isSnapshot {
			err = s.WriteSnapshot(m.snapshot(11), 0)
		} else {
			err = s.Append([]Record{entry(12, 12)})
		}
	}
	So(err, shouldBe, errs.Disk)
	So(s.Append([]Record{hard(13)}), shouldBe, errs.Disk)
	So(s.WriteSnapshot(m.snapshot(11), 0), shouldBe, errs.Disk)
	_, before, err := Open(d, virtual) // the process starts again on the same machine
	So(err, ShouldBeNil)
	d.Crash(rand.New(rand.NewSource(int64(n))))
	_, after, err := Open(d, virtual)
	So(err, ShouldBeNil)
	So(after, ShouldResemble, before)
}

func TestOpen_afterFailedSync(t *testing.T) {
	for n := 1; n <= 5; n++ {
		Convey(fmt.Sprintf("A failed sync is fatal, and what is read after it is durable: sync %d", n), t, func() {
			checkFailedSync(t, n, false)
			checkFailedSync(t, n, true)
		})
	}
}

func TestStore_concurrentUse(t *testing.T) {
	Convey("Appends and snapshots may run at the same time", t, func() {
		d, m := NewMemDisk(), model{}
		for i := uint64(1); i <= 300; i++ {
			m = m.with(entry(1, i))
		}
		s := must(Open(d, virtual))
		So(s.Append(m.entries[:100]), ShouldBeNil)
		group, failures := routine.New(context.Background()), make([]error, 2)
		group.Go(func(context.Context) {
			for i := uint64(10); i <= 100 && failures[0] == nil; i += 10 {
				failures[0] = s.WriteSnapshot(m.snapshot(i), 0)
			}
		})
		group.Go(func(context.Context) {
			for i := 100; i < 300 && failures[1] == nil; i++ {
				failures[1] = s.Append(m.entries[i : i+1])
			}
		})
		group.Wait()
		So(failures, ShouldResemble, make([]error, 2))
		_, recovered, err := Open(d, virtual)
		So(err, ShouldBeNil)
		So(recovered.Snapshot.Index, ShouldEqual, 100)
		So(m.fits(recovered), ShouldBeTrue)
	})
}
