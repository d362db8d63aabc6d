package storage

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/routine"
)

var virtual = Options{Clock: &clock.Virtual{}}

// entry returns an entry record whose Data is unique for its term and index.
func entry(term, index uint64) Record {
	return Record{Kind: uint8(index % 3), Term: term, Index: index, Data: fmt.Appendf(nil, "%d/%d;", term, index)}
}

// hardState returns a hard state record whose Data is unique for the term.
func hardState(term uint64) Record {
	return Record{Kind: KindHardState, Data: fmt.Appendf(nil, "vote %d", term)}
}

// model is the expected content of a store.
type model struct {
	hardState []byte   // Data of the hard state; nil: none
	entries   []Record // from index 1 on
}

// with returns the model after records are appended.
func (m model) with(records ...Record) model {
	m.entries = slices.Clone(m.entries)
	for _, r := range records {
		if r.Kind == KindHardState {
			m.hardState = r.Data
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

// matches reports whether the recovered state equals the model.
func (m model) matches(recovered Recovered) bool {
	records, from := recovered.Records, uint64(0)
	if m.hardState != nil {
		if len(records) == 0 || records[0].Kind != KindHardState || !bytes.Equal(records[0].Data, m.hardState) {
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

// mustOpen returns the store of an Open call, which must have succeeded.
func mustOpen(s *Store, _ Recovered, err error) *Store {
	So(err, ShouldBeNil)
	return s
}

// filledDisk returns a folder with two snapshots (at 4 and 8), entries up to 11 and a hard state, and its model.
func filledDisk() (*MemDisk, model) {
	d, m := NewMemDisk(), model{}
	s := mustOpen(Open(d, virtual))
	for _, at := range []uint64{1, 5, 9} {
		records := []Record{hardState(at), entry(at, at), entry(at, at+1), entry(at, at+2)}
		if at < 9 {
			records = append(records, entry(at, at+3))
		}
		So(s.Append(records), ShouldBeNil)
		if m = m.with(records...); at < 9 {
			So(s.WriteSnapshot(m.snapshot(at+3), 0), ShouldBeNil)
		}
	}
	So(s.Close(), ShouldBeNil)
	So(s.Append([]Record{hardState(1)}), shouldBeKind, errs.Stopped)
	return d, m
}

// shouldBeKind is an assertion on the kind of an error; an empty kind expects no error.
func shouldBeKind(actual any, expected ...any) string {
	err, _ := actual.(error)
	return ShouldEqual(errs.KindOf(err), expected[0])
}

func TestStore_realFolder(t *testing.T) {
	Convey("In a folder of the file system, appended records are recovered and counted by Stats", t, func() {
		d, err := OSDisk(t.TempDir() + "/store")
		So(err, ShouldBeNil)
		s, recovered, err := Open(d, Options{})
		So(err, ShouldBeNil)
		So(recovered.Fresh, ShouldBeTrue)
		_, err = s.NewestSnapshot()
		So(err, shouldBeKind, errs.Unknown)
		m := model{}.with(hardState(1), entry(1, 1), entry(1, 2), entry(1, 3))
		So(s.Append(append(m.entries, hardState(1))), ShouldBeNil)
		So(s.WriteSnapshot(m.snapshot(2), 0), ShouldBeNil)
		snap, err := s.NewestSnapshot()
		So(err, ShouldBeNil)
		So(string(snap.Body), ShouldEqual, "1/1;1/2;")
		So(string(snap.Meta), ShouldEqual, "members")
		So(s.Append([]Record{entry(2, 3), entry(2, 4)}), ShouldBeNil) // replaces 1/3
		So(s.Stats().Records, ShouldEqual, 6)
		So(s.Stats().Segments, ShouldEqual, 2)
		So(s.Append([]Record{entry(2, 6)}), shouldBeKind, errs.Invalid)
		So(s.Append([]Record{entry(2, 2)}), shouldBeKind, errs.Invalid)
		So(s.WriteSnapshot(m.snapshot(1), 0), shouldBeKind, errs.Invalid)
		So(s.Close(), ShouldBeNil)
		s, recovered, err = Open(d, Options{})
		So(err, ShouldBeNil)
		So(recovered.Fresh, ShouldBeFalse)
		So(m.with(entry(2, 3), entry(2, 4)).matches(recovered), ShouldBeTrue)
		So(s.Close(), ShouldBeNil)
	})
}

func TestWriteSnapshot_ofAnotherMember(t *testing.T) {
	Convey("A snapshot from another member removes only the entries that it contradicts", t, func() {
		d, m := filledDisk()
		s := mustOpen(Open(d, virtual))
		So(s.WriteSnapshot(Snapshot{Index: 10, Term: 20, Body: []byte("theirs")}, 0), ShouldBeNil)
		So(s.Append([]Record{entry(20, 12)}), shouldBeKind, errs.Invalid)
		So(s.Append([]Record{entry(20, 11)}), ShouldBeNil)
		_, recovered, err := Open(d, virtual)
		So(err, ShouldBeNil)
		So(recovered.Snapshot.Number, ShouldEqual, 3)
		So(recovered.Records, ShouldResemble, []Record{{Kind: KindHardState, Data: m.hardState}, entry(20, 11)})
		d.flip(snapshotFileNames[0], 60, 1) // damages that snapshot, which the log cannot replace
		_, _, err = Open(d, virtual)
		So(err, shouldBeKind, errs.Damaged)
	})
}

func TestWriteSnapshot_keepFrom(t *testing.T) {
	Convey("Segments with entries from keepFrom on are kept until a later snapshot without keepFrom", t, func() {
		d, m := filledDisk()
		s := mustOpen(Open(d, virtual))
		So(s.WriteSnapshot(m.snapshot(11), 6), ShouldBeNil)
		So(s.Stats().Segments, ShouldEqual, 3)
		So(s.WriteSnapshot(m.snapshot(11), 0), ShouldBeNil)
		So(s.Stats().Segments, ShouldEqual, 1)
	})
}

func TestStore_concurrentUse(t *testing.T) {
	Convey("Appends and snapshots may run concurrently", t, func() {
		d, m := NewMemDisk(), model{}
		for i := uint64(1); i <= 300; i++ {
			m = m.with(entry(1, i))
		}
		s := mustOpen(Open(d, virtual))
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
		So(m.matches(recovered), ShouldBeTrue)
	})
}
