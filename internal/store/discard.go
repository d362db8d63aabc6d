package store

import (
	"slices"
	"strings"

	"github.com/go-kit/log/level"

	"crosstide/internal/errs"
	"crosstide/internal/storage"
)

const (
	// discardFile marks a folder whose contents are no member's any more. It is removed last, after the folder got a
	// new ID, so that a crash on the way never leaves an empty folder that could bootstrap a fleet. It holds the
	// addresses of other nodes that were known.
	discardFile = "discard"
	// peersFile holds the addresses that discardFile had, for the new incarnation to ask.
	peersFile = "peers"
)

// Discard marks the contents of a folder as void, durably: the next Open removes them and begins as a new incarnation,
// which asks the nodes at the addresses to be taken in, besides its seeds. Use it on a folder that is damaged, or of a
// member that was removed. Failure: Disk.
func Discard(d storage.Disk, addresses ...string) error {
	names, err := d.List()
	if err != nil {
		return errs.Pass(err, "discard")
	}
	if slices.Contains(names, discardFile) {
		return errs.Pass(d.Sync(), "discard") // an earlier Discard may have crashed before its sync
	}
	return errs.Pass(writeFile(d, discardFile, strings.Join(addresses, "\n")), "discard")
}

// finishDiscard removes the contents of a folder that Discard marked; an empty folder with a new ID is left.
func (s *Store) finishDiscard() error {
	disk := s.opt.Disk
	peers, marked, err := readFile(disk, discardFile)
	if err != nil || !marked {
		return errs.Pass(err, "read the mark")
	}
	if err := storage.Clear(disk); err != nil {
		return errs.Pass(err, "clear")
	}
	if err := writeFile(disk, peersFile, peers); err != nil {
		return errs.Pass(err, "keep the addresses")
	}
	id := s.newID()
	if err := writeFile(disk, idFile, id); err != nil {
		return errs.Pass(err, "take a new id")
	}
	if err := disk.Remove(discardFile); err != nil {
		return errs.Pass(err, "remove the mark")
	}
	_ = level.Warn(s.logger).Log("msg", "old contents of the folder removed: joining anew", "id", id)
	return errs.Pass(disk.Sync(), "sync")
}

// loadPeerAddresses learns the addresses that were known before the folder's contents were discarded.
func (s *Store) loadPeerAddresses() error {
	peers, _, err := readFile(s.opt.Disk, peersFile)
	s.rememberAddresses(strings.Fields(peers)...)
	return errs.Pass(err, "addresses of other nodes")
}
