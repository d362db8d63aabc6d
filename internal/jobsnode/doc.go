// Package jobsnode builds the two kinds of nodes of the jobs deployment, from typed options.
//
// A core node ([Core]) is a member of the replicated store. Each has a controller.Leader, which schedules while the
// node leads, and serves other nodes at one address, workers and operators at another. A front node ([Front]) has no
// state: it takes clients' calls and forwards them to the core's leader.
//
// The package wires and orders start and stop; it decides nothing, and knows no form of any call: what is said to
// clients, workers and operators is added by the caller, as functions in the options. A node is made by its
// constructor, which opens what can fail, and driven by Run, which returns after a graceful stop.
//
// Begin with NewCore and Core.stop, then NewFront and Front.stop.
package jobsnode
