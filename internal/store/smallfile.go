package store

import (
	"io"
	"slices"

	"crosstide/internal/errs"
	"crosstide/internal/storage"
)

// readFile returns the content of a small file; ok reports whether it exists. Failure: Disk.
func readFile(d storage.Disk, name string) (content string, ok bool, err error) {
	names, err := d.List()
	if err != nil || !slices.Contains(names, name) {
		return "", false, errs.Pass(err, "list")
	}
	f, err := d.Open(name)
	if err != nil {
		return "", false, errs.Pass(err, "open")
	}
	defer f.Close()
	raw, err := io.ReadAll(f)
	return string(raw), true, errs.Wrap(err, errs.Disk, "read %s", name)
}

// writeFile creates or replaces a small file atomically and syncs it: after a crash the folder has the old file or the
// new one, complete. Failure: Disk.
func writeFile(d storage.Disk, name, content string) error {
	temporary := name + ".tmp"
	if _, exists, err := readFile(d, temporary); err != nil {
		return errs.Pass(err, "look for %s", temporary)
	} else if exists { // left by a write that a crash interrupted
		if err := d.Remove(temporary); err != nil {
			return errs.Pass(err, "remove %s", temporary)
		}
	}
	f, err := d.Create(temporary)
	if err != nil {
		return errs.Pass(err, "create")
	}
	_, err = f.Write([]byte(content))
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = d.Rename(temporary, name)
	}
	if err == nil {
		err = d.Sync()
	}
	return errs.Wrap(err, errs.Disk, "write %s", name)
}
