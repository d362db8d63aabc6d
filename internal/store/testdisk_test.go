package store

import (
	"cmp"
	"time"

	"golang.org/x/sys/unix"

	"crosstide/internal/storage"
)

// testDisk is the disk of one node of a test fleet. Tests can make it slow, make its syncs hang or make its writes
// fail.
type testDisk struct {
	storage.Disk
	fleet *testFleet
	name  string
}

// testDiskFile is a file on a testDisk.
type testDiskFile struct {
	storage.File
	fleet *testFleet
	name  string
}

func (d testDisk) Create(name string) (storage.File, error) {
	if err := d.fleet.writeError(d.name); err != nil {
		return nil, err
	}
	f, err := d.Disk.Create(name)
	return testDiskFile{f, d.fleet, d.name}, err
}

func (f testDiskFile) Write(p []byte) (int, error) {
	writeErr := f.fleet.writeError(f.name)
	if writeErr == nil {
		return f.File.Write(p)
	}
	n, err := f.File.Write(p[:len(p)/2])
	return n, cmp.Or(err, writeErr)
}

func (f testDiskFile) Sync() error {
	for f.fleet.isDiskHung(f.name) {
		f.fleet.sleep(10 * time.Millisecond)
	}
	if took := time.Duration(f.fleet.syncDelay.Load()); took > 0 {
		f.fleet.sleep(took)
	}
	return f.File.Sync()
}

// writeError returns the error that a node's disk returns for writes, or nil if writes succeed.
func (fleet *testFleet) writeError(name string) error {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return fleet.writeErrors[name]
}

// setWriteError makes writes to a node's disk fail with err, or succeed again if err is nil.
func (fleet *testFleet) setWriteError(name string, err error) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.writeErrors[name] = err
}

// setFull fills a node's disk, or frees space on it again.
func (fleet *testFleet) setFull(name string, full bool) {
	if full {
		fleet.setWriteError(name, unix.ENOSPC)
	} else {
		fleet.setWriteError(name, nil)
	}
}

// isDiskHung reports whether syncs of a node's disk hang.
func (fleet *testFleet) isDiskHung(name string) bool {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return fleet.hungDisks[name]
}

// setHang makes syncs of a node's disk hang, or lets them finish again.
func (fleet *testFleet) setHang(name string, hangs bool) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.hungDisks[name] = hangs
}
