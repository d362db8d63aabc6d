package storage

import (
	"bytes"
	"io"
	"maps"
	"math/rand"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
)

// crashDisk is a folder that records, after each change, the states that a power failure at that time may leave.
type crashDisk struct {
	live    map[string]*crashFile   // the current files by name
	synced  map[string]*crashFile   // the files by name as of the last sync of the folder
	pending []map[string]*crashFile // the files by name after each change since then
	points  []crashPoint
	// noFileSync and noFolderSync disable the syncs of files and of the folder. They serve to check that the test
	// detects a missing sync.
	noFileSync, noFolderSync bool
}

type crashFile struct {
	data   []byte
	synced int // number of bytes of data that are synced
}

// crashPoint describes the states that a power failure may leave: one of several sets of files, and of each file any
// part of its unsynced data.
type crashPoint struct {
	names []map[string]crashFile
	step  int // index of the step of the script that was running
}

func newCrashDisk() *crashDisk {
	return &crashDisk{live: map[string]*crashFile{}, synced: map[string]*crashFile{}}
}

// recordPoint records the states that a power failure may leave now.
func (d *crashDisk) recordPoint() {
	point := crashPoint{}
	for _, names := range append([]map[string]*crashFile{d.synced}, d.pending...) {
		copied := map[string]crashFile{}
		for name, f := range names {
			copied[name] = crashFile{data: slices.Clone(f.data), synced: f.synced}
		}
		point.names = append(point.names, copied)
	}
	d.points = append(d.points, point)
}

// changeNames calls edit, which changes the names in live, and records a crash point.
func (d *crashDisk) changeNames(edit func()) {
	edit()
	d.pending = append(d.pending, maps.Clone(d.live))
	d.recordPoint()
}

func (d *crashDisk) Create(name string) (File, error) {
	if d.live[name] != nil {
		return nil, errs.New(errs.Disk, "%s already exists", name)
	}
	f := &crashFile{}
	d.changeNames(func() { d.live[name] = f })
	return &crashHandle{disk: d, file: f}, nil
}

func (d *crashDisk) Open(name string) (File, error) {
	if d.live[name] == nil {
		return nil, errs.New(errs.Disk, "%s does not exist", name)
	}
	return &crashHandle{disk: d, file: d.live[name]}, nil
}

func (d *crashDisk) List() ([]string, error) { return slices.Sorted(maps.Keys(d.live)), nil }

func (d *crashDisk) Remove(name string) error {
	d.changeNames(func() { delete(d.live, name) })
	return nil
}

func (d *crashDisk) Rename(old, name string) error {
	f := d.live[old]
	d.changeNames(func() { delete(d.live, old); d.live[name] = f })
	return nil
}

func (d *crashDisk) Sync() error {
	if !d.noFolderSync {
		d.synced, d.pending = maps.Clone(d.live), nil
		d.recordPoint()
	}
	return nil
}

// crashHandle is an open file of a crashDisk.
type crashHandle struct {
	disk   *crashDisk
	file   *crashFile
	offset int // of the next read
}

func (h *crashHandle) Read(p []byte) (int, error) {
	if h.offset >= len(h.file.data) {
		return 0, io.EOF
	}
	n := copy(p, h.file.data[h.offset:])
	h.offset += n
	return n, nil
}

func (h *crashHandle) Write(p []byte) (int, error) {
	h.file.data = append(h.file.data, p...)
	h.disk.recordPoint()
	return len(p), nil
}

func (h *crashHandle) Sync() error {
	if !h.disk.noFileSync {
		h.file.synced = len(h.file.data)
		h.disk.recordPoint()
	}
	return nil
}

func (*crashHandle) Close() error { return nil }

// folders calls do with every folder that may be left: each set of files, with every length of the unsynced data that
// survives, with and without zeros in place of the remaining data.
func (p crashPoint) folders(do func(*MemDisk)) {
	for _, names := range p.names {
		longest := 0
		for _, f := range names {
			longest = max(longest, len(f.data)-f.synced)
		}
		for kept := 0; kept <= longest; kept++ {
			for _, zeros := range []bool{false, true} {
				if zeros && kept == longest {
					continue // no data remains to be replaced
				}
				do(folderOf(names, kept, zeros))
			}
		}
	}
}

// folderOf returns the folder in which each file has up to kept bytes after the synced ones. If zeros is set, the other
// unsynced bytes are zero instead of missing.
func folderOf(names map[string]crashFile, kept int, zeros bool) *MemDisk {
	d := NewMemDisk()
	for name, f := range names {
		data := slices.Clone(f.data[:min(len(f.data), f.synced+kept)])
		if zeros {
			data = append(data, bytes.Repeat([]byte{0}, len(f.data)-len(data))...)
		}
		d.Put(name, data)
	}
	return d
}

