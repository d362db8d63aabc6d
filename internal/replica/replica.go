// Package replica keeps a replica of the control store's state on a node without a disk. It pulls the missing changes,
// and first a snapshot if the source has compacted them.
//
// A replica is a read-only follower: it proposes nothing, stores nothing on disk and decides nothing. Its state always
// equals that of the store at the same index, but may lag behind. The owner calls New, runs Run on a goroutine, and
// reads with View, or with Lock if it needs the state for longer. A caller that must see its own write calls
// WaitForIndex first.
//
// Entry point: Replica; pull.go implements the pulling.
package replica

import (
	"context"
	"sync"

	"crosstide/internal/errs"
	"crosstide/internal/state"
)

// Replica holds the state of the store at some index. Only Pull changes it. It is safe for concurrent use.
type Replica struct {
	onChange func(state.Event)  // see New
	onReset  func(*state.State) // see New; nil: none

	mu           sync.RWMutex  // guards the fields below
	state        *state.State  // at index state.Index, which never decreases
	indexChanged chan struct{} // closed and replaced at every change of the index
	hasPulled    bool          // a pull has succeeded

	// Totals of the pulls since New; Bytes counts changes and snapshots.
	Bytes, Changes, Snapshots uint64
}

// New returns a replica of the empty state, at index 0. onChange (nil: none) is called with each change, onReset (nil:
// none) with the new state after a snapshot; both run under the replica's lock and must not call the replica.
func New(onChange func(state.Event), onReset func(*state.State)) *Replica {
	r := &Replica{state: state.New(), indexChanged: make(chan struct{}), onChange: onChange, onReset: onReset}
	r.state.OnEvent = onChange
	return r
}

// Lock locks the replica and returns its state, which is valid until Unlock and must not be changed.
func (r *Replica) Lock() *state.State { r.mu.Lock(); return r.state }

// Unlock releases the lock that Lock acquired.
func (r *Replica) Unlock() { r.mu.Unlock() }

// View calls do with the state under the read lock. do must not change or keep the state. Example:
//
//	r.View(func(s *state.State) { n = len(s.Jobs) })
func (r *Replica) View(do func(s *state.State)) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	do(r.state)
}

// Index returns the index of the newest log entry that the state includes.
func (r *Replica) Index() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.state.Index
}

// HasPulled reports whether a pull has succeeded since New.
func (r *Replica) HasPulled() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.hasPulled
}

// WaitForIndex waits until the state includes the log entry at index. Failure: Unavailable if ctx ends first.
func (r *Replica) WaitForIndex(ctx context.Context, index uint64) error {
	for {
		r.mu.RLock()
		at, changed := r.state.Index, r.indexChanged
		r.mu.RUnlock()
		if at >= index {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errs.Wrap(ctx.Err(), errs.Unavailable, "the replica is at index %d, not yet at %d", at, index)
		}
	}
}

// signalIndex wakes all calls of WaitForIndex to check the index again. The caller must hold mu.
func (r *Replica) signalIndex() {
	close(r.indexChanged)
	r.indexChanged = make(chan struct{})
}
