// Package controller serves the clients, workers and operators of the jobs deployment from the control-plane nodes.
//
// On every control-plane node a [Leader] runs, a [Client] finds the leader, and a [Relay] answers calls: by the node's
// own Leader while it leads the replicated store, else by the leader's. Data-plane nodes have a Client alone.
//
// The Leader is the runtime of [crosstide/internal/controller/scheduler.Core], which decides and does no I/O. Its loop
// is, for as long as the node leads with its lease in force:
//
//   - wait until an answer or a heartbeat comes in, the job table changes, or the time that the last pass named;
//   - pass all of it to the scheduler's Core, under the store's lock, and ask it for its actions;
//   - carry the actions out, each on its own goroutine: commit progress, send starts and stops to workers, renew
//     their leases. Each action's outcome comes back as an event of a later pass.
//
// Before each order the node's lease is checked again, and each order has a fencing token that rises with the term: a
// node that lost the lead unnoticed is refused by the workers.
//
// The package never decides where a run goes, and keeps nothing that a new leader would miss: what must survive is
// committed to the store before it is acknowledged.
//
// Begin with leader.go (the loop), then orders.go (actions), heartbeat.go, commands.go and queries.go (calls), and
// client_call.go (retries on the caller's side).
package controller
