package store

import (
	"io"
	"slices"

	"crosstide/internal/fault"
	"crosstide/internal/slot"
)

// readFile reads a small file of the folder; ok is false if it is missing.
func readFile(d slot.Disk, name string) (content string, ok bool, err error) {
	names, err := d.List()
	if err != nil || !slices.Contains(names, name) {
		return "", false, fault.Pass(err, "list")
	}
	f, err := d.Open(name)
	if err != nil {
		return "", false, fault.Pass(err, "open")
	}
	defer f.Close()
	raw, err := io.ReadAll(f)
	return string(raw), true, fault.Wrap(err, fault.Disk, "read %s", name)
}

// writeFile puts a small file in the place of the one of its name, synced.
func writeFile(d slot.Disk, name, content string) error {
	loose := name + ".tmp"
	if _, left, err := readFile(d, loose); err != nil {
		return fault.Pass(err, "look for %s", loose)
	} else if left { // by a crash
		if err := d.Remove(loose); err != nil {
			return fault.Pass(err, "remove %s", loose)
		}
	}
	f, err := d.Create(loose)
	if err != nil {
		return fault.Pass(err, "create")
	}
	_, err = f.Write([]byte(content))
	if err == nil {
		err = f.Sync()
	}
	if bad := f.Close(); err == nil {
		err = bad
	}
	if err == nil {
		err = d.Rename(loose, name)
	}
	if err == nil {
		err = d.Sync()
	}
	return fault.Wrap(err, fault.Disk, "write %s", name)
}
