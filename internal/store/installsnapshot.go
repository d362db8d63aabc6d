package store

import (
	"context"

	"github.com/go-kit/log/level"

	"crosstide/internal/errs"
	"crosstide/internal/raft"
	"crosstide/internal/state"
	"crosstide/internal/storage"
)

// fetchedSnapshot is a snapshot of another member that is to replace this node's state. The goroutine fetch downloads
// it, runSnapshotter installs it.
type fetchedSnapshot struct {
	image storage.Snapshot
	meta  raft.Meta
	live  *state.State  // decoded from the image, to become the live state
	done  chan struct{} // closed once it is installed or rejected
}

// startFetch starts to fetch the snapshot that the core requested, if any, unless a fetch is under way. s.mu must be
// held.
func (s *Store) startFetch(wanted *raft.FetchSnapshot) {
	if wanted == nil || s.snapshots.fetching {
		return
	}
	s.snapshots.fetching = true
	request := *wanted
	if s.manual != nil {
		s.manual.wanted = &request
		return
	}
	s.group.Go(func(ctx context.Context) { s.fetch(ctx, request) })
}

// fetch is the goroutine that downloads a snapshot and waits until it is installed. After a failure the core requests
// the snapshot again.
func (s *Store) fetch(ctx context.Context, wanted raft.FetchSnapshot) {
	err := s.fetchAndInstall(ctx, wanted)
	if err != nil {
		_ = level.Warn(s.logger).Log("msg", "snapshot fetch failed", "from", wanted.From, "err", err)
	}
	s.mu.Lock()
	s.snapshots.fetching = false
	s.mu.Unlock()
}

// fetchAndInstall downloads a snapshot and passes it to runSnapshotter.
func (s *Store) fetchAndInstall(ctx context.Context, wanted raft.FetchSnapshot) error {
	fetched, err := s.downloadAndDecode(ctx, wanted)
	if err != nil {
		return errs.Pass(err, "fetch")
	}
	s.mu.Lock()
	s.snapshots.toInstall = fetched
	s.mu.Unlock()
	signal(s.snapshots.wake)
	select {
	case <-fetched.done:
	case <-ctx.Done():
	}
	return nil
}

// downloadAndDecode downloads a snapshot and decodes it, ready to be installed.
func (s *Store) downloadAndDecode(ctx context.Context, wanted raft.FetchSnapshot) (*fetchedSnapshot, error) {
	fetched, err := s.download(ctx, wanted)
	if err != nil {
		return nil, errs.Pass(err, "download")
	}
	if fetched.live, err = state.Decode(fetched.image.Body); err != nil {
		return nil, errs.Pass(err, "decode")
	}
	fetched.done = make(chan struct{})
	return fetched, nil
}

// installFetched replaces this node's state with a fetched snapshot. The core stays frozen until it is done, so that
// the log on disk cannot change between the write of the image and SnapshotInstalled.
func (s *Store) installFetched(ctx context.Context, fetched *fetchedSnapshot) error {
	if !s.freeze(fetched) {
		return nil
	}
	defer s.unfreeze()
	for !s.isDiskIdle() { // earlier writes must be stored before the image
		signal(s.diskQueue.wake)
		if !s.sleep(ctx, pollInterval) {
			return nil
		}
	}
	return errs.Pass(s.replaceWithFetched(ctx, fetched), "install")
}

// freeze stops the core if the snapshot is newer than this node's commit index, and reports whether it did.
func (s *Store) freeze(fetched *fetchedSnapshot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = fetched.meta.Index > s.core.Status().Commit
	return s.frozen
}

// unfreeze resumes the core after freeze.
func (s *Store) unfreeze() {
	s.mu.Lock()
	s.frozen = false
	s.mu.Unlock()
	signal(s.wakeLoop)
}

// replaceWithFetched stores a fetched snapshot and makes it the state of the core, the snapshotter and the readers. The
// core must be frozen and the disk writer idle.
func (s *Store) replaceWithFetched(ctx context.Context, fetched *fetchedSnapshot) error {
	err := s.retryWhileDiskFull(ctx, "write a fetched snapshot", func() error {
		return errs.Pass(s.storage.WriteSnapshot(fetched.image, 0), "write")
	})
	if err != nil {
		return errs.Pass(err, "store")
	}
	snapshotterState, err := state.Decode(fetched.image.Body)
	if err != nil {
		return errs.Pass(err, "decode a fetched snapshot")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshots.onWritten(fetched.meta, len(fetched.image.Body))
	s.core.SnapshotInstalled(s.clock.Now(), fetched.meta)
	s.snapshotter = snapshotter{state: snapshotterState, members: fetched.meta.Members}
	s.snapshots.committed, s.snapshots.unsnapshottedBytes, s.unapplied = nil, 0, nil
	s.diskQueue.durable = max(s.diskQueue.durable, fetched.meta.Index)
	s.replaceState(fetched.live)
	_ = level.Info(s.logger).Log("msg", "snapshot installed", "index", fetched.meta.Index,
		"bytes", len(fetched.image.Body))
	return nil
}
