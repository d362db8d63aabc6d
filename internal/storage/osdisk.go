package storage

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"

	"crosstide/internal/errs"
)

// osDisk is a folder in the file system of the operating system.
type osDisk struct {
	dir string
	// folder is dir, opened in advance so that a process without free file descriptors can still make a rename durable.
	folder *os.File
}

// osFile is a file of an osDisk.
type osFile struct{ *os.File }

// OSDisk returns the folder dir as a Disk. If dir does not exist, OSDisk creates it and syncs its parent. Failure:
// Disk. Example:
//
//	disk, err := storage.OSDisk(filepath.Join(data, "store"))
func OSDisk(dir string) (Disk, error) {
	if err := makeFolder(dir); err != nil {
		return nil, errs.Pass(err, "folder")
	}
	disk, err := openDisk(dir)
	return disk, errs.Pass(err, "folder")
}

// makeFolder creates the folder if it does not exist, and syncs its parent. Failure: Disk.
func makeFolder(dir string) error {
	if _, err := os.Stat(dir); err == nil {
		return nil
	} else if !errors.Is(err, fs.ErrNotExist) {
		return errs.Wrap(err, errs.Disk, "stat the folder")
	}
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return errs.Wrap(err, errs.Disk, "create the folder")
	}
	parent, err := openDisk(filepath.Dir(dir))
	if err != nil {
		return errs.Pass(err, "parent folder")
	}
	defer parent.folder.Close()
	return errs.Pass(parent.Sync(), "parent folder")
}

// openDisk opens an existing folder. Failure: Disk.
func openDisk(dir string) (osDisk, error) {
	folder, err := os.Open(dir)
	if err != nil {
		return osDisk{}, errs.Wrap(err, errs.Disk, "open the folder")
	}
	return osDisk{dir: dir, folder: folder}, nil
}

func (d osDisk) path(name string) string { return filepath.Join(d.dir, name) }

// Create implements Disk.
func (d osDisk) Create(name string) (File, error) {
	f, err := os.OpenFile(d.path(name), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o640)
	if err != nil {
		return nil, errs.Wrap(err, errs.Disk, "create %s", name)
	}
	return osFile{f}, nil
}

// Open implements Disk.
func (d osDisk) Open(name string) (File, error) {
	f, err := os.Open(d.path(name))
	if err != nil {
		return nil, errs.Wrap(err, errs.Disk, "open %s", name)
	}
	return osFile{f}, nil
}

// List implements Disk. It returns the sorted names of the regular files only.
func (d osDisk) List() ([]string, error) {
	entries, err := os.ReadDir(d.dir)
	if err != nil {
		return nil, errs.Wrap(err, errs.Disk, "list the folder")
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// Remove implements Disk.
func (d osDisk) Remove(name string) error {
	return errs.Wrap(os.Remove(d.path(name)), errs.Disk, "remove %s", name)
}

// Rename implements Disk.
func (d osDisk) Rename(from, to string) error {
	return errs.Wrap(os.Rename(d.path(from), d.path(to)), errs.Disk, "rename %s to %s", from, to)
}

// Sync implements Disk.
func (d osDisk) Sync() error {
	return errs.Wrap(d.folder.Sync(), errs.Disk, "sync the folder")
}

// Sync implements File with fdatasync, which makes the length durable too. It retries after EINTR, which does not mean
// that the sync failed.
func (f osFile) Sync() error {
	for {
		err := unix.Fdatasync(int(f.Fd()))
		if !errors.Is(err, unix.EINTR) {
			return errs.Wrap(err, errs.Disk, "sync %s", filepath.Base(f.Name()))
		}
	}
}
