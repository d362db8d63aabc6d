package storage

import (
	"math/rand"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sys/unix"

	"crosstide/internal/errs"
)

// limited is a disk with space for free more bytes and names. A write beyond it keeps what fits, and fails.
type limited struct {
	Disk
	free *int
}

type limitedFile struct {
	File
	free *int
}

// nameCost is the space that a new name takes.
const nameCost = 8

func (d limited) Create(name string) (File, error) {
	if *d.free < nameCost {
		return nil, unix.ENOSPC
	}
	*d.free -= nameCost
	file, err := d.Disk.Create(name)
	return limitedFile{file, d.free}, errs.Pass(err, "create")
}

func (f limitedFile) Write(p []byte) (int, error) {
	if fits := *f.free; fits < len(p) {
		*f.free = 0
		n, err := f.File.Write(p[:fits])
		if err != nil {
			return n, errs.Pass(err, "write")
		}
		return n, unix.ENOSPC
	}
	*f.free -= len(p)
	n, err := f.File.Write(p)
	return n, errs.Pass(err, "write")
}

// plenty is more space than any test needs.
const plenty = 1 << 20

// fullDiskStep is a step on a disk that may be full.
type fullDiskStep struct {
	name  string
	do    func(s *Store, m model) error
	after func(m model) model // what the store must have once the step has succeeded
}

func TestFullDisk(t *testing.T) {
	for _, step := range []fullDiskStep{
		{
			name:  "append",
			do:    func(s *Store, _ model) error { return s.Append([]Record{hard(12), entry(12, 12)}) },
			after: func(m model) model { return m.with(hard(12), entry(12, 12)) },
		},
		{
			name: "append that replaces",
			do:   func(s *Store, _ model) error { return s.Append([]Record{entry(12, 10)}) },
			after: func(m model) model {
				m = m.with(entry(12, 10))
				m.entries = m.entries[:10]
				return m
			},
		},
		{
			name:  "snapshot",
			do:    func(s *Store, m model) error { return s.WriteSnapshot(m.snapshot(11), 0) },
			after: func(m model) model { return m },
		},
	} {
		Convey("However little space is left, nothing is lost, and Resume works with space: "+step.name, t, func() {
			fullErrors := 0
			for free := 0; free < 2000 && checkOnFullDisk(t, free, step); free++ {
				fullErrors++
			}
			So(fullErrors, ShouldBeGreaterThan, 20)
		})
	}
	Convey("After a failed sync Resume fails, and the store stays unusable", t, func() {
		d, _ := filled()
		s := must(Open(d, virtual))
		d.FailSync(1)
		err := s.Append([]Record{entry(12, 12)})
		So(err, shouldBe, errs.Disk)
		So(IsFull(err), ShouldBeFalse)
		So(s.Resume(), shouldBe, errs.Disk)
		So(s.Append([]Record{entry(12, 12)}), shouldBe, errs.Disk)
	})
	Convey("Open on a full disk fails, loses nothing, and succeeds once there is space", t, func() {
		for free := 0; free < 400; free++ {
			d, m := filled()
			left := free
			s, _, err := Open(limited{d, &left}, virtual)
			if err == nil {
				So(s.Close(), ShouldBeNil)
				So(free, ShouldBeGreaterThan, 20)
				return
			}
			So(IsFull(err), ShouldBeTrue)
			left = plenty
			_, recovered, err := Open(limited{d, &left}, virtual)
			So(err, ShouldBeNil)
			So(m.fits(recovered), ShouldBeTrue)
		}
		So("Open never had enough space", ShouldBeEmpty)
	})
}

// checkOnFullDisk does a step on a disk with free bytes left, and reports whether it found the disk full. In that case
// it checks what survives a loss of power, and does the step again with space.
func checkOnFullDisk(t *testing.T, free int, step fullDiskStep) (isFull bool) {
	t.Helper()
	d, m := filled()
	left := plenty
	s := must(Open(limited{d, &left}, virtual))
	left = free
	err := step.do(s, m)
	if err == nil {
		return false
	}
	So(IsFull(err), ShouldBeTrue)
	survivor := d.Clone()
	survivor.Crash(rand.New(rand.NewSource(int64(free))))
	_, recovered, err := Open(survivor, virtual)
	So(err, ShouldBeNil)
	So(m.fits(recovered) || step.after(m).fits(recovered) || m.with(hard(12)).fits(recovered), ShouldBeTrue)

	left = 0
	if err := s.Resume(); err != nil { // nil after a snapshot that found no space: the store stayed usable
		So(IsFull(err), ShouldBeTrue)
		So(IsFull(s.Append([]Record{hard(13)})), ShouldBeTrue)
	}
	left = plenty
	So(s.Resume(), ShouldBeNil)
	So(step.do(s, m), ShouldBeNil)
	d.Crash(rand.New(rand.NewSource(int64(free))))
	_, recovered, err = Open(d, virtual)
	So(err, ShouldBeNil)
	So(step.after(m).fits(recovered), ShouldBeTrue)
	return true
}

// descriptorLimited is a disk whose process is out of descriptors while left is 0.
type descriptorLimited struct {
	Disk
	left *int
}

func (d descriptorLimited) Create(name string) (File, error) {
	if *d.left <= 0 {
		return nil, unix.EMFILE
	}
	file, err := d.Disk.Create(name)
	return file, errs.Pass(err, "create")
}

func TestOutOfDescriptors(t *testing.T) {
	Convey("A snapshot that finds no descriptor fails as on a full disk, and is written once there is one", t, func() {
		left := 10
		disk := NewMemDisk()
		store, _, err := Open(descriptorLimited{disk, &left}, Options{})
		So(err, ShouldBeNil)
		So(store.Append([]Record{hard(1), entry(1, 1)}), ShouldBeNil)
		left = 0
		snap := Snapshot{Index: 1, Term: 1, Body: []byte("state")}
		err = store.WriteSnapshot(snap, 0)
		So([]any{IsFull(err), errs.KindOf(err)}, ShouldResemble, []any{true, errs.Disk})
		So(IsFull(store.WriteSnapshot(snap, 0)), ShouldBeTrue)
		left = 10
		So(store.Resume(), ShouldBeNil)
		So(store.WriteSnapshot(snap, 0), ShouldBeNil)
		So(store.Append([]Record{entry(1, 2)}), ShouldBeNil)
		So(store.Close(), ShouldBeNil)
	})
	Convey("A rename is made durable without a descriptor, as the folder was opened in advance", t, func() {
		disk, err := OSDisk(t.TempDir())
		So(err, ShouldBeNil)
		var limit unix.Rlimit
		So(unix.Getrlimit(unix.RLIMIT_NOFILE, &limit), ShouldBeNil)
		none := unix.Rlimit{Cur: 0, Max: limit.Max}
		So(unix.Setrlimit(unix.RLIMIT_NOFILE, &none), ShouldBeNil)
		syncErr := disk.Sync()
		_, createErr := disk.Create("a")
		So(unix.Setrlimit(unix.RLIMIT_NOFILE, &limit), ShouldBeNil)
		So(syncErr, ShouldBeNil)
		So(IsFull(markFull(createErr)), ShouldBeTrue)
	})
}
