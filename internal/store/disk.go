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

// entryRoom is what an entry takes beside its data.
const entryRoom = 64

// work is what one Ready wants of the disk. Ready.Reset needs nothing here: writing the image that caused it
// made the slot store let go of the same entries.
type work struct {
	hard   *raft.Hard
	append []raft.Entry
	after  []raft.Message // may leave once all of it is synced
}

// disk stores all that is pending with one sync, again and again.
func (s *Store) disk(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.diskKick:
		}
		batch := s.pick()
		if len(batch) == 0 {
			continue
		}
		err := s.whenRoom(ctx, "store the log", func() error { return errs.Pass(s.write(batch), "batch") })
		if errs.Is(err, errs.Stopped) {
			return
		}
		if err != nil {
			s.fatal(err)
			return
		}
		s.stored(batch)
	}
}

// pick takes all that waits for the disk.
func (s *Store) pick() []work {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := s.queue
	s.queue = nil
	if len(batch) > 0 {
		s.diskBusy = s.clock.Now()
	}
	return batch
}

// write writes a batch with one sync.
func (s *Store) write(batch []work) error {
	records, err := recordsOf(batch)
	if err == nil && len(records) > 0 {
		from := s.clock.Now()
		err = s.storage.Append(records)
		s.meter.syncs.Observe((s.clock.Now() - from).Seconds())
	}
	return errs.Pass(err, "append")
}

func recordsOf(batch []work) (out []storage.Record, err error) {
	for _, w := range batch {
		if w.hard != nil {
			data, err := json.Marshal(w.hard)
			if err != nil {
				return nil, errs.Wrap(err, errs.Internal, "encode the hard state")
			}
			out = append(out, storage.Record{Kind: storage.KindHard, Data: data})
		}
		for _, e := range w.append {
			out = append(out, storage.Record{Kind: uint8(e.Kind), Term: e.Term, Index: e.Index, Data: e.Data})
		}
	}
	return out, nil
}

// stored takes in that a batch is synced.
func (s *Store) stored(batch []work) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.diskBusy = 0
	var last raft.Entry
	for _, w := range batch {
		s.route(w.after)
		if n := len(w.append); n > 0 {
			last = w.append[n-1]
		}
	}
	if last.Index > 0 {
		s.core.Synced(s.clock.Now(), last.Index, last.Term)
		s.durable = last.Index
		for _, w := range s.queue { // what replaces stored entries is not stored yet
			if len(w.append) > 0 {
				s.durable = min(s.durable, w.append[0].Index-1)
			}
		}
		nudge(s.shadowKick)
	}
	nudge(s.kick)
	if len(s.queue) > 0 {
		nudge(s.diskKick)
	}
}

// install is a snapshot of another member that takes the place of this node's state.
type install struct {
	image storage.Snapshot
	meta  raft.Meta
	live  *state.State
	done  chan struct{}
}

// shade keeps the shadow, a second replica of the state, and writes the slots from it. It is the only writer of
// slots. It takes entries only once they are stored here: a slot must not be ahead of the log on its own disk.
func (s *Store) shade(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.shadowKick:
		}
		in, err := s.trail(ctx)
		if err == nil && in != nil {
			err = s.adopt(ctx, in)
			close(in.done)
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

// trail brings the shadow up to what is stored here and gives the image that waits to be adopted, if any.
func (s *Store) trail(ctx context.Context) (*install, error) {
	in, batch := s.takeStored()
	if len(batch) > 0 {
		if err := s.loadShadow(); err != nil {
			return in, errs.Pass(err, "trail")
		}
	}
	for i := range batch {
		if err := s.follow(ctx, batch[i]); err != nil {
			return in, errs.Pass(err, "trail")
		}
		batch[i].Data = nil
	}
	return in, nil
}

// loadShadow decodes the snapshot that the store began with into the shadow. It is done here, not at the start: a node that
// came back serves the sooner.
func (s *Store) loadShadow() error {
	if s.shadow != nil {
		return nil
	}
	s.shadow = state.New()
	if s.shadowImage == nil {
		return nil
	}
	shadow, err := state.Decode(s.shadowImage)
	if err != nil {
		return errs.Pass(err, "the snapshot of the start")
	}
	s.shadow, s.shadowImage = shadow, nil
	return nil
}

// takeStored takes the image that waits to be adopted, if any, and the entries that the shadow may apply. While the live
// state has entries to catch up on it takes none: a node that came back serves the sooner, and each later pass asks again.
func (s *Store) takeStored() (*install, []raft.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	in := s.install
	s.install = nil
	if len(s.unapplied) > 0 && in == nil {
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
	return in, batch
}

// follow applies an entry to the shadow, and writes a slot when one is due.
func (s *Store) follow(ctx context.Context, e raft.Entry) error {
	if e.Index <= s.shadow.Index {
		return nil // an image that was adopted has it
	}
	if e.Kind == raft.Members {
		s.shadowMembers = nil
		if err := json.Unmarshal(e.Data, &s.shadowMembers); err != nil {
			return errs.Wrap(err, errs.Damaged, "members at %d", e.Index)
		}
	}
	_, _ = applyTo(s.shadow, e) // a command's own failure is an outcome
	s.shadowSince++
	s.shadowBytes += len(e.Data) + entryRoom
	if !s.snapshotDue() {
		return nil
	}
	return errs.Pass(s.writeSlot(ctx), "slot at %d", e.Index)
}

// snapshotDue tells whether the shadow has applied enough since the newest snapshot. One that falls due just after this
// node began to lead waits: the node then has its hands full with taking over.
func (s *Store) snapshotDue() bool {
	if s.shadowBytes >= maxBytes {
		return true
	}
	return s.shadowSince >= s.set.SnapshotEvery && !s.takingOver()
}

// takingOver tells whether this node has led for a short time only.
func (s *Store) takingOver() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leadTerm != 0 && s.clock.Now()-s.leadSince < takeOver
}

func (s *Store) writeSlot(ctx context.Context) error {
	from := s.clock.Now()
	body, err := s.shadow.Encode()
	if err != nil {
		return errs.Pass(err, "write a slot")
	}
	meta := raft.Meta{Index: s.shadow.Index, Term: s.shadow.Term, Members: s.shadowMembers}
	raw, err := json.Marshal(meta)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "encode the meta of a slot")
	}
	image := storage.Snapshot{Index: meta.Index, Term: meta.Term, Meta: raw, Body: body}
	if err := s.whenRoom(ctx, "write a slot", func() error { return errs.Pass(s.storage.WriteSnapshot(image, 0), "own state") }); err != nil {
		return errs.Pass(err, "slot")
	}
	took := s.clock.Now() - from
	s.meter.snapshots.Observe(took.Seconds())
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.newest.Index
	s.newest = internalapi.Snapshot{Number: s.newest.Number + 1, Index: meta.Index, Term: meta.Term, Size: int64(len(body))}
	s.core.SnapshotAt(meta)
	s.logTotal += s.shadowBytes
	s.core.Compact(s.tail(before))
	s.behind -= s.shadowBytes
	s.shadowSince, s.shadowBytes = 0, 0
	_ = level.Info(s.log).Log("msg", "slot written", "index", meta.Index, "bytes", len(body), "took", took)
	return nil
}

