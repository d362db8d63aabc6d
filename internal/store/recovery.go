package store

import (
	"encoding/json"
	"strings"

	"github.com/go-kit/log/level"

	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/raft"
	"crosstide/internal/state"
	"crosstide/internal/storage"
)

// idFile contains the raft ID of a folder that belongs to a new incarnation. Without this file the node's name is the
// ID.
const idFile = "id"

// recoverFolder reads the folder and starts the core. It leaves the core nil if the folder is empty and the node may
// have to bootstrap; resolveEmptyFolder must then be called.
func (s *Store) recoverFolder() error {
	if err := s.finishDiscard(); err != nil {
		return errs.Pass(err, "discard")
	}
	if err := s.loadPeerAddresses(); err != nil {
		return errs.Pass(err, "load peer addresses")
	}
	id, err := readID(s.opt.Disk)
	if err != nil {
		return errs.Pass(err, "read the id")
	}
	opened, recovered, err := storage.Open(s.opt.Disk, storage.Options{Clock: s.clock})
	if err != nil {
		return errs.Pass(err, "open the folder")
	}
	s.storage = opened
	switch {
	case id != "":
		s.id = id
	case recovered.Fresh && (s.opt.Damaged || !s.settings.Bootstrap):
		return errs.Pass(s.startNewIncarnation(), "start as a new incarnation")
	case recovered.Fresh:
		return nil
	default:
		s.id = s.settings.Name
	}
	return errs.Pass(s.startCore(recovered), "start the core")
}

// startCore creates the core and the live state from the recovered data. The store's other goroutines do not run yet,
// but handlers of calls may run concurrently.
func (s *Store) startCore(recovered storage.Recovered) error {
	initial, live, err := decodeRecovered(recovered)
	if err != nil {
		return errs.Pass(err, "recover")
	}
	core, err := raft.New(raft.Config{
		ID:                s.id,
		ElectionTimeout:   s.settings.ElectionTimeout,
		HeartbeatInterval: s.settings.Heartbeat,
		LeaseDuration:     s.settings.Lease,
		Seed:              s.opt.Seed,
	}, initial, s.clock.Now())
	if err != nil {
		return errs.Pass(err, "start the core")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshotter = snapshotter{members: initial.Snapshot.Members}
	if image := recovered.Snapshot; image != nil {
		s.snapshotter.initialImage = image.Body
		s.snapshots.newest = internalapi.Snapshot{Number: image.Number, Index: image.Index, Term: image.Term,
			Size: int64(len(image.Body))}
		s.diskQueue.durable = image.Index
	}
	if n := len(initial.Entries); n > 0 {
		s.diskQueue.durable = initial.Entries[n-1].Index
	}
	s.replaceState(live)
	s.core, s.status = core, core.Status()
	_ = level.Info(s.logger).Log("msg", "raft core started", "id", s.id, "snapshot", s.snapshots.newest.Index,
		"entries", len(initial.Entries), "term", s.status.Term, "torn_bytes", recovered.TornBytes)
	return nil
}

// decodeRecovered decodes the recovered data: the snapshot, if any, the newest hard state and the log entries.
func decodeRecovered(recovered storage.Recovered) (initial raft.InitialState, live *state.State, err error) {
	live = state.New()
	if image := recovered.Snapshot; image != nil {
		if initial.Snapshot, err = decodeSnapshotMeta(image.Meta); err != nil {
			return initial, nil, errs.Pass(err, "metadata of snapshot %d", image.Number)
		}
		if live, err = state.Decode(image.Body); err != nil {
			return initial, nil, errs.Pass(err, "snapshot %d", image.Number)
		}
	}
	for _, r := range recovered.Records {
		if r.Kind == storage.KindHardState {
			if err := json.Unmarshal(r.Data, &initial.HardState); err != nil {
				return initial, nil, errs.Wrap(err, errs.Damaged, "decode the hard state")
			}
			continue
		}
		entry := raft.Entry{Term: r.Term, Index: r.Index, Kind: raft.EntryKind(r.Kind), Data: r.Data}
		initial.Entries = append(initial.Entries, entry)
	}
	return initial, live, nil
}

// startNewIncarnation writes a new ID to an empty folder and starts the core empty. The ID is synced before it is used.
func (s *Store) startNewIncarnation() error {
	id := s.newID()
	if err := writeFile(s.opt.Disk, idFile, id); err != nil {
		return errs.Pass(err, "write the new id")
	}
	s.mu.Lock()
	s.id = id
	s.mu.Unlock()
	return errs.Pass(s.startCore(storage.Recovered{}), "start the core")
}

// newID returns a raft ID for a new incarnation of this node's folder.
func (s *Store) newID() string { return s.settings.Name + "~" + strings.ToLower(s.opt.RandomID()[:10]) }

// readID returns the raft ID in the folder's idFile, or "" if the file does not exist.
func readID(d storage.Disk) (string, error) {
	id, ok, err := readFile(d, idFile)
	if err == nil && ok && id == "" {
		return "", errs.New(errs.Damaged, "the id file is empty")
	}
	return id, errs.Pass(err, "read the id file")
}
