package store

import (
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/raft"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

// What one pass applies at most: a node that comes back has a thousand entries to apply, and a leader that applied them
// all at once would send no heartbeat meanwhile.
const (
	applyEntries = 64
	applyBytes   = 256 << 10
	// applyPause is left to everything else between two such passes: on one processor, messages would wait for all of
	// them.
	applyPause = time.Millisecond
)

// apply applies committed entries to the live state, as many as one pass may, and wakes who waits for them. Called
// under the lock.
func (s *Store) apply(entries []raft.Entry) {
	s.unapplied = append(s.unapplied, entries...)
	batch := s.nextApplied()
	if len(batch) == 0 {
		return
	}
	for _, e := range batch {
		answer, err := applyTo(s.live, e)
		s.snapshots.unsnapshottedBytes += len(e.Data) + entryOverhead
		s.proposals.applied(e, answer, err)
	}
	s.snapshots.committed = append(s.snapshots.committed, batch...)
	signal(s.snapshots.wake)
	s.onLiveChange()
}

// nextApplied takes the committed entries that this pass applies. A store with a manual driver applies all.
func (s *Store) nextApplied() []raft.Entry {
	n, bytes := 0, 0
	for n < len(s.unapplied) && (s.manual != nil || n < applyEntries && bytes < applyBytes) {
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

// isCatchingUp tells whether committed entries wait to be applied.
func (s *Store) isCatchingUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.unapplied) > 0
}

// applyTo applies one entry; members and the first entry of a leader move the index only.
func applyTo(to *state.State, e raft.Entry) (any, error) {
	data := e.Data
	if e.Kind != raft.Normal {
		data = nil
	}
	answer, err := command.Apply(to, e.Index, e.Term, data)
	return answer, errs.Pass(err, "entry %d", e.Index)
}

// replaceState makes next the live state. Called under the lock.
func (s *Store) replaceState(next *state.State) {
	s.live = next
	s.live.OnEvent = func(e state.Event) {
		if e.Kind == state.EventRoleChanged {
			s.leadership.leases.ObserveEpoch(s.clock.Now(), e.Name, s.live.Roles[e.Name].Epoch)
		}
	}
	s.onLiveChange()
}

// onLiveChange wakes all that wait for the live state to move on. Called under the lock.
func (s *Store) onLiveChange() {
	s.rollout.observeOwn(s.settings.Name, s.live.Bundle.Version, s.clock)
	close(s.changed)
	s.changed = make(chan struct{})
}
