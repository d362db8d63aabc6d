package jobssim

import (
	"cmp"
	"slices"

	"crosstide/internal/controller/scheduler"
	"crosstide/internal/jobs"
)

// Guard is a safety measure that a run can be without, to show that the invariant checker detects its absence.
type Guard string

// The guards that can be removed.
const (
	NoAttemptBound  Guard = "no attempt bound" // runs that failed are not counted
	NoCapacityCheck Guard = "no room check"    // workers are assigned twice their capacity
	NoIdentity      Guard = "no identity"      // a job that is submitted again is another job

	UnconfirmedIsDead          Guard = "doubt is dead"         // a start without an answer counts as never sent
	UnconfirmedReservesNothing Guard = "doubt takes no room"   // the capacity of an unconfirmed run is assigned again
	NoDrainMark                Guard = "no drain mark"         // that a worker drains is acknowledged and not recorded
	NoLeaveMark                Guard = "no leave mark"         // that a worker ends is acknowledged and not recorded
	StaleHeartbeatsCount       Guard = "late heartbeats count" // a heartbeat replaces what a newer one reported

	EarlyAcknowledgement Guard = "early acknowledgement" // ends are acknowledged before their commit
	StartBeforeCommit    Guard = "start before commit"   // starts are sent before their handles are committed
	EarlyAnswers         Guard = "early answers"         // clients and operators are answered before the commit

	NoLeaseCheck     Guard = "no lease check"     // a leader acts after its lease has expired
	NoFencingWait    Guard = "no fencing wait"    // a new leader treats all runs of earlier terms as dead
	OldLeadersAnswer Guard = "old leaders answer" // a leader answers for its table after its lease

	NoBaseCheck      Guard = "no base check"      // a change is accepted whatever version is in force
	NoOrderMemory    Guard = "no order memory"    // accepted orders are not remembered
	NoConfigCheck    Guard = "no config check"    // an invalid configuration is repaired and accepted
	NoEvacuationMark Guard = "no evacuation mark" // an evacuation is acknowledged and not recorded

	UnsentStopsCount Guard = "unsent stops count" // a stop that found no connection counts as answered
)

// Guards returns all guards that can be removed.
func Guards() []Guard {
	return []Guard{NoAttemptBound, NoCapacityCheck, NoIdentity,
		UnconfirmedIsDead, UnconfirmedReservesNothing, NoDrainMark, NoLeaveMark, StaleHeartbeatsCount,
		EarlyAcknowledgement, StartBeforeCommit, EarlyAnswers,
		NoLeaseCheck, NoFencingWait, OldLeadersAnswer,
		NoBaseCheck, NoOrderMemory, NoConfigCheck, NoEvacuationMark, UnsentStopsCount}
}

// startOutcome returns what the scheduler learns of a start without an answer.
func (n *node) startOutcome(term uint64, start scheduler.StartAction) scheduler.StartError {
	switch n.sim.options.WithoutGuard {
	case UnconfirmedIsDead:
		return scheduler.StartUnsent
	case UnconfirmedReservesNothing:
		n.widenCapacity(term, start)
	}
	return scheduler.StartUnknown
}

// answer commits a change of a client or an operator and answers with the outcome.
func (n *node) answer(term uint64, change any, done func(any, error)) {
	if n.sim.options.WithoutGuard == EarlyAnswers && n.sim.log.leader == n {
		answered := done
		answered(nil, nil)
		done = func(any, error) {}
	}
	n.sim.log.propose(n, term, change, done)
}

// widenCapacity records a worker with the needs of a run on top of its capacity.
func (n *node) widenCapacity(term uint64, start scheduler.StartAction) {
	known, j := n.table.Workers[start.Worker.ID], n.table.Jobs[start.Order.Key.Task.Job]
	if known == nil || j == nil || j.Rounds == nil {
		return
	}
	worker := *known
	needs := j.Spec.Steps[start.Order.Key.Task.Step].Needs
	worker.Capacity = plus(worker.Capacity, needs)
	n.sim.log.propose(n, term, jobs.Register{Workers: []jobs.Worker{worker}}, func(any, error) {})
}

// startBeforeCommit sends the starts of a Progress that is not committed.
func (n *node) startBeforeCommit(term uint64, progress *jobs.Progress) {
	for _, s := range progress.Starts {
		worker, j := n.table.Workers[s.Worker], n.table.Jobs[s.Task.Job]
		if worker == nil || j == nil || j.Rounds == nil {
			continue
		}
		host := n.sim.hostAt(worker.Address)
		if host == nil || host.current == nil {
			continue
		}
		n.start(term, scheduler.StartAction{Worker: *worker, Order: scheduler.StartOrder{
			Key: jobs.RunKey{Task: s.Task, Number: s.Number}, Payload: j.Spec.Payload,
			LeaseDeadline: host.current.clock() + n.sim.schedulerConfig().Lease, Token: term,
			Checkpoint: j.Rounds[s.Task.Round][s.Task.Step][s.Task.Index].Checkpoint}})
	}
}

// forgetHandles commits the end of all handles of earlier terms, without proof.
func (n *node) forgetHandles(term uint64) {
	progress := jobs.Progress{Term: term, At: n.wall()}
	for id := range n.table.Workers {
		for _, key := range n.table.RunsOn(id) {
			progress.Ends = append(progress.Ends, jobs.End{Key: key, Worker: id, Reason: jobs.EndLost})
		}
	}
	slices.SortFunc(progress.Ends, func(a, b jobs.End) int {
		return cmp.Or(a.Key.Compare(b.Key), cmp.Compare(a.Worker, b.Worker))
	})
	n.sim.log.propose(n, term, progress, func(any, error) {})
}
