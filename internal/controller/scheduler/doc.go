// Package scheduler decides which task of the jobs deployment runs on which worker, and proves which runs are dead. It
// runs beside the leader of the replicated store, under the leader's term.
//
// Core is a step function: it has no clock, socket or goroutine, draws no random numbers and never changes the job
// table. It proposes changes (jobs.Progress) that its owner commits. The owner drives it from one goroutine:
//
//	core.BecomeLeader(now, term, table) // once the commits of all earlier terms are applied to table
//	for {
//		// Each input in the order in which it came: TableChanged, Heartbeat, StartAnswered, StopAnswered,
//		// RenewalAnswered, Committed.
//		actions := core.Pass(now, wall)
//		// Commit actions.Progress under the term. Send actions.Starts, Stops and Renewals, each only while the
//		// leader's own lease is in force. Wait for the next input, until actions.Next at the latest.
//	}
//
// A run goes through these steps:
//
//  1. A pass selects a worker for a due task (queue.go, place.go, feasible.go, rank.go; preempt.go and reserve.go where
//     no worker has free capacity) and proposes the run handle (commit.go).
//  2. After the commit the start order leaves (start.go), with the term as fencing token.
//  3. Lease renewals keep the run alive and bring the worker's lists of running and ended runs (renewal.go), which are
//     reconciled with the handles of the table (reconcile.go).
//  4. The end goes into the next proposal; only after its commit is it acknowledged to the worker (ack.go).
//
// Four invariants keep a task from having two runs at a time:
//
//   - No start order leaves before its handle is committed.
//   - Every call carries the term as fencing token; a worker that saw a newer one rejects it.
//   - A run that its worker has not reported as ended is ended as lost only with proof: its order never left or was
//     refused, its worker doesn't list it and can't start it later (run.isProvedDead), every lease that its worker may
//     hold has expired (worker.leaseExpired), or another incarnation answers in the worker's place.
//   - A start without an answer is unconfirmed, not lost: its order may be carried out late.
//
// A new leader knows of the runs of earlier terms only that their handles are in the table. Each of them is unconfirmed
// until the first renewal that its worker answers under the new term lists it, or does not.
//
// Short names mean the same everywhere: w is a *worker, r a *run, n a *node, u a *unit, j a *jobs.Job of the table, and
// rec the record of a worker or job.
//
// Begin to read at Core.Pass.
package scheduler
