// Package scheduler assigns the tasks of the jobs deployment to workers, and proves which runs are dead. It runs on the
// leader of the replicated store, under the leader's term.
//
// Core is a step function: it has no clock, socket or goroutine, uses no random numbers and never changes the job
// table. It proposes changes (jobs.Progress) that its owner commits. The owner drives it from one goroutine:
//
//	core.BecomeLeader(now, term, table) // once the commits of all earlier terms are applied to table
//	for {
//		// Report each input in the order of arrival: TableChanged, Heartbeat, StartAnswered, StopAnswered,
//		// RenewalAnswered, Committed.
//		actions := core.Pass(now, wall)
//		// Commit actions.Progress under the term. Send actions.Starts, Stops and Renewals, each only while the
//		// leader's own lease is in force. Wait for the next input, until actions.Next at the latest.
//	}
//
// A run goes through these steps:
//
//  1. A pass selects a worker for a due task (queue.go, place.go, feasible.go, rank.go; preempt.go and reserve.go if no
//     worker has free capacity) and proposes the run handle (commit.go).
//  2. After the commit the start order is sent (start.go), with the term as fencing token.
//  3. Lease renewals keep the run alive. Their answers list the worker's running and ended runs (renewal.go), which are
//     reconciled with the handles in the table (reconcile.go).
//  4. The end is part of the next proposal and is acknowledged to the worker only after the commit (ack.go).
//
// Four invariants keep a task from having two runs at a time:
//
//   - No start order is sent before its handle is committed.
//   - Every call carries the term as fencing token; a worker rejects it after one with a higher token.
//   - A run that its worker has not reported as ended is ended as lost only with proof: its order was never sent or was
//     refused, its worker doesn't list it and can't start it later (run.isProvedDead), every lease that its worker may
//     hold has expired (worker.leaseExpired), or another incarnation answers in the worker's place.
//   - A start without an answer is unconfirmed, not lost: the worker may carry out the order late.
//
// For a new leader the only trace of the runs of earlier terms is their handles in the table. Each such run is
// unconfirmed until its worker answers a renewal under the new term, whose lists have the run or don't.
//
// Variable names are uniform in the package: w is a *worker, r a *run, n a *node, u a *unit, j a *jobs.Job of the
// table, and rec the record of a worker or job. Entry point: Core.Pass.
package scheduler
