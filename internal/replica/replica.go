// Package replica keeps a replica of the control store's state on a node without a disk: it pulls what the node lacks
// by a vector of versions, with one entry for each source, and takes a snapshot first where the changes are compacted.
//
// A replica only follows: it proposes nothing, stores nothing and decides nothing. What it shows is a state that the
// store had at its index, at most behind. The owner makes it with New, starts Run on a goroutine, and reads it by View,
// or by Lock where it needs the state for longer. A caller that must see its own write waits with WaitForIndex.
//
// pull.go has the pulling; this file the replica as its readers see it.
package replica

import (
	"context"
	"sync"

	"crosstide/internal/errs"
	"crosstide/internal/state"
)

// Replica is the followed state under its lock. Only Pull changes the state.
type Replica struct {
	onChange func(state.Event)  // see New
	onReset  func(*state.State) // see New; nil: none

	mu           sync.RWMutex  // guards the fields below
	state        *state.State  // at index state.Index, which never decreases
	indexChanged chan struct{} // closed and made anew at every change of the index
	hasPulled    bool

	// Counters since the start.
	Bytes, Changes, Snapshots uint64
}

// New makes a replica at version 0. onChange is called with each change and onReset with the new state after a
// snapshot; both run under the replica's lock.
func New(onChange func(state.Event), onReset func(*state.State)) *Replica {
	r := &Replica{state: state.New(), indexChanged: make(chan struct{}), onChange: onChange, onReset: onReset}
	r.state.OnEvent = onChange
	return r
}

// Lock locks the replica and returns its state, which is valid until Unlock.
func (r *Replica) Lock() *state.State { r.mu.Lock(); return r.state }

// Unlock ends what Lock began.
func (r *Replica) Unlock() { r.mu.Unlock() }

// View runs do on the state, under a lock that readers share: do changes nothing. Example:
//
//	r.View(func(s *state.State) { n = len(s.Jobs) })
func (r *Replica) View(do func(s *state.State)) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	do(r.state)
}

// Index is the log index the replica is at.
func (r *Replica) Index() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.state.Index
}

// HasPulled reports whether a pull has succeeded since the start.
func (r *Replica) HasPulled() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.hasPulled
}

// WaitForIndex waits until the replica is at index or past it; errs.Unavailable when ctx ends before.
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
			return errs.Wrap(ctx.Err(), errs.Unavailable, "the replica is at %d, not yet at %d", at, index)
		}
	}
}

// signalIndex wakes those that wait for an index. The caller holds mu.
func (r *Replica) signalIndex() {
	close(r.indexChanged)
	r.indexChanged = make(chan struct{})
}
