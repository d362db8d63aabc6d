// Package state is the replicated state of the control store: one State holds everything that a snapshot stores.
//
// Both deployments keep their records here, and each uses only its own:
//
//   - The policy deployment: jobs, tasks and run handles (job.go, task.go, handle.go), workers (worker.go), roles
//     (role.go), the operators' bundle with its revisions and placement policies (bundle.go, revision.go,
//     placement.go), tombstones and answered orders (tombstone.go, order.go). Their indexes are in indexes.go, the
//     transitions of jobs and tasks in transition.go, the fees for starts in payment.go.
//   - The jobs deployment: State.JobTable, of package jobs. Its scheduling reads nothing else of State.
//
// Both share the prepaid accounts, State.Accounts of package account.
//
// State is changed only by package command, in the order of the log, and is the same on every node that applied the
// same entries; package query reads it. The package therefore reads no clock (State.At is the store time) and uses no
// random numbers, and it sorts the keys of a map wherever their order could affect a record, an event or an answer.
//
// State has no lock. Its owner serializes all access: package store on a control-plane node, which holds a second State
// for writing snapshots, and package replica on a data-plane node.
//
// Records are stored under the JSON names of their tags; those names and the strings of the phases are part of the
// stored data and never change. Unexported fields are indexes: Decode rebuilds them, Encode leaves them out.
//
// Entry point: State (state.go), then TaskPhase and its transitions (task.go, transition.go).
package state
