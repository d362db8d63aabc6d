package storage

import (
	"math/rand"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sys/unix"

	"crosstide/internal/errs"
)

// limited is a disk with space for so many more bytes and names; a write beyond it keeps what fits and is rejected.
type limited struct {
	Disk
	free *int
}

type limitedFile struct {
	File
	free *int
}

// nameCost is what a new name takes.
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

const plenty = 1 << 20

func TestFullDisk(t *testing.T) {
	// step does one thing with a store whose disk may be full; then returns what it must have when that succeeded.
	type step struct {
		name string
		do   func(s *Store, m model) error
		then func(m model) model
	}
	steps := []step{
		{"append", func(s *Store, _ model) error { return s.Append([]Record{hard(12), entry(12, 12)}) },
			func(m model) model { return m.with(hard(12), entry(12, 12)) }},
		{"append that replaces", func(s *Store, _ model) error { return s.Append([]Record{entry(12, 10)}) },
			func(m model) model { m = m.with(entry(12, 10)); m.entries = m.entries[:10]; return m }},
		{"snapshot", func(s *Store, m model) error { return s.WriteSnapshot(m.image(11), 0) },
			func(m model) model { return m }},
	}
	for _, step := range steps {
		Convey("However little space is left, nothing synced is lost and the store goes on once there is space: "+step.name, t, func() {
			fullErrors := 0
			for free := 0; free < 2000; free++ {
				full, done := playOnFullDisk(free, step.do, step.then)
				if done {
					break
				}
				fullErrors += full
			}
			So(fullErrors, ShouldBeGreaterThan, 20)
		})
	}
	Convey("A failed sync stays fatal: Resume refuses", t, func() {
		d, _ := filled()
		s := must(Open(d, virtual))
		d.FailSync(1)
		err := s.Append([]Record{entry(12, 12)})
		So(err, shouldBe, errs.Disk)
		So(IsFull(err), ShouldBeFalse)
		So(s.Resume(), shouldBe, errs.Disk)
		So(s.Append([]Record{entry(12, 12)}), shouldBe, errs.Disk)
	})
	Convey("A start on a full disk is rejected, changes nothing that counts, and can be tried again", t, func() {
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
		So("a start that fits", ShouldEqual, "")
	})
}

// playOnFullDisk does a step on a disk with so much space, checks what survives a loss of power, and then does it again
// with space. It returns 1 if the first attempt found the disk full, and whether it succeeded.
func playOnFullDisk(free int, do func(*Store, model) error, then func(model) model) (full int, done bool) {
	d, m := filled()
	left := plenty
	s := must(Open(limited{d, &left}, virtual))
	left = free
	err := do(s, m)
	if err == nil {
		return 0, true
	}
	So(IsFull(err), ShouldBeTrue)
	survivor := d.Clone()
	survivor.Crash(rand.New(rand.NewSource(int64(free))))
	_, recovered, err := Open(survivor, virtual)
	So(err, ShouldBeNil)
	So(m.fits(recovered) || then(m).fits(recovered) || m.with(hard(12)).fits(recovered), ShouldBeTrue)

	left = 0
	if err := s.Resume(); err != nil { // a snapshot that found no space has broken nothing
		So(IsFull(err), ShouldBeTrue)
		So(IsFull(s.Append([]Record{hard(13)})), ShouldBeTrue)
	}
	left = plenty
	So(s.Resume(), ShouldBeNil)
	So(do(s, m), ShouldBeNil)
	d.Crash(rand.New(rand.NewSource(int64(free))))
	_, recovered, err = Open(d, virtual)
	So(err, ShouldBeNil)
	So(then(m).fits(recovered), ShouldBeTrue)
	return 1, false
}

// descriptorLimited is a disk whose process is out of descriptors while none is left.
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
	Convey("A snapshot that finds no descriptor is rejected as on a full disk, and written once there is one", t, func() {
		left := 10
		disk := NewMemDisk()
		store, _, err := Open(descriptorLimited{disk, &left}, Options{})
		So(err, ShouldBeNil)
		So(store.Append([]Record{hard(1), entry(1, 1)}), ShouldBeNil)
		left = 0
		image := Snapshot{Index: 1, Term: 1, Body: []byte("state")}
		err = store.WriteSnapshot(image, 0)
		So([]any{IsFull(err), errs.KindOf(err)}, ShouldResemble, []any{true, errs.Disk})
		So(IsFull(store.WriteSnapshot(image, 0)), ShouldBeTrue)
		left = 10
		So(store.Resume(), ShouldBeNil)
		So(store.WriteSnapshot(image, 0), ShouldBeNil)
		So(store.Append([]Record{entry(1, 2)}), ShouldBeNil)
		So(store.Close(), ShouldBeNil)
	})
	Convey("The folder is opened ahead: making a rename durable needs no descriptor", t, func() {
		disk, err := OSDisk(t.TempDir())
		So(err, ShouldBeNil)
		var limit unix.Rlimit
		So(unix.Getrlimit(unix.RLIMIT_NOFILE, &limit), ShouldBeNil)
		none := unix.Rlimit{Cur: 0, Max: limit.Max}
		So(unix.Setrlimit(unix.RLIMIT_NOFILE, &none), ShouldBeNil)
		failed := disk.Sync()
		_, fullErr := disk.Create("a")
		So(unix.Setrlimit(unix.RLIMIT_NOFILE, &limit), ShouldBeNil)
		So(failed, ShouldBeNil)
		So(IsFull(markFull(fullErr)), ShouldBeTrue)
	})
}
