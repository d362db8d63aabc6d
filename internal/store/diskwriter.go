package store

import (
	"context"
	"encoding/json"

	"github.com/go-kit/log/level"

	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/raft"
	"crosstide/internal/state"
	"crosstide/internal/storage"
)

// entryOverhead is what an entry takes beside its data.
const entryOverhead = 64

// writes is what one Ready wants of the disk. Ready.Reset needs nothing here: writing the image that caused it
// made the slot store let go of the same entries.
type diskWrite struct {
	hard          *raft.HardState
	entries       []raft.Entry
	sendAfterSync []raft.Message // may leave once all of it is synced
}

// runDiskWriter stores all that is pending with one sync, again and again.
func (s *Store) runDiskWriter(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wakeDisk:
		}
		batch := s.takeDiskWrites()
		if len(batch) == 0 {
			continue
		}
		err := s.retryWhileDiskFull(ctx, "store the log", func() error { return errs.Pass(s.writeBatch(batch), "batch") })
		if errs.Is(err, errs.Stopped) {
			return
		}
		if err != nil {
			s.fatal(err)
			return
		}
		s.onStored(batch)
	}
}

// takeDiskWrites takes all that waits for the disk.
func (s *Store) takeDiskWrites() []diskWrite {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := s.diskQueue
	s.diskQueue = nil
	if len(batch) > 0 {
		s.diskBusySince = s.clock.Now()
	}
	return batch
}

// writeBatch writes a batch with one sync.
func (s *Store) writeBatch(batch []diskWrite) error {
	records, err := recordsOf(batch)
	if err == nil && len(records) > 0 {
		from := s.clock.Now()
		err = s.storage.Append(records)
		s.metrics.syncs.Observe((s.clock.Now() - from).Seconds())
	}
	return errs.Pass(err, "append")
}

func recordsOf(batch []diskWrite) (out []storage.Record, err error) {
	for _, w := range batch {
		if w.hard != nil {
			data, err := json.Marshal(w.hard)
			if err != nil {
				return nil, errs.Wrap(err, errs.Internal, "encode the hard state")
			}
			out = append(out, storage.Record{Kind: storage.KindHardState, Data: data})
		}
		for _, e := range w.entries {
			out = append(out, storage.Record{Kind: uint8(e.Kind), Term: e.Term, Index: e.Index, Data: e.Data})
		}
	}
	return out, nil
}

// onStored takes in that a batch is synced.
func (s *Store) onStored(batch []diskWrite) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.diskBusySince = 0
	var last raft.Entry
	for _, w := range batch {
		s.enqueueMessages(w.sendAfterSync)
		if n := len(w.entries); n > 0 {
			last = w.entries[n-1]
		}
	}
	if last.Index > 0 {
		s.core.Synced(s.clock.Now(), last.Index, last.Term)
		s.durable = last.Index
		for _, w := range s.diskQueue { // what replaces stored entries is not stored yet
			if len(w.entries) > 0 {
				s.durable = min(s.durable, w.entries[0].Index-1)
			}
		}
		signal(s.wakeSnapshotter)
	}
	signal(s.wakeLoop)
	if len(s.diskQueue) > 0 {
		signal(s.wakeDisk)
	}
}

// toInstall is a snapshot of another member that takes the place of this node's state.
type fetchedSnapshot struct {
	image storage.Snapshot
	meta  raft.Meta
	live  *state.State
	done  chan struct{}
}

// runSnapshotter keeps the shadow, a second replica of the state, and writes the slots from it. It is the only writer of
// slots. It takes entries only once they are stored here: a slot must not be ahead of the log on its own disk.
func (s *Store) runSnapshotter(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wakeSnapshotter:
		}
		fetched, err := s.applyStored(ctx)
		if err == nil && fetched != nil {
			err = s.installFetched(ctx, fetched)
			close(fetched.done)
		}
		if errs.Is(err, errs.Stopped) {
			return
		}
		if err != nil {
			s.fatal(err)
			return
		}
	}
}

