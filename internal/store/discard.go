package store

import (
	"slices"

	"github.com/go-kit/log/level"

	"crosstide/internal/fault"
	"crosstide/internal/slot"
)

// discardFile marks a folder whose contents are no member's any more. It goes last, after the folder got a new ID,
// so that a crash on the way never leaves an empty folder that could found a fleet.
const discardFile = "discard"

// Discard marks the contents of a folder as void, and makes that last: the next Open removes them and begins as a
// new incarnation. Use it on a folder that is damaged, or of a member that was removed. Fault: Disk.
func Discard(d slot.Disk) error {
	names, err := d.List()
	if err != nil {
		return fault.Pass(err, "discard")
	}
	if !slices.Contains(names, discardFile) {
		f, err := d.Create(discardFile)
		if err != nil {
			return fault.Pass(err, "discard")
		}
		if err := f.Close(); err != nil {
			return fault.Wrap(err, fault.Disk, "discard")
		}
	}
	return fault.Pass(d.Sync(), "discard")
}

// finishDiscard ends what Discard began, if it did: an empty folder with a new ID is left.
func (s *Store) finishDiscard() error {
	disk := s.opt.Disk
	names, err := disk.List()
	if err != nil || !slices.Contains(names, discardFile) {
		return fault.Pass(err, "list")
	}
	if err := slot.Clear(disk); err != nil {
		return fault.Pass(err, "clear")
	}
	id := s.newID()
	if err := writeID(disk, id); err != nil {
		return fault.Pass(err, "take a new id")
	}
	if err := disk.Remove(discardFile); err != nil {
		return fault.Pass(err, "remove the mark")
	}
	_ = level.Warn(s.log).Log("msg", "old contents of the folder removed: joining anew", "id", id)
	return fault.Pass(disk.Sync(), "sync")
}