// tail tells up to where the log may go from memory: up to the slot before the newest, for followers a little
// behind, and not past a slot that is being fetched. Else one whose fetch takes longer than the writing of two
// slots would find the log gone each time it is done. What a fetch holds back is bounded.
func (s *Store) tail(before uint64) uint64 {
	for _, k := range s.chunks.list {
		if s.logTotal-k.total < maxBehind {
			before = min(before, k.image.Index)
		}
	}
	return before
}

// adopt puts an image of another member in the place of the own state. The core is frozen meanwhile: no message
// goes in and no output comes out, so that the log on the disk cannot move between the image and Installed.
func (s *Store) adopt(ctx context.Context, in *install) error {
	if !s.freeze(in) {
		return nil
	}
	defer s.thaw()
	for !s.idle() { // what was handed out before must be on the disk before the image
		nudge(s.diskKick)
		if !s.rest(ctx, pollEvery) {
			return nil
		}
	}
	return errs.Pass(s.put(ctx, in), "adopt")
}

// freeze holds the core still if the image is newer than what is committed here.
func (s *Store) freeze(in *install) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = in.meta.Index > s.core.Status().Commit
	return s.frozen
}

func (s *Store) thaw() {
	s.mu.Lock()
	s.frozen = false
	s.mu.Unlock()
	nudge(s.kick)
}

// idle tells whether the disk has nothing to do.
func (s *Store) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue) == 0 && s.diskBusy == 0
}

// put stores the image and puts it in the place of the own state.
func (s *Store) put(ctx context.Context, in *install) error {
	if err := s.whenRoom(ctx, "write a fetched snapshot", func() error { return errs.Pass(s.storage.WriteSnapshot(in.image, 0), "image") }); err != nil {
		return errs.Pass(err, "put")
	}
	shadow, err := state.Decode(in.image.Body)
	if err != nil {
		return errs.Pass(err, "a fetched snapshot")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newest = internalapi.Snapshot{Number: s.newest.Number + 1, Index: in.meta.Index, Term: in.meta.Term, Size: int64(len(in.image.Body))}
	s.core.Installed(s.clock.Now(), in.meta)
	s.shadow, s.shadowMembers, s.shadowSince, s.shadowBytes = shadow, in.meta.Members, 0, 0
	s.shadowImage = nil
	s.committed, s.behind, s.unapplied = nil, 0, nil
	s.durable = max(s.durable, in.meta.Index)
	s.replace(in.live)
	_ = level.Info(s.log).Log("msg", "snapshot installed", "index", in.meta.Index, "bytes", len(in.image.Body))
	return nil
}

// replace makes next the live state.
func (s *Store) replace(next *state.State) {
	s.live = next
	s.live.Watch = func(n state.Note) {
		if n.Kind == state.NoteDuty {
			s.book.Seen(s.clock.Now(), n.Name, s.live.Duties[n.Name].Epoch)
		}
	}
	s.took()
	close(s.changed)
	s.changed = make(chan struct{})
}