// applyStored brings the shadow up to what is stored here and gives the image that waits to be adopted, if any.
func (s *Store) applyStored(ctx context.Context) (*fetchedSnapshot, error) {
	fetched, batch := s.takeStored()
	if len(batch) > 0 {
		if err := s.loadSnapshotState(); err != nil {
			return fetched, errs.Pass(err, "trail")
		}
	}
	for i := range batch {
		if err := s.applyToSnapshot(ctx, batch[i]); err != nil {
			return fetched, errs.Pass(err, "trail")
		}
		batch[i].Data = nil
	}
	return fetched, nil
}

// loadSnapshotState decodes the snapshot that the store began with into the shadow. It is done here, not at the start: a node that
// came back serves the sooner.
func (s *Store) loadSnapshotState() error {
	if s.snapshotState != nil {
		return nil
	}
	s.snapshotState = state.New()
	if s.initialImage == nil {
		return nil
	}
	snapshotState, err := state.Decode(s.initialImage)
	if err != nil {
		return errs.Pass(err, "the snapshot of the start")
	}
	s.snapshotState, s.initialImage = snapshotState, nil
	return nil
}

// takeStored takes the image that waits to be adopted, if any, and the entries that the shadow may apply. While the live
// state has entries to catch up on it takes none: a node that came back serves the sooner, and each later pass asks again.
func (s *Store) takeStored() (*fetchedSnapshot, []raft.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fetched := s.toInstall
	s.toInstall = nil
	if len(s.unapplied) > 0 && fetched == nil {
		return nil, nil
	}
	n := 0
	for n < len(s.committed) && s.committed[n].Index <= s.durable {
		n++
	}
	batch := s.committed[:n:n]
	if s.committed = s.committed[n:]; len(s.committed) == 0 {
		s.committed = nil
	}
	return fetched, batch
}

// applyToSnapshot applies an entry to the shadow, and writes a slot when one is due.
func (s *Store) applyToSnapshot(ctx context.Context, e raft.Entry) error {
	if e.Index <= s.snapshotState.Index {
		return nil // an image that was adopted has it
	}
	if e.Kind == raft.Members {
		s.snapshotMembers = nil
		if err := json.Unmarshal(e.Data, &s.snapshotMembers); err != nil {
			return errs.Wrap(err, errs.Damaged, "members at %d", e.Index)
		}
	}
	_, _ = applyTo(s.snapshotState, e) // a command's own failure is an outcome
	s.entriesSinceSnapshot++
	s.bytesSinceSnapshot += len(e.Data) + entryOverhead
	if !s.snapshotDue() {
		return nil
	}
	return errs.Pass(s.writeSnapshot(ctx), "slot at %d", e.Index)
}

// snapshotDue tells whether the shadow has applied enough since the newest snapshot. One that falls due just after this
// node began to lead waits: the node then has its hands full with taking over.
func (s *Store) snapshotDue() bool {
	if s.bytesSinceSnapshot >= maxSnapshotLogBytes {
		return true
	}
	return s.entriesSinceSnapshot >= s.settings.SnapshotEvery && !s.inTakeover()
}

// inTakeover tells whether this node has led for a short time only.
func (s *Store) inTakeover() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaderTerm != 0 && s.clock.Now()-s.leaderSince < takeoverPeriod
}

func (s *Store) writeSnapshot(ctx context.Context) error {
	from := s.clock.Now()
	body, err := s.snapshotState.Encode()
	if err != nil {
		return errs.Pass(err, "write a slot")
	}
	meta := raft.Meta{Index: s.snapshotState.Index, Term: s.snapshotState.Term, Members: s.snapshotMembers}
	raw, err := json.Marshal(meta)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "encode the meta of a slot")
	}
	image := storage.Snapshot{Index: meta.Index, Term: meta.Term, Meta: raw, Body: body}
	if err := s.retryWhileDiskFull(ctx, "write a slot", func() error { return errs.Pass(s.storage.WriteSnapshot(image, 0), "own state") }); err != nil {
		return errs.Pass(err, "slot")
	}
	took := s.clock.Now() - from
	s.metrics.snapshots.Observe(took.Seconds())
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.newestSnapshot.Index
	s.newestSnapshot = internalapi.Snapshot{Number: s.newestSnapshot.Number + 1, Index: meta.Index, Term: meta.Term, Size: int64(len(body))}
	s.core.SnapshotPersisted(meta)
	s.compactedBytes += s.bytesSinceSnapshot
	s.core.Compact(s.compactionIndex(before))
	s.unsnapshottedBytes -= s.bytesSinceSnapshot
	s.entriesSinceSnapshot, s.bytesSinceSnapshot = 0, 0
	_ = level.Info(s.logger).Log("msg", "slot written", "index", meta.Index, "bytes", len(body), "took", took)
	return nil
}

