package store

import (
	"cmp"
	"time"

	"golang.org/x/sys/unix"

	"crosstide/internal/storage"
)

// testDisk is a disk whose syncs take the rig's time, and that is full when the rig says so.
type testDisk struct {
	storage.Disk
	r    *testStores
	name string
}

type testDiskFile struct {
	storage.File
	r    *testStores
	name string
}

func (d testDisk) Create(name string) (storage.File, error) {
	if err := d.r.refusal(d.name); err != nil {
		return nil, err
	}
	f, err := d.Disk.Create(name)
	return testDiskFile{f, d.r, d.name}, err
}

func (f testDiskFile) Write(p []byte) (int, error) {
	refusal := f.r.refusal(f.name)
	if refusal == nil {
		return f.File.Write(p)
	}
	n, err := f.File.Write(p[:len(p)/2])
	return n, cmp.Or(err, refusal)
}

func (f testDiskFile) Sync() error {
	for f.r.doesHang(f.name) {
		f.r.sleep(10 * time.Millisecond)
	}
	if took := time.Duration(f.r.slow.Load()); took > 0 {
		f.r.sleep(took)
	}
	return f.File.Sync()
}

func (r *testStores) refusal(name string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.full[name]
}

// setRefusal makes a node's disk refuse writes with an error, or take them again.
func (r *testStores) setRefusal(name string, with error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.full[name] = with
}

// setFull makes a node's disk full, or gives it room again.
func (r *testStores) setFull(name string, full bool) {
	if full {
		r.setRefusal(name, unix.ENOSPC)
	} else {
		r.setRefusal(name, nil)
	}
}

func (r *testStores) doesHang(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hangs[name]
}

// setHang makes syncs of a node's disk wait, or end again.
func (r *testStores) setHang(name string, hangs bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hangs[name] = hangs
}
