package store

import (
	"cmp"
	"time"

	"golang.org/x/sys/unix"

	"crosstide/internal/storage"
)

// testDisk is the disk of one node of a fleet, which makes it slow, hang, or refuse writes.
type testDisk struct {
	storage.Disk
	fleet *testFleet
	name  string
}

// testDiskFile is a file of a testDisk.
type testDiskFile struct {
	storage.File
	fleet *testFleet
	name  string
}

func (d testDisk) Create(name string) (storage.File, error) {
	if err := d.fleet.refusal(d.name); err != nil {
		return nil, err
	}
	f, err := d.Disk.Create(name)
	return testDiskFile{f, d.fleet, d.name}, err
}

func (f testDiskFile) Write(p []byte) (int, error) {
	refusal := f.fleet.refusal(f.name)
	if refusal == nil {
		return f.File.Write(p)
	}
	n, err := f.File.Write(p[:len(p)/2])
	return n, cmp.Or(err, refusal)
}

func (f testDiskFile) Sync() error {
	for f.fleet.doesHang(f.name) {
		f.fleet.sleep(10 * time.Millisecond)
	}
	if took := time.Duration(f.fleet.slow.Load()); took > 0 {
		f.fleet.sleep(took)
	}
	return f.File.Sync()
}

// refusal returns the error with which a node's disk refuses writes, nil if it does not.
func (fleet *testFleet) refusal(name string) error {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return fleet.full[name]
}

// setRefusal makes a node's disk refuse writes with an error; nil: it accepts them again.
func (fleet *testFleet) setRefusal(name string, with error) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.full[name] = with
}

// setFull fills a node's disk, or makes space on it again.
func (fleet *testFleet) setFull(name string, full bool) {
	if full {
		fleet.setRefusal(name, unix.ENOSPC)
	} else {
		fleet.setRefusal(name, nil)
	}
}

// doesHang reports whether a node's disk hangs.
func (fleet *testFleet) doesHang(name string) bool {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return fleet.hangs[name]
}

// setHang makes a node's disk hang in syncs, or ends that.
func (fleet *testFleet) setHang(name string, hangs bool) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.hangs[name] = hangs
}