// compactionIndex tells up to where the log may go from memory: up to the slot before the newest, for followers a little
// behind, and not past a slot that is being fetched. Else one whose fetch takes longer than the writing of two
// slots would find the log gone each time it is done. What a fetch holds back is bounded.
func (s *Store) compactionIndex(before uint64) uint64 {
	for _, k := range s.served.images {
		if s.compactedBytes-k.compactedBytes < maxUnsnapshottedBytes {
			before = min(before, k.image.Index)
		}
	}
	return before
}

// installFetched puts an image of another member in the place of the own state. The core is frozen meanwhile: no message
// goes in and no output comes out, so that the log on the disk cannot move between the image and Installed.
func (s *Store) installFetched(ctx context.Context, fetched *fetchedSnapshot) error {
	if !s.freeze(fetched) {
		return nil
	}
	defer s.unfreeze()
	for !s.diskIdle() { // what was handed out before must be on the disk before the image
		signal(s.wakeDisk)
		if !s.sleep(ctx, pollInterval) {
			return nil
		}
	}
	return errs.Pass(s.replaceWithFetched(ctx, fetched), "adopt")
}

// freeze holds the core still if the image is newer than what is committed here.
func (s *Store) freeze(fetched *fetchedSnapshot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = fetched.meta.Index > s.core.Status().Commit
	return s.frozen
}

func (s *Store) unfreeze() {
	s.mu.Lock()
	s.frozen = false
	s.mu.Unlock()
	signal(s.wakeLoop)
}

// diskIdle tells whether the disk has nothing to do.
func (s *Store) diskIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.diskQueue) == 0 && s.diskBusySince == 0
}

// replaceWithFetched stores the image and puts it in the place of the own state.
func (s *Store) replaceWithFetched(ctx context.Context, fetched *fetchedSnapshot) error {
	if err := s.retryWhileDiskFull(ctx, "write a fetched snapshot", func() error { return errs.Pass(s.storage.WriteSnapshot(fetched.image, 0), "image") }); err != nil {
		return errs.Pass(err, "put")
	}
	snapshotState, err := state.Decode(fetched.image.Body)
	if err != nil {
		return errs.Pass(err, "a fetched snapshot")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newestSnapshot = internalapi.Snapshot{Number: s.newestSnapshot.Number + 1, Index: fetched.meta.Index, Term: fetched.meta.Term, Size: int64(len(fetched.image.Body))}
	s.core.SnapshotInstalled(s.clock.Now(), fetched.meta)
	s.snapshotState, s.snapshotMembers, s.entriesSinceSnapshot, s.bytesSinceSnapshot = snapshotState, fetched.meta.Members, 0, 0
	s.initialImage = nil
	s.committed, s.unsnapshottedBytes, s.unapplied = nil, 0, nil
	s.durable = max(s.durable, fetched.meta.Index)
	s.replaceState(fetched.live)
	_ = level.Info(s.logger).Log("msg", "snapshot installed", "index", fetched.meta.Index, "bytes", len(fetched.image.Body))
	return nil
}

// replaceState makes next the live state.
func (s *Store) replaceState(next *state.State) {
	s.live = next
	s.live.OnEvent = func(n state.Event) {
		if n.Kind == state.EventRoleChanged {
			s.roleLeases.ObserveEpoch(s.clock.Now(), n.Name, s.live.Roles[n.Name].Epoch)
		}
	}
	s.trackOwnBundle()
	close(s.changed)
	s.changed = make(chan struct{})
}
