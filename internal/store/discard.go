package store

import (
	"slices"
	"strings"

	"github.com/go-kit/log/level"

	"crosstide/internal/errs"
	"crosstide/internal/storage"
)

const (
	// discardFile marks a folder whose contents must not be used any more. It is removed last, after the folder got a
	// new ID, so that a crash in between never leaves an empty folder that could bootstrap a fleet. It holds the
	// addresses of other nodes, one per line.
	discardFile = "discard"
	// peersFile keeps the addresses from discardFile, for the new incarnation to ask.
	peersFile = "peers"
)

// Discard durably marks the contents of a folder as invalid, because it is damaged or its member was removed. The next
// Open deletes them and starts as a new incarnation, which asks the nodes at the given addresses, besides its seeds, to
// join. Failure: Disk.
func Discard(d storage.Disk, addresses ...string) error {
	names, err := d.List()
	if err != nil {
		return errs.Pass(err, "list")
	}
	if slices.Contains(names, discardFile) {
		return errs.Pass(d.Sync(), "sync") // an earlier Discard may have crashed before its sync
	}
	return errs.Pass(writeFile(d, discardFile, strings.Join(addresses, "\n")), "mark the folder")
}

// finishDiscard deletes the contents of a folder that Discard marked, and gives it a new ID. Otherwise it does nothing.
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
		return errs.Pass(err, "write the addresses of other nodes")
	}
	id := s.newID()
	if err := writeFile(disk, idFile, id); err != nil {
		return errs.Pass(err, "write the new id")
	}
	if err := disk.Remove(discardFile); err != nil {
		return errs.Pass(err, "remove the mark")
	}
	_ = level.Warn(s.logger).Log("msg", "old contents of the folder removed: joining anew", "id", id)
	return errs.Pass(disk.Sync(), "sync")
}

// loadPeerAddresses loads the addresses that were known before the folder's contents were discarded.
func (s *Store) loadPeerAddresses() error {
	peers, _, err := readFile(s.opt.Disk, peersFile)
	s.rememberAddresses(strings.Fields(peers)...)
	return errs.Pass(err, "read the addresses of other nodes")
}
