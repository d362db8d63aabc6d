package controller

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"crosstide/internal/controller/scheduler"
	"crosstide/internal/errs"
	"crosstide/internal/jobs"
	"crosstide/internal/state/command"
)

// Heartbeat handles a worker's heartbeat. Changes to the worker's record are committed, and the heartbeat is queued for
// the scheduler, before it is answered. A heartbeat older than the newest one handled was delayed or duplicated on the
// network: it is acknowledged without effect. A change reported by a worker that has gone to another node is
// not committed.
func (l *Leader) Heartbeat(ctx context.Context, call HeartbeatCall) (HeartbeatAnswer, error) {
	answer := HeartbeatAnswer{HeartbeatAddress: l.heartbeatAddress(call.Worker.ID)}
	worker := call.Worker
	changed := false
	term, err := l.readTable(func(table *jobs.Table) error {
		known := table.Workers[worker.ID]
		if call.Leaving {
			worker = leavingWorker(known, worker.ID)
		}
		changed = known == nil || !isUpToDate(known, &worker)
		return nil
	})
	if err != nil {
		return HeartbeatAnswer{}, errs.Pass(err, "heartbeat")
	}
	if !call.Leaving && !l.heartbeats.advance(worker.ID, call.Sequence) {
		return answer, nil
	}
	if changed {
		register := command.JobRegister{Register: jobs.Register{Workers: []jobs.Worker{worker}}}
		if _, err := l.proposeIn(ctx, term, &register); err != nil {
			return HeartbeatAnswer{}, errs.Pass(err, "heartbeat")
		}
	}
	if !call.Leaving {
		l.inbox.enqueueEvent(func(core *scheduler.Core, now time.Duration) {
			core.Heartbeat(now, worker.ID, call.Clock)
		})
	}
	if l.opt.Mailboxes != nil && call.Listing != nil {
		hasLease := func() bool { return l.hasLease(term) }
		answer.Orders = l.opt.Mailboxes.Exchange(ctx, worker.ID, call.Sequence, term, *call.Listing, hasLease)
	}
	return answer, nil
}

// heartbeatAddress returns the address to which the worker should send its heartbeats.
func (l *Leader) heartbeatAddress(worker string) string {
	if l.assigner == nil {
		return l.opt.ControlAddress
	}
	if node := l.assigner.nodeFor(l.clock.Now(), worker); node != "" {
		return l.opt.ControlAddressOf(node)
	}
	return l.opt.ControlAddress
}

// leavingWorker returns the record of a worker that has deregistered. An unknown worker is recorded too: its first
// heartbeat may have been lost with an earlier leader, or may arrive late, and must not register it as a worker that
// accepts starts.
func leavingWorker(known *jobs.Worker, id string) jobs.Worker {
	worker := jobs.Worker{ID: id}
	if known != nil {
		worker = *known
	}
	worker.Left = true
	return worker
}

// isUpToDate reports whether the known record already holds the reported state. Draining and Left are never reset.
func isUpToDate(known, reported *jobs.Worker) bool {
	return known.Address == reported.Address && known.Service == reported.Service && known.Zone == reported.Zone &&
		known.Rack == reported.Rack && known.Capacity == reported.Capacity &&
		slices.Equal(known.Labels, reported.Labels) &&
		(known.Draining || !reported.Draining) && (known.Left || !reported.Left)
}

// heartbeatSequences holds the sequence number of each worker's newest heartbeat, so that a late heartbeat does not
// overwrite newer state. It is not replicated: a new leader starts with an empty one.
type heartbeatSequences struct {
	mu       sync.Mutex
	byWorker map[string]uint64
}

func newHeartbeatSequences() *heartbeatSequences {
	return &heartbeatSequences{byWorker: map[string]uint64{}}
}

// advance records a worker's heartbeat and reports whether it is the newest one. A duplicate of the newest counts as
// newest.
func (s *heartbeatSequences) advance(worker string, sequence uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sequence < s.byWorker[worker] {
		return false
	}
	s.byWorker[worker] = sequence
	return true
}

func (s *heartbeatSequences) forget(worker string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byWorker, worker)
}

// forgetAll drops all workers for which isGone returns true.
func (s *heartbeatSequences) forgetAll(isGone func(id string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.byWorker, func(id string, _ uint64) bool { return isGone(id) })
}
