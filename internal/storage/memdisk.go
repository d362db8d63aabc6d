package storage

import (
	"io"
	"maps"
	"math/rand"
	"slices"
	"sync"

	"crosstide/internal/errs"
)

// MemDisk is an in-memory Disk for tests and simulators. It distinguishes synced from unsynced data, so that Crash can
// discard the latter. It is safe for concurrent use.
type MemDisk struct {
	mu            sync.Mutex          // guards the fields below, and all inodes and files of the disk
	live          map[string]*inode   // the current files by name, as a reader sees them
	durable       map[string]*inode   // the files by name, as of the last sync of the folder
	unsyncedNames []map[string]*inode // the files by name after each creation, removal and rename since then
	incarnation   int                 // counts crashes: files opened before the last one are invalid
	failSync      int                 // the sync that fails, counted from now: 1 is the next one; 0: none
	powerOff      int                 // the change from which on all fail, counted likewise; 0: none
}

// inode is the content of a file. It may outlive the name of the file.
type inode struct {
	data       []byte
	durable    int  // number of bytes of data that survive a crash
	syncFailed bool // after a failed sync, no more bytes become durable, though they can be read
}

// memFile is an open file.
type memFile struct {
	disk        *MemDisk
	inode       *inode
	incarnation int // of the disk when the file was opened
	offset      int // of the next read
}

// NewMemDisk returns an empty folder. Example:
//
//	d := storage.NewMemDisk()
//	store, _, err := storage.Open(d, storage.Options{})
//	d.Crash(rand.New(rand.NewSource(7)))
//	store, recovered, err := storage.Open(d, storage.Options{}) // recovered has every appended record
func NewMemDisk() *MemDisk {
	return &MemDisk{live: map[string]*inode{}, durable: map[string]*inode{}}
}

// FailSync makes the n-th sync of a file or of the folder from now on (1: the next one) fail; 0 cancels that. As on
// Linux, later syncs of that file succeed although its bytes are not durable.
func (d *MemDisk) FailSync(n int) { d.mu.Lock(); defer d.mu.Unlock(); d.failSync = n }

// PowerOff makes the n-th change from now on (1: the next one) and all later ones fail until Crash; 0 cancels that.
func (d *MemDisk) PowerOff(n int) { d.mu.Lock(); defer d.mu.Unlock(); d.powerOff = n }

// Crash simulates a power failure. Of the unsynced bytes of each file, a random prefix survives, sometimes followed by
// zeros. Of the unsynced creations, removals and renames, a random number of the first ones survive. Later writes and
// syncs of files opened before the crash fail.
func (d *MemDisk) Crash(r *rand.Rand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.incarnation++
	d.failSync, d.powerOff = 0, 0
	if n := r.Intn(len(d.unsyncedNames) + 1); n > 0 {
		d.durable = d.unsyncedNames[n-1]
	}
	d.unsyncedNames, d.live = nil, maps.Clone(d.durable)
	for _, name := range slices.Sorted(maps.Keys(d.live)) {
		n := d.live[name]
		unsynced := len(n.data) - n.durable
		if n.syncFailed {
			unsynced = 0
		}
		kept := n.durable + r.Intn(unsynced+1)
		data := slices.Clone(n.data[:kept])
		if r.Intn(3) == 0 {
			data = append(data, make([]byte, len(n.data)-kept)...)
		}
		d.live[name] = &inode{data: data, durable: len(data)}
	}
	d.durable = maps.Clone(d.live)
}

// Bytes returns a copy of a file's content, or nil if the file does not exist.
func (d *MemDisk) Bytes(name string) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := d.live[name]; n != nil {
		return append([]byte{}, n.data...)
	}
	return nil
}

// Put creates a file or replaces its content, and makes the result durable.
func (d *MemDisk) Put(name string, data []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := &inode{data: slices.Clone(data), durable: len(data)}
	d.live[name], d.durable[name] = n, n
	for _, m := range d.unsyncedNames {
		m[name] = n
	}
}

