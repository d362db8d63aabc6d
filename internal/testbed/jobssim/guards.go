package jobssim

import (
	"cmp"
	"slices"

	"crosstide/internal/controller/scheduler"
	"crosstide/internal/jobs"
)

// Guard is a safety measure that can be removed from a run, to verify that the invariant checker detects its absence.
type Guard string

// The guards that can be removed.
const (
	NoAttemptBound     Guard = "no attempt bound" // failed runs are not counted
	NoCapacityCheck    Guard = "no room check"    // workers are assigned work for twice their capacity
	NoJobDeduplication Guard = "no identity"      // a resubmitted job is accepted as another job

	UnconfirmedIsDead          Guard = "doubt is dead"         // a start without an answer counts as never sent
	UnconfirmedReservesNothing Guard = "doubt takes no room"   // the capacity of an unconfirmed run is assigned again
	NoDrainMark                Guard = "no drain mark"         // a drain is acknowledged but not recorded
	NoLeaveMark                Guard = "no leave mark"         // a departure is acknowledged but not recorded
	StaleHeartbeatsCount       Guard = "late heartbeats count" // an older heartbeat replaces the report of a newer one

	EarlyAcknowledgement Guard = "early acknowledgement" // ends are acknowledged before their commit
	StartBeforeCommit    Guard = "start before commit"   // starts are sent before they are committed
	EarlyAnswers         Guard = "early answers"         // clients and operators are answered before the commit

	NoLeaseCheck     Guard = "no lease check"     // a leader sends orders after its lease has expired
	NoFencingWait    Guard = "no fencing wait"    // a new leader ends all runs of earlier terms as lost
	OldLeadersAnswer Guard = "old leaders answer" // a leader answers from its table after its lease has expired

	NoBaseCheck           Guard = "no base check"      // a change is accepted even if its base version is not in force
	NoChangeDeduplication Guard = "no order memory"    // a repeated change is not recognized
	NoConfigCheck         Guard = "no config check"    // an invalid configuration is repaired and accepted
	NoEvacuationMark      Guard = "no evacuation mark" // an evacuation is acknowledged but not recorded

	UnsentStopsCount Guard = "unsent stops count" // a stop without a connection counts as answered

	NoBackfill Guard = "no backfill" // capacity that is set aside stays idle, however long other jobs wait
)

// Guards returns all guards that can be removed.
func Guards() []Guard {
	return []Guard{NoAttemptBound, NoCapacityCheck, NoJobDeduplication, NoBackfill,
		UnconfirmedIsDead, UnconfirmedReservesNothing, NoDrainMark, NoLeaveMark, StaleHeartbeatsCount,
		EarlyAcknowledgement, StartBeforeCommit, EarlyAnswers,
		NoLeaseCheck, NoFencingWait, OldLeadersAnswer,
		NoBaseCheck, NoChangeDeduplication, NoConfigCheck, NoEvacuationMark, UnsentStopsCount}
}

// startOutcome returns the error passed to the scheduler for a start without an answer.
func (n *node) startOutcome(term uint64, start scheduler.StartAction) scheduler.StartOutcome {
	switch n.sim.options.WithoutGuard {
	case UnconfirmedIsDead:
		return scheduler.StartUnsent
	case UnconfirmedReservesNothing:
		n.widenCapacity(term, start)
	}
	return scheduler.StartUnconfirmed
}

// proposeAndAnswer proposes a change from a client or an operator and answers with the outcome.
func (n *node) proposeAndAnswer(term uint64, change any, done func(any, error)) {
	if n.sim.options.WithoutGuard == EarlyAnswers && n.sim.log.leader == n {
		answered := done
		answered(nil, nil)
		done = func(any, error) {}
	}
	n.sim.log.propose(n, term, change, done)
}

// widenCapacity adds the needs of a run to the recorded capacity of its worker.
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

// startBeforeCommit sends the starts of a Progress before it is committed.
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

// forgetHandles proposes to end all runs of earlier terms as lost, without waiting until their leases have expired.
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
