package storage

import (
	"math/rand"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sys/unix"

	"crosstide/internal/errs"
)

// limitedDisk is a disk with limited space: a byte occupies one unit of free, a new name nameCost units. A write that
// exceeds it stores as many bytes as possible and fails.
type limitedDisk struct {
	Disk
	free *int
}

type limitedFile struct {
	File
	free *int
}

// nameCost is the space that a new name occupies.
const nameCost = 8

func (d limitedDisk) Create(name string) (File, error) {
	if *d.free < nameCost {
		return nil, unix.ENOSPC
	}
	*d.free -= nameCost
	file, err := d.Disk.Create(name)
	return limitedFile{file, d.free}, errs.Pass(err, "create")
}

func (f limitedFile) Write(p []byte) (int, error) {
	if available := *f.free; available < len(p) {
		*f.free = 0
		n, err := f.File.Write(p[:available])
		if err != nil {
			return n, errs.Pass(err, "write")
		}
		return n, unix.ENOSPC
	}
	*f.free -= len(p)
	n, err := f.File.Write(p)
	return n, errs.Pass(err, "write")
}

// ampleSpace is more space than any test needs.
const ampleSpace = 1 << 20

// fullDiskStep is an operation on a disk that may be full.
type fullDiskStep struct {
	name  string
	do    func(s *Store, m model) error
	after func(m model) model // the expected content after the operation has succeeded
}

func TestFullDisk(t *testing.T) {
	for _, step := range []fullDiskStep{
		{
			name:  "append",
			do:    func(s *Store, _ model) error { return s.Append([]Record{hardState(12), entry(12, 12)}) },
			after: func(m model) model { return m.with(hardState(12), entry(12, 12)) },
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
		Convey("With little space left no data is lost, and Resume succeeds once there is space: "+step.name, t, func() {
			fullErrors := 0
			for free := 0; free < 2000 && checkOnFullDisk(t, free, step); free++ {
				fullErrors++
			}
			So(fullErrors, ShouldBeGreaterThan, 20)
		})
	}
	Convey("After a failed sync Resume fails, and the store stays unusable", t, func() {
		d, _ := filledDisk()
		s := mustOpen(Open(d, virtual))
		d.FailSync(1)
		err := s.Append([]Record{entry(12, 12)})
		So(err, shouldBeKind, errs.Disk)
		So(IsFull(err), ShouldBeFalse)
		So(s.Resume(), shouldBeKind, errs.Disk)
		So(s.Append([]Record{entry(12, 12)}), shouldBeKind, errs.Disk)
	})
	Convey("Open on a full disk fails without loss of data, and succeeds once there is space", t, func() {
		for free := 0; free < 400; free++ {
			d, m := filledDisk()
			left := free
			s, _, err := Open(limitedDisk{d, &left}, virtual)
			if err == nil {
				So(s.Close(), ShouldBeNil)
				So(free, ShouldBeGreaterThan, 20)
				return
			}
			So(IsFull(err), ShouldBeTrue)
			left = ampleSpace
			_, recovered, err := Open(limitedDisk{d, &left}, virtual)
			So(err, ShouldBeNil)
			So(m.matches(recovered), ShouldBeTrue)
		}
		So("Open failed with any amount of space below the limit of the test", ShouldBeEmpty)
	})
}

// checkOnFullDisk performs a step on a disk with free bytes of space, and reports whether the disk was full. In that
// case it checks the data that survives a power failure, and repeats the step with enough space.
func checkOnFullDisk(t *testing.T, free int, step fullDiskStep) (isFull bool) {
	t.Helper()
	d, m := filledDisk()
	left := ampleSpace
	s := mustOpen(Open(limitedDisk{d, &left}, virtual))
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
	So(m.matches(recovered) || step.after(m).matches(recovered) || m.with(hardState(12)).matches(recovered), ShouldBeTrue)

	left = 0
	if err := s.Resume(); err != nil { // nil after a failed snapshot: the store stayed usable
		So(IsFull(err), ShouldBeTrue)
		So(IsFull(s.Append([]Record{hardState(13)})), ShouldBeTrue)
	}
	left = ampleSpace
	So(s.Resume(), ShouldBeNil)
	So(step.do(s, m), ShouldBeNil)
	d.Crash(rand.New(rand.NewSource(int64(free))))
	_, recovered, err = Open(d, virtual)
	So(err, ShouldBeNil)
	So(step.after(m).matches(recovered), ShouldBeTrue)
	return true
}

// descriptorLimitedDisk is a disk on which Create fails for lack of a file descriptor while left is 0.
type descriptorLimitedDisk struct {
	Disk
	left *int
}

func (d descriptorLimitedDisk) Create(name string) (File, error) {
	if *d.left <= 0 {
		return nil, unix.EMFILE
	}
	file, err := d.Disk.Create(name)
	return file, errs.Pass(err, "create")
}

func TestOutOfDescriptors(t *testing.T) {
	Convey("Without a free descriptor a snapshot fails as on a full disk, and succeeds once there is one", t, func() {
		left := 10
		disk := NewMemDisk()
		store, _, err := Open(descriptorLimitedDisk{disk, &left}, Options{})
		So(err, ShouldBeNil)
		So(store.Append([]Record{hardState(1), entry(1, 1)}), ShouldBeNil)
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
	Convey("A rename can be made durable without a free descriptor, as the folder was opened in advance", t, func() {
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