// crashStep is a step of the script.
type crashStep struct {
	do      func(s *Store) error
	inDoubt []Record // records of an Append: any prefix of them may be stored after a crash
	after   model    // expected content after the step has succeeded
}

// crashScript returns appends, appends that replace entries, snapshots of the node's own log, one of which keeps
// segments, and a snapshot from another member that contradicts the log.
func crashScript() []crashStep {
	var steps []crashStep
	m := model{}
	add := func(records ...Record) {
		m = m.with(records...)
		do := func(s *Store) error { return errs.Pass(s.Append(records), "append") }
		steps = append(steps, crashStep{do: do, inDoubt: records, after: m})
	}
	snapshot := func(index, keepFrom uint64) {
		snap := m.snapshot(index)
		do := func(s *Store) error { return errs.Pass(s.WriteSnapshot(snap, keepFrom), "snapshot") }
		steps = append(steps, crashStep{do: do, after: m})
	}
	add(hardState(1), entry(1, 1), entry(1, 2), entry(1, 3))
	add(entry(1, 4))
	snapshot(2, 0)
	add(hardState(2), entry(2, 4), entry(2, 5)) // replaces an entry
	snapshot(4, 1)
	add(entry(2, 6), entry(2, 7))
	snapshot(6, 0)
	add(hardState(3))
	m = m.with(entry(9, 7), entry(9, 8)) // entries of another member
	snapshot(8, 0)
	add(entry(9, 9), entry(9, 10))
	snapshot(9, 0)
	add(hardState(10), entry(10, 10), entry(10, 11))
	return steps
}

// openAfterCrashes runs the script and opens every folder that a power failure may leave at any point of it, up to the
// first wrong one. It returns the number of folders that it opened, and how many of them lacked synced data or had data
// that was never written.
func openAfterCrashes(d *crashDisk) (folders, wrong int) {
	s := mustOpen(Open(d, virtual))
	steps := crashScript()
	for i, step := range steps {
		from := len(d.points)
		So(step.do(s), ShouldBeNil)
		for k := from; k < len(d.points); k++ {
			d.points[k].step = i
		}
		// The step has succeeded: all of its data must survive a power failure from here on.
		d.recordPoint()
		d.points[len(d.points)-1].step = i + 1
	}
	for _, point := range d.points {
		point.folders(func(left *MemDisk) {
			if wrong > 0 {
				return
			}
			folders++
			if !recoversCorrectly(left, steps, point.step) {
				wrong++
			}
		})
	}
	return folders, wrong
}

// recoversCorrectly reports whether a folder that a power failure during a step has left opens to an allowed state and
// can be appended to. Both must also hold if the power fails again at any change that Open makes.
func recoversCorrectly(d *MemDisk, steps []crashStep, step int) bool {
	before := model{}
	if step > 0 {
		before = steps[step-1].after
	}
	for again := 0; ; again++ {
		c := d.Clone()
		if again > 0 {
			c.PowerOff(again)
			_, _, err := Open(c, virtual)
			if err == nil {
				return true // Open makes fewer changes than that
			}
			c.Crash(rand.New(rand.NewSource(int64(again))))
		}
		s, recovered, err := Open(c, virtual)
		if err != nil || !allowedAfter(recovered, before, steps, step) {
			return false
		}
		if s.Append([]Record{hardState(99)}) != nil {
			return false
		}
	}
}

// allowedAfter reports whether a recovered state is allowed after a power failure during a step.
func allowedAfter(recovered Recovered, before model, steps []crashStep, step int) bool {
	if before.matches(recovered) {
		return true
	}
	if step == len(steps) {
		return false
	}
	for n := range steps[step].inDoubt {
		if before.with(steps[step].inDoubt[:n+1]...).matches(recovered) {
			return true
		}
	}
	return steps[step].after.matches(recovered)
}

func TestEveryCrashPoint(t *testing.T) {
	Convey("After a power failure at any change, with any part of unsynced data, all synced data is there", t, func() {
		folders, wrong := openAfterCrashes(newCrashDisk())
		t.Logf("%d folders opened", folders)
		So(folders, ShouldBeGreaterThan, 2000)
		So(wrong, ShouldEqual, 0)
	})
	Convey("Without syncs of files, or of the folder, the test detects a loss of data", t, func() {
		d := newCrashDisk()
		d.noFileSync = true
		folders, wrong := openAfterCrashes(d)
		So(wrong, ShouldBeGreaterThan, 0)
		t.Logf("without syncs of files: folder %d is wrong", folders)
		d = newCrashDisk()
		d.noFolderSync = true
		folders, wrong = openAfterCrashes(d)
		So(wrong, ShouldBeGreaterThan, 0)
		t.Logf("without syncs of the folder: folder %d is wrong", folders)
	})
}
