package store

import (
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/raft"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

// Limits of one pass. A restarted node may have thousands of entries to apply, and a leader that applied all of them in
// one pass would send no heartbeats until it was done.
const (
	maxApplyEntries = 64
	maxApplyBytes   = 256 << 10
	// catchUpPause is the pause between passes while entries are left to apply: on a machine with one processor, passes
	// without a pause would starve the goroutines that handle messages.
	catchUpPause = time.Millisecond
)

// apply queues committed entries, applies one batch of them to the live state, and finishes the batch's proposals. s.mu
// must be held.
func (s *Store) apply(entries []raft.Entry) {
	s.unapplied = append(s.unapplied, entries...)
	batch := s.takeApplyBatch()
	if len(batch) == 0 {
		return
	}
	for _, e := range batch {
		answer, err := applyTo(s.live, e)
		s.snapshots.unsnapshottedBytes += len(e.Data) + entryOverhead
		s.proposals.onApplied(e, answer, err)
	}
	s.snapshots.committed = append(s.snapshots.committed, batch...)
	signal(s.snapshots.wake)
	s.onLiveChange()
}

// takeApplyBatch removes the entries that this pass applies from s.unapplied and returns them. It requests another pass
// if any are left. A store with a manual driver applies all entries in one batch. s.mu must be held.
func (s *Store) takeApplyBatch() []raft.Entry {
	n, bytes := 0, 0
	for n < len(s.unapplied) && (s.manual != nil || n < maxApplyEntries && bytes < maxApplyBytes) {
		bytes += len(s.unapplied[n].Data)
		n++
	}
	batch := s.unapplied[:n:n]
	if s.unapplied = s.unapplied[n:]; len(s.unapplied) > 0 {
		signal(s.wakeLoop)
	} else {
		s.unapplied = nil
	}
	return batch
}

// isCatchingUp reports whether committed entries are left to apply.
func (s *Store) isCatchingUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.unapplied) > 0
}

// applyTo applies one entry to a state. Member changes, and the empty entry that begins a leader's term, only advance
// the state's index. The error is the command's outcome, which is the same on every node.
func applyTo(to *state.State, e raft.Entry) (any, error) {
	data := e.Data
	if e.Kind != raft.Normal {
		data = nil
	}
	answer, err := command.Apply(to, e.Index, e.Term, data)
	return answer, errs.Pass(err, "entry %d", e.Index)
}

// replaceState makes next the live state. s.mu must be held.
func (s *Store) replaceState(next *state.State) {
	s.live = next
	s.live.OnEvent = func(e state.Event) {
		if e.Kind == state.EventRoleChanged {
			s.leadership.leases.ObserveEpoch(s.clock.Now(), e.Name, s.live.Roles[e.Name].Epoch)
		}
	}
	s.onLiveChange()
}

// onLiveChange records the live state's bundle version and wakes all goroutines that wait for a change. s.mu must be
// held.
func (s *Store) onLiveChange() {
	s.rollout.observeOwn(s.settings.Name, s.live.Bundle.Version, s.clock)
	close(s.changed)
	s.changed = make(chan struct{})
}
