package storage

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"

	"crosstide/internal/errs"
)

// Disk is a folder. Names have no path. Unsynced changes may be lost, any part of them.
type Disk interface {
	Create(name string) (File, error) // a new empty file to write; fails when the name is taken
	Open(name string) (File, error)   // to read from the start
	List() ([]string, error)
	Remove(name string) error
	Rename(old, name string) error // replaces name
	Sync() error                   // makes creations, removals and renames durable
}

// File is a file that is either read or written from its start to its end.
type File interface {
	io.Reader
	io.Writer
	Sync() error // makes the bytes and the length durable
	Close() error
}

// osDisk is a folder of the system. The folder is opened ahead, so that a process that is out of descriptors can still make
// the renaming of a written file durable.
type osDisk struct {
	dir    string
	folder *os.File
}

type osFile struct{ *os.File }

// OSDisk returns the folder dir, created (and synced in its parent) if it is missing. Failure: Disk. Example:
//
//	disk, err := storage.OSDisk(filepath.Join(data, "store"))
func OSDisk(dir string) (Disk, error) {
	if err := makeFolder(dir); err != nil {
		return nil, errs.Pass(err, "folder")
	}
	disk, err := openDisk(dir)
	return disk, errs.Pass(err, "folder")
}

// makeFolder makes the folder, if it is missing, and makes that durable.
func makeFolder(dir string) error {
	if _, err := os.Stat(dir); err == nil {
		return nil
	} else if !errors.Is(err, fs.ErrNotExist) {
		return errs.Wrap(err, errs.Disk, "look at the folder")
	}
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return errs.Wrap(err, errs.Disk, "make the folder")
	}
	parent, err := openDisk(filepath.Dir(dir))
	if err != nil {
		return errs.Pass(err, "the parent")
	}
	defer parent.folder.Close()
	return errs.Pass(parent.Sync(), "the parent")
}

func openDisk(dir string) (osDisk, error) {
	folder, err := os.Open(dir)
	if err != nil {
		return osDisk{}, errs.Wrap(err, errs.Disk, "open the folder")
	}
	return osDisk{dir: dir, folder: folder}, nil
}

func (d osDisk) at(name string) string { return filepath.Join(d.dir, name) }

// Create makes a new file for writing; a name that is taken is errs.Disk.
func (d osDisk) Create(name string) (File, error) {
	f, err := os.OpenFile(d.at(name), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o640)
	if err != nil {
		return nil, errs.Wrap(err, errs.Disk, "create %s", name)
	}
	return osFile{f}, nil
}

// Open opens a file for reading.
func (d osDisk) Open(name string) (File, error) {
	f, err := os.Open(d.at(name))
	if err != nil {
		return nil, errs.Wrap(err, errs.Disk, "open %s", name)
	}
	return osFile{f}, nil
}

// List returns the names of the regular files, in order.
func (d osDisk) List() ([]string, error) {
	all, err := os.ReadDir(d.dir)
	if err != nil {
		return nil, errs.Wrap(err, errs.Disk, "list the folder")
	}
	var out []string
	for _, e := range all {
		if e.Type().IsRegular() {
			out = append(out, e.Name())
		}
	}
	return out, nil
}

// Remove deletes a file.
func (d osDisk) Remove(name string) error {
	return errs.Wrap(os.Remove(d.at(name)), errs.Disk, "remove %s", name)
}

// Rename renames a file, in place of one that has the new name.
func (d osDisk) Rename(old, name string) error {
	return errs.Wrap(os.Rename(d.at(old), d.at(name)), errs.Disk, "rename %s to %s", old, name)
}

// Sync makes the creations, removals and renames in the folder durable.
func (d osDisk) Sync() error {
	return errs.Wrap(d.folder.Sync(), errs.Disk, "sync the folder")
}

// Sync calls fdatasync, which makes the length durable too. After EINTR, which is no failed sync, it is called again.
func (f osFile) Sync() error {
	for {
		err := unix.Fdatasync(int(f.Fd()))
		if !errors.Is(err, unix.EINTR) {
			return errs.Wrap(err, errs.Disk, "sync %s", filepath.Base(f.Name()))
		}
	}
}
