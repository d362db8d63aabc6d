// Package replica keeps a replica of the store on a node without a disk: it pulls what the node lacks, by a vector
// of versions with one entry for each source, snapshot first where the changes are gone.
package replica

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/raft"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

// StoreSource is the source of the store's changes; its version is the log index.
const StoreSource = "store"

// Source is what a replica asks of the cplanes.
type Source interface {
	// Follow asks any cplane; the same one while it answers well.
	Follow(ctx context.Context, call internalapi.FollowCall) (internalapi.FollowAnswer, error)
	// Chunk asks the cplane that Follow asked last.
	Chunk(ctx context.Context, call internalapi.ChunkCall) (internalapi.ChunkAnswer, error)
}

// Replica is the followed state under its lock. Watch is called with every change, under the lock.
type Replica struct {
	mu           sync.RWMutex
	st           *state.State
	indexChanged chan struct{} // closed and made anew at every change of the index
	onChange     func(state.Event)
	onReset      func(*state.State)
	pulled       bool

	Bytes, Changes, Snapshots uint64 // since the start, under the lock
}

// New makes a replica at version 0. watch is called with changes and reset with a new state after a snapshot; both run
// under the replica's lock.
func New(onChange func(state.Event), onReset func(*state.State)) *Replica {
	r := &Replica{st: state.New(), indexChanged: make(chan struct{}), onChange: onChange, onReset: onReset}
	r.st.OnEvent = onChange
	return r
}

// Lock locks the replica and returns its state; Unlock ends that.
func (r *Replica) Lock() *state.State { r.mu.Lock(); return r.st }

// Unlock ends what Lock began.
func (r *Replica) Unlock() { r.mu.Unlock() }

// View runs do on the state. Example:
//
//	r.View(func(s *state.State) { n = len(s.Jobs) })
func (r *Replica) View(do func(s *state.State)) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	do(r.st)
}

// Index is the log index the replica is at.
func (r *Replica) Index() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.st.Index
}

// HasPulled reports whether the replica ever heard from a cplane since the start.
func (r *Replica) HasPulled() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.pulled
}

// WaitForIndex waits until the replica is at index or past it; errs.Unavailable when ctx ends before.
func (r *Replica) WaitForIndex(ctx context.Context, index uint64) error {
	for {
		r.mu.RLock()
		at, moved := r.st.Index, r.indexChanged
		r.mu.RUnlock()
		if at >= index {
			return nil
		}
		select {
		case <-moved:
		case <-ctx.Done():
			return errs.Wrap(ctx.Err(), errs.Unavailable, "the replica is at %d, not yet at %d", at, index)
		}
	}
}

// Pull asks once for what the replica lacks and applies it; wait is how long the cplane may wait for changes.
func (r *Replica) Pull(ctx context.Context, core Source, node string, wait time.Duration) error {
	from := r.Index()
	a, err := core.Follow(ctx, internalapi.FollowCall{Node: node, Vector: map[string]uint64{StoreSource: from}, Wait: wait, Max: 4 << 20})
	if err != nil {
		return errs.Pass(err, "follow from %d", from)
	}
	missing := a.Updates[StoreSource]
	if missing.Snapshot != nil {
		if err := r.fetchSnapshot(ctx, core, *missing.Snapshot); err != nil {
			return errs.Pass(err, "snapshot at %d", missing.Snapshot.Index)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pulled = true
	return errs.Pass(r.applyChanges(missing.Changes), "changes after %d", from)
}

// applyChanges applies changes in order. A version never goes back: what is at or below the index is passed over.
func (r *Replica) applyChanges(changes []raft.Entry) error {
	before := r.st.Index
	for _, e := range changes {
		if e.Index <= r.st.Index {
			continue
		}
		if e.Index != r.st.Index+1 {
			return errs.New(errs.Stale, "changes skip from %d to %d", r.st.Index, e.Index)
		}
		data := e.Data
		if e.Kind != raft.Normal {
			data = nil
		}
		_, _ = command.Apply(r.st, e.Index, e.Term, data) // a refusal is the command's outcome, the same on every node
		r.Bytes += uint64(len(data))
		r.Changes++
	}
	if r.st.Index != before {
		close(r.indexChanged)
		r.indexChanged = make(chan struct{})
	}
	return nil
}

// fetchSnapshot takes a snapshot in chunks. A chunk that is lost is requested again alone.
func (r *Replica) fetchSnapshot(ctx context.Context, core Source, snap internalapi.Snapshot) error {
	body := make([]byte, 0, snap.Size)
	failures := 0
	for int64(len(body)) < snap.Size {
		c, err := core.Chunk(ctx, internalapi.ChunkCall{Number: snap.Number, From: int64(len(body)), Max: 1 << 20})
		if err == nil && (c.Number != snap.Number || len(c.Data) == 0) {
			return errs.New(errs.Stale, "snapshot %d is gone", snap.Number)
		}
		if err != nil {
			if failures++; failures > 5 || ctx.Err() != nil || errs.Is(err, errs.Unknown) {
				return errs.Pass(err, "chunk at %d", len(body))
			}
			continue
		}
		body = append(body, c.Data...)
		if int64(len(body)) == snap.Size && xxhash.Sum64(body) != c.Sum {
			return errs.New(errs.Damaged, "snapshot %d fails its check", snap.Number)
		}
	}
	st, err := state.Decode(body)
	if err != nil {
		return errs.Pass(err, "snapshot %d", snap.Number)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if st.Index <= r.st.Index {
		return errs.New(errs.Stale, "snapshot at %d is behind the replica at %d", st.Index, r.st.Index)
	}
	r.st.OnEvent = nil
	r.st = st
	st.OnEvent = r.onChange
	r.Snapshots++
	r.Bytes += uint64(len(body))
	if r.onReset != nil {
		r.onReset(st)
	}
	close(r.indexChanged)
	r.indexChanged = make(chan struct{})
	return nil
}

// Run pulls until ctx ends. After a failure it backs off for a while.
func (r *Replica) Run(ctx context.Context, core Source, clock clock.Clock, node string, onError func(error)) {
	for ctx.Err() == nil {
		if err := r.Pull(ctx, core, node, time.Second); err != nil {
			if ctx.Err() != nil {
				return
			}
			onError(err)
			woken := make(chan struct{})
			timer := clock.Set(100*time.Millisecond, func() { close(woken) })
			select {
			case <-woken:
			case <-ctx.Done():
				timer.Stop()
			}
		}
	}
}
