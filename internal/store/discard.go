package store

import (
	"slices"
	"strings"

	"github.com/go-kit/log/level"

	"crosstide/internal/errs"
	"crosstide/internal/storage"
)

const (
	// discardFile marks a folder whose contents must no longer be used. It is removed last, after the new ID of the
	// folder is written, so that a crash in between never leaves an empty folder, which could bootstrap a fleet. It
	// holds the addresses of other nodes, one per line.
	discardFile = "discard"
	// peersFile keeps the addresses from discardFile: the new incarnation asks these nodes for the leader.
	peersFile = "peers"
)

// Discard durably marks the contents of a folder as invalid, because they are damaged or the node was removed from the
// members. The next Open deletes them and starts as a new incarnation, which looks for the leader at the given
// addresses besides its seeds. Failure: Disk.
func Discard(d storage.Disk, addresses ...string) error {
	names, err := d.List()
	if err != nil {
		return errs.Pass(err, "list")
	}
	if slices.Contains(names, discardFile) {
		return errs.Pass(d.Sync(), "sync") // an earlier Discard may have crashed before its sync
	}
	return errs.Pass(writeFile(d, discardFile, strings.Join(addresses, "\n")), "mark the folder as discarded")
}

// finishDiscard deletes the contents of a folder that Discard marked, and writes a new ID to it. It leaves any other
// folder as it is.
func (s *Store) finishDiscard() error {
	disk := s.opt.Disk
	peers, marked, err := readFile(disk, discardFile)
	if err != nil || !marked {
		return errs.Pass(err, "read the discard mark")
	}
	if err := storage.RemoveFiles(disk); err != nil {
		return errs.Pass(err, "clear")
	}
	if err := writeFile(disk, peersFile, peers); err != nil {
		return errs.Pass(err, "write the addresses of other nodes")
	}
	id := s.newID()
	if err := writeFile(disk, idFile, id); err != nil {
		return errs.Pass(err, "write the new ID")
	}
	if err := disk.Remove(discardFile); err != nil {
		return errs.Pass(err, "remove the discard mark")
	}
	_ = level.Warn(s.logger).Log("msg", "discarded folder cleared, rejoining with a new ID", "id", id)
	return errs.Pass(disk.Sync(), "sync")
}

// loadPeerAddresses loads the addresses of other nodes that Discard stored, if any.
func (s *Store) loadPeerAddresses() error {
	peers, _, err := readFile(s.opt.Disk, peersFile)
	s.rememberAddresses(strings.Fields(peers)...)
	return errs.Pass(err, "read the addresses of other nodes")
}
