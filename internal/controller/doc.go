// Package controller serves the clients, workers and operators of the jobs deployment from the control-plane nodes.
//
// Every control-plane node runs a [Leader], a [Client] that finds the current leader, and a [Relay]. The Relay answers
// calls through the node's own Leader while the node leads the replicated store, and forwards them to the current
// leader otherwise. Data-plane nodes run only a Client.
//
// The Leader is the runtime of [crosstide/internal/controller/scheduler.Core], which makes the decisions and does no
// I/O. While the node leads and its lease is in force, the Leader's loop repeats these steps:
//
//   - wait for an answer, a heartbeat, a change of the job table, or the time that the previous pass requested;
//   - pass these inputs to the scheduler's Core under the store's lock, and collect the actions that it returns;
//   - execute each action on its own goroutine: commit progress, send starts and stops to workers, renew their
//     leases. The outcome of each action becomes an event of a later pass.
//
// The node checks its lease again before it sends an order. Each order carries a fencing token that rises with the
// term, so workers reject orders of a node that has lost leadership without noticing.
//
// The package does not decide where a run is placed and holds no state that a new leader needs: all such state is
// committed to the store before it is acknowledged.
//
// Entry point: leader.go (the loop), then orders.go (actions), heartbeat.go, commands.go and queries.go (calls),
// and client_call.go (retries on the caller's side).
package controller