// Clone returns a copy of the folder as a reader sees it now, with all data durable.
func (d *MemDisk) Clone() *MemDisk {
	d.mu.Lock()
	defer d.mu.Unlock()
	clone := NewMemDisk()
	for name, n := range d.live {
		clone.Put(name, n.data)
	}
	return clone
}

// beginChange counts a change towards PowerOff. It returns an error while the power is off, and for a file that was
// opened before the last crash. The caller holds mu.
func (d *MemDisk) beginChange(incarnation int) error {
	if d.powerOff > 1 {
		d.powerOff--
	} else if d.powerOff == 1 {
		return errs.New(errs.Disk, "the power is off")
	}
	if incarnation != d.incarnation {
		return errs.New(errs.Disk, "the file was opened before a crash")
	}
	return nil
}

// countSync counts a sync towards FailSync and reports whether it must fail. The caller holds mu.
func (d *MemDisk) countSync() bool {
	if d.failSync == 0 {
		return false
	}
	d.failSync--
	return d.failSync == 0
}

// changeNames calls edit, which changes the names in live, and records the result as unsynced. The caller holds mu.
func (d *MemDisk) changeNames(edit func()) {
	edit()
	d.unsyncedNames = append(d.unsyncedNames, maps.Clone(d.live))
}

// Create implements Disk.
func (d *MemDisk) Create(name string) (File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.beginChange(d.incarnation); err != nil {
		return nil, errs.Pass(err, "create %s", name)
	}
	if d.live[name] != nil {
		return nil, errs.New(errs.Disk, "%s already exists", name)
	}
	n := &inode{}
	d.changeNames(func() { d.live[name] = n })
	return &memFile{disk: d, inode: n, incarnation: d.incarnation}, nil
}

// Open implements Disk.
func (d *MemDisk) Open(name string) (File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.live[name] == nil {
		return nil, errs.New(errs.Disk, "%s does not exist", name)
	}
	return &memFile{disk: d, inode: d.live[name], incarnation: d.incarnation}, nil
}

// List implements Disk; the names are sorted.
func (d *MemDisk) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.live)), nil
}

// Remove implements Disk.
func (d *MemDisk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.beginChange(d.incarnation); err != nil {
		return errs.Pass(err, "remove %s", name)
	}
	if d.live[name] == nil {
		return errs.New(errs.Disk, "%s does not exist", name)
	}
	d.changeNames(func() { delete(d.live, name) })
	return nil
}

// Rename implements Disk.
func (d *MemDisk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.beginChange(d.incarnation); err != nil {
		return errs.Pass(err, "rename %s", from)
	}
	n := d.live[from]
	if n == nil {
		return errs.New(errs.Disk, "%s does not exist", from)
	}
	d.changeNames(func() { delete(d.live, from); d.live[to] = n })
	return nil
}

// Sync implements Disk.
func (d *MemDisk) Sync() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.beginChange(d.incarnation); err != nil {
		return errs.Pass(err, "sync the folder")
	}
	if d.countSync() {
		return errs.New(errs.Disk, "sync of the folder failed")
	}
	d.durable, d.unsyncedNames = maps.Clone(d.live), nil
	return nil
}

// Read implements io.Reader.
func (f *memFile) Read(p []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.offset >= len(f.inode.data) {
		return 0, io.EOF
	}
	n := copy(p, f.inode.data[f.offset:])
	f.offset += n
	return n, nil
}

// Write appends to the file. It fails after a crash of the disk, and while the power is off.
func (f *memFile) Write(p []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if err := f.disk.beginChange(f.incarnation); err != nil {
		return 0, errs.Pass(err, "write")
	}
	f.inode.data = append(f.inode.data, p...)
	return len(p), nil
}

// Sync implements File. It fails if FailSync requested that.
func (f *memFile) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if err := f.disk.beginChange(f.incarnation); err != nil {
		return errs.Pass(err, "sync")
	}
	if f.disk.countSync() {
		f.inode.syncFailed = true
		return errs.New(errs.Disk, "sync failed")
	}
	if !f.inode.syncFailed {
		f.inode.durable = len(f.inode.data)
	}
	return nil
}

// Close implements File. It has no effect.
func (*memFile) Close() error { return nil }
