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

// crashDisk is a folder that keeps, after each changing call, what a loss of power at that moment may leave.
type crashDisk struct {
	live    map[string]*crashFile
	kept    map[string]*crashFile   // the names as last synced
	pending []map[string]*crashFile // the names after each change since then
	points  []crashPoint
	// What the test of the test takes out: a sync that does nothing.
	noFileSync, noFolderSync bool
}

type crashFile struct {
	data []byte
	kept int // bytes that are synced
}

// crashPoint is what may be left: one of some states of the names, and any part of what is not synced of each file.
type crashPoint struct {
	names []map[string]crashFile
	step  int // the step of the script that was under way
}

func newCrashDisk() *crashDisk {
	return &crashDisk{live: map[string]*crashFile{}, kept: map[string]*crashFile{}}
}

// recordPoint keeps what a loss of power now may leave.
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

func (d *crashDisk) rename(edit func()) {
	edit()
	d.pending = append(d.pending, maps.Clone(d.live))
	d.recordPoint()
}

func (d *crashDisk) Create(name string) (File, error) {
	if d.live[name] != nil {
		return nil, errs.New(errs.Disk, "%s is there already", name)
	}
	f := &crashFile{}
	d.rename(func() { d.live[name] = f })
	return &crashHandle{d: d, f: f}, nil
}

func (d *crashDisk) Open(name string) (File, error) {
	if d.live[name] == nil {
		return nil, errs.New(errs.Disk, "%s is missing", name)
	}
	return &crashHandle{d: d, f: d.live[name]}, nil
}

func (d *crashDisk) List() ([]string, error) { return slices.Sorted(maps.Keys(d.live)), nil }

func (d *crashDisk) Remove(name string) error {
	d.rename(func() { delete(d.live, name) })
	return nil
}

func (d *crashDisk) Rename(old, name string) error {
	f := d.live[old]
	d.rename(func() { delete(d.live, old); d.live[name] = f })
	return nil
}

func (d *crashDisk) Sync() error {
	if !d.noFolderSync {
		d.kept, d.pending = maps.Clone(d.live), nil
		d.recordPoint()
	}
	return nil
}

type crashHandle struct {
	d  *crashDisk
	f  *crashFile
	at int
}

func (h *crashHandle) Read(p []byte) (int, error) {
	if h.at >= len(h.f.data) {
		return 0, io.EOF
	}
	n := copy(p, h.f.data[h.at:])
	h.at += n
	return n, nil
}

func (h *crashHandle) Write(p []byte) (int, error) {
	h.f.data = append(h.f.data, p...)
	h.d.recordPoint()
	return len(p), nil
}

func (h *crashHandle) Sync() error {
	if !h.d.noFileSync {
		h.f.kept = len(h.f.data)
		h.d.recordPoint()
	}
	return nil
}

func (*crashHandle) Close() error { return nil }

// folders calls do with every folder that the point may leave: each state of the names, every length of what was not
// synced, with and without zeros in the place of the rest.
func (p crashPoint) folders(do func(*MemDisk)) {
	for _, names := range p.names {
		longest := 0
		for _, f := range names {
			longest = max(longest, len(f.data)-f.kept)
		}
		for kept := 0; kept <= longest; kept++ {
			for _, zeros := range []bool{false, true} {
				if zeros && kept == longest {
					continue // nothing is left to be zeros
				}
				do(folderOf(names, kept, zeros))
			}
		}
	}
}

// folderOf makes the folder in which so many bytes beyond the synced ones are kept of each file.
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

// crashStep is a step of the script: a change, the records that it tries, and what holds once it has succeeded.
type crashStep struct {
	do    func(s *Store) error
	tries []Record // of an Append: any first few of them may be there after a crash
	after model
}

// crashScript has appends, appends that replace entries, own snapshots, one that keeps segments, and one that came
// from another member and contradicts the log.
func crashScript() []crashStep {
	var steps []crashStep
	m := model{}
	add := func(recs ...Record) {
		m = m.with(recs...)
		steps = append(steps, crashStep{func(s *Store) error { return errs.Pass(s.Append(recs), "append") }, recs, m})
	}
	snapshot := func(index, keepFrom uint64) {
		snap := m.image(index)
		steps = append(steps, crashStep{func(s *Store) error { return errs.Pass(s.WriteSnapshot(snap, keepFrom), "slot") }, nil, m})
	}
	add(hard(1), entry(1, 1), entry(1, 2), entry(1, 3))
	add(entry(1, 4))
	snapshot(2, 0)
	add(hard(2), entry(2, 4), entry(2, 5)) // takes the place of an entry
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

// playCrashes plays the script and opens every folder that a loss of power may leave at any point of it. It returns
// how many folders there were, and how many of them lacked what was synced or held what was never written.
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

// opensWell reports whether a folder holds what it must after a loss of power during a step, also when the power is lost
// again at each call of the start, and whether a store on it can go on.
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
				return true // the start had no more calls
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

// allowedAfter reports whether what a start found may be there after a loss of power during a step.
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
	Convey("A loss of power after any call, with any part of what was not synced, leaves all that was synced", t, func() {
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
