package storage

import (
	"io"
	"maps"
	"math/rand"
	"slices"
	"sync"

	"crosstide/internal/errs"
)

// MemDisk is a Disk in memory that keeps what is synced apart from what is not, for tests and the simulators. It is
// safe for concurrent use.
type MemDisk struct {
	mu            sync.Mutex          // guards the fields below, and all inodes and files of the disk
	live          map[string]*inode   // the files by name, as they are read
	durable       map[string]*inode   // the files by name, as last synced
	unsyncedNames []map[string]*inode // the files by name after each change since then
	incarnation   int                 // counts crashes: files opened before one are invalid
	failSync      int                 // the n-th sync from now fails; 0: none
	powerOff      int                 // the n-th change from now and all after it fail; 0: none
}

// inode is the contents of a file, which outlive its name.
type inode struct {
	data       []byte
	durable    int  // bytes that survive a crash
	syncFailed bool // a sync failed: bytes written before it are never durable, though they can be read
}

// memFile is an open file.
type memFile struct {
	disk        *MemDisk
	inode       *inode
	incarnation int // of the disk when the file was opened
	offset      int // of the next read
}

// NewMemDisk makes an empty folder. Example:
//
//	d := storage.NewMemDisk()
//	store, _, err := storage.Open(d, storage.Options{})
//	d.Crash(rand.New(rand.NewSource(7)))
//	store, recovered, err := storage.Open(d, storage.Options{}) // all that was appended is in recovered
func NewMemDisk() *MemDisk {
	return &MemDisk{live: map[string]*inode{}, durable: map[string]*inode{}}
}

// FailSync makes the n-th sync from now fail (1: the next), of a file or of the folder; 0 cancels it.
// As on Linux, later syncs of that file succeed, yet the bytes it held are not durable.
func (d *MemDisk) FailSync(n int) { d.mu.Lock(); defer d.mu.Unlock(); d.failSync = n }

// PowerOff makes the n-th changing call from now and all after it fail until Crash; 0 cancels it.
func (d *MemDisk) PowerOff(n int) { d.mu.Lock(); defer d.mu.Unlock(); d.powerOff = n }

// Crash is a power loss: of unsynced bytes a random prefix survives, now and then followed by zeros; of unsynced
// creations, removals and renames the first few survive. Files open before it fail from now on.
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

// Bytes returns a copy of a file, nil if it is missing.
func (d *MemDisk) Bytes(name string) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := d.live[name]; n != nil {
		return append([]byte{}, n.data...)
	}
	return nil
}

// Put sets a file, synced.
func (d *MemDisk) Put(name string, data []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := &inode{data: slices.Clone(data), durable: len(data)}
	d.live[name], d.durable[name] = n, n
	for _, m := range d.unsyncedNames {
		m[name] = n
	}
}

// Clone copies the folder as it is read now, all synced.
func (d *MemDisk) Clone() *MemDisk {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := NewMemDisk()
	for name, n := range d.live {
		out.Put(name, n.data)
	}
	return out
}

// checkWritable counts a changing call; it fails while the power is off and for files opened before a crash. The caller
// holds mu.
func (d *MemDisk) checkWritable(recovered int) error {
	if d.powerOff > 1 {
		d.powerOff--
	} else if d.powerOff == 1 {
		return errs.New(errs.Disk, "power is off")
	}
	if recovered != d.incarnation {
		return errs.New(errs.Disk, "file of an earlier boot")
	}
	return nil
}

// syncFails counts a sync and reports whether it is to fail. The caller holds mu.
func (d *MemDisk) syncFails() bool {
	if d.failSync == 0 {
		return false
	}
	d.failSync--
	return d.failSync == 0
}

// changeNames runs edit on the live names and records the outcome. The caller holds mu.
func (d *MemDisk) changeNames(edit func()) {
	edit()
	d.unsyncedNames = append(d.unsyncedNames, maps.Clone(d.live))
}

// Create makes a new file.
func (d *MemDisk) Create(name string) (File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.checkWritable(d.incarnation); err != nil {
		return nil, errs.Pass(err, "create %s", name)
	}
	if d.live[name] != nil {
		return nil, errs.New(errs.Disk, "%s is there already", name)
	}
	n := &inode{}
	d.changeNames(func() { d.live[name] = n })
	return &memFile{disk: d, inode: n, incarnation: d.incarnation}, nil
}

// Open opens a file to read.
func (d *MemDisk) Open(name string) (File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.live[name] == nil {
		return nil, errs.New(errs.Disk, "%s is missing", name)
	}
	return &memFile{disk: d, inode: d.live[name], incarnation: d.incarnation}, nil
}

// List returns the names in order.
func (d *MemDisk) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.live)), nil
}

// Remove removes a name.
func (d *MemDisk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.checkWritable(d.incarnation); err != nil {
		return errs.Pass(err, "remove %s", name)
	}
	if d.live[name] == nil {
		return errs.New(errs.Disk, "%s is missing", name)
	}
	d.changeNames(func() { delete(d.live, name) })
	return nil
}

// Rename renames a file, in place of one that has the new name.
func (d *MemDisk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.checkWritable(d.incarnation); err != nil {
		return errs.Pass(err, "rename %s", from)
	}
	n := d.live[from]
	if n == nil {
		return errs.New(errs.Disk, "%s is missing", from)
	}
	d.changeNames(func() { delete(d.live, from); d.live[to] = n })
	return nil
}

// Sync makes the names durable.
func (d *MemDisk) Sync() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.checkWritable(d.incarnation); err != nil {
		return errs.Pass(err, "sync the folder")
	}
	if d.syncFails() {
		return errs.New(errs.Disk, "sync of the folder failed")
	}
	d.durable, d.unsyncedNames = maps.Clone(d.live), nil
	return nil
}

// Read is io.Reader.
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

// Write appends to the file. It is errs.Disk after a crash of the disk and while the power is off.
func (f *memFile) Write(p []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if err := f.disk.checkWritable(f.incarnation); err != nil {
		return 0, errs.Pass(err, "write")
	}
	f.inode.data = append(f.inode.data, p...)
	return len(p), nil
}

// Sync makes what was written durable, unless the disk is to fail this sync: then nothing of the file becomes
// durable any more.
func (f *memFile) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if err := f.disk.checkWritable(f.incarnation); err != nil {
		return errs.Pass(err, "sync")
	}
	if f.disk.syncFails() {
		f.inode.syncFailed = true
		return errs.New(errs.Disk, "sync failed")
	}
	if !f.inode.syncFailed {
		f.inode.durable = len(f.inode.data)
	}
	return nil
}

// Close does nothing.
func (*memFile) Close() error { return nil }
