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

// crashDisk is a folder that records, after each change, what a loss of power at that moment may leave.
type crashDisk struct {
	live    map[string]*crashFile
	kept    map[string]*crashFile   // the files by name as of the last sync of the folder
	pending []map[string]*crashFile // the files by name after each change since then
	points  []crashPoint
	// Syncs that do nothing, by which the test is tested.
	noFileSync, noFolderSync bool
}

type crashFile struct {
	data []byte
	kept int // bytes that are synced
}

// crashPoint is what a loss of power may leave: one of several states of the names, and of each file any part of what
// is not synced.
type crashPoint struct {
	names []map[string]crashFile
	step  int // the step of the script that was running
}

func newCrashDisk() *crashDisk {
	return &crashDisk{live: map[string]*crashFile{}, kept: map[string]*crashFile{}}
}

// recordPoint records what a loss of power may leave now.
func (d *crashDisk) recordPoint() {
	point := crashPoint{}
	for _, names := range append([]map[string]*crashFile{d.kept}, d.pending...) {
		copied := map[string]crashFile{}
		for name, f := range names {
			copied[name] = crashFile{data: slices.Clone(f.data), kept: f.kept}
		}
		point.names = append(point.names, copied)
	}
	d.points = append(d.points, point)
}

// changeNames lets edit change the names in live.
func (d *crashDisk) changeNames(edit func()) {
	edit()
	d.pending = append(d.pending, maps.Clone(d.live))
	d.recordPoint()
}

func (d *crashDisk) Create(name string) (File, error) {
	if d.live[name] != nil {
		return nil, errs.New(errs.Disk, "%s is there already", name)
	}
	f := &crashFile{}
	d.changeNames(func() { d.live[name] = f })
	return &crashHandle{disk: d, file: f}, nil
}

func (d *crashDisk) Open(name string) (File, error) {
	if d.live[name] == nil {
		return nil, errs.New(errs.Disk, "%s is missing", name)
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
		d.kept, d.pending = maps.Clone(d.live), nil
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
		h.file.kept = len(h.file.data)
		h.disk.recordPoint()
	}
	return nil
}

func (*crashHandle) Close() error { return nil }

// folders calls do with every folder that may be left: each state of the names, with every length of what was not
// synced, with and without zeros in place of the rest.
func (p crashPoint) folders(do func(*MemDisk)) {
	for _, names := range p.names {
		longest := 0
		for _, f := range names {
			longest = max(longest, len(f.data)-f.kept)
		}
		for kept := 0; kept <= longest; kept++ {
			for _, zeros := range []bool{false, true} {
				if zeros && kept == longest {
					continue // there is no rest
				}
				do(folderOf(names, kept, zeros))
			}
		}
	}
}

// folderOf returns the folder in which each file has up to kept bytes beyond the synced ones.
func folderOf(names map[string]crashFile, kept int, zeros bool) *MemDisk {
	d := NewMemDisk()
	for name, f := range names {
		data := slices.Clone(f.data[:min(len(f.data), f.kept+kept)])
		if zeros {
			data = append(data, bytes.Repeat([]byte{0}, len(f.data)-len(data))...)
		}
		d.Put(name, data)
	}
	return d
}

// crashStep is a step of the script.
type crashStep struct {
	do    func(s *Store) error
	tries []Record // of an Append: any first few of them may be there after a crash
	after model    // once the step has succeeded
}

// crashScript returns appends, appends that replace entries, own snapshots, one that keeps segments, and one that came
// from another member and contradicts the log.
func crashScript() []crashStep {
	var steps []crashStep
	m := model{}
	add := func(records ...Record) {
		m = m.with(records...)
		do := func(s *Store) error { return errs.Pass(s.Append(records), "append") }
		steps = append(steps, crashStep{do: do, tries: records, after: m})
	}
	snapshot := func(index, keepFrom uint64) {
		snap := m.snapshot(index)
		do := func(s *Store) error { return errs.Pass(s.WriteSnapshot(snap, keepFrom), "snapshot") }
		steps = append(steps, crashStep{do: do, after: m})
	}
	add(hard(1), entry(1, 1), entry(1, 2), entry(1, 3))
	add(entry(1, 4))
	snapshot(2, 0)
	add(hard(2), entry(2, 4), entry(2, 5)) // replaces an entry
	snapshot(4, 1)
	add(entry(2, 6), entry(2, 7))
	snapshot(6, 0)
	add(hard(3))
	m = m.with(entry(9, 7), entry(9, 8)) // as another member has it
	snapshot(8, 0)
	add(entry(9, 9), entry(9, 10))
	snapshot(9, 0)
	add(hard(10), entry(10, 10), entry(10, 11))
	return steps
}

// playCrashes plays the script and opens every folder that a loss of power may leave at any point of it, up to the
// first wrong one. It returns how many folders it opened, and how many of them lacked what was synced or had what was
// never written.
func playCrashes(d *crashDisk) (folders, wrong int) {
	s := must(Open(d, virtual))
	steps := crashScript()
	for i, step := range steps {
		from := len(d.points)
		So(step.do(s), ShouldBeNil)
		for k := from; k < len(d.points); k++ {
			d.points[k].step = i
		}
		// The step has succeeded: a loss of power from here on must leave all of it.
		d.recordPoint()
		d.points[len(d.points)-1].step = i + 1
	}
	for _, point := range d.points {
		point.folders(func(left *MemDisk) {
			if wrong > 0 {
				return
			}
			folders++
			if !opensWell(left, steps, point.step) {
				wrong++
			}
		})
	}
	return folders, wrong
}

// opensWell reports whether a folder has what it must after a loss of power during a step, and whether a store on it
// can be appended to; both also if the power is lost again at any change that Open makes.
func opensWell(d *MemDisk, steps []crashStep, step int) bool {
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
				return true // Open made fewer changes than that
			}
			c.Crash(rand.New(rand.NewSource(int64(again))))
		}
		s, recovered, err := Open(c, virtual)
		if err != nil || !allowedAfter(recovered, before, steps, step) {
			return false
		}
		if s.Append([]Record{hard(99)}) != nil {
			return false
		}
	}
}

// allowedAfter reports whether what Open recovered may be there after a loss of power during a step.
func allowedAfter(recovered Recovered, before model, steps []crashStep, step int) bool {
	if before.fits(recovered) {
		return true
	}
	if step == len(steps) {
		return false
	}
	for n := range steps[step].tries {
		if before.with(steps[step].tries[:n+1]...).fits(recovered) {
			return true
		}
	}
	return steps[step].after.fits(recovered)
}

func TestEveryCrashPoint(t *testing.T) {
	Convey("After any change, with any part of the unsynced data, a loss of power leaves all synced data", t, func() {
		folders, wrong := playCrashes(newCrashDisk())
		t.Logf("%d folders", folders)
		So(folders, ShouldBeGreaterThan, 2000)
		So(wrong, ShouldEqual, 0)
	})
	Convey("Without the sync of the files, or of the folder, something is lost", t, func() {
		d := newCrashDisk()
		d.noFileSync = true
		folders, wrong := playCrashes(d)
		So(wrong, ShouldBeGreaterThan, 0)
		t.Logf("without syncs of files: folder %d is wrong", folders)
		d = newCrashDisk()
		d.noFolderSync = true
		folders, wrong = playCrashes(d)
		So(wrong, ShouldBeGreaterThan, 0)
		t.Logf("without syncs of the folder: folder %d is wrong", folders)
	})
}
