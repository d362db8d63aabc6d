// Package jobsnode builds the two kinds of nodes of the jobs deployment, from typed options.
//
// A control-plane node ([ControlPlaneNode]) is a member of the replicated store. Each has a controller.Leader, which
// schedules while the node leads, and serves other nodes at one address, workers and operators at another. A
// data-plane node ([DataPlaneNode]) has no state: it receives clients' calls and forwards them to the store's leader.
//
// The package wires the parts of a node and orders their start and stop. It decides nothing and has no wire format:
// the caller adds the calls of clients, workers and operators by functions in the options. A constructor makes a node
// and, for a control-plane node, opens its store; Run drives the node and returns after a graceful shutdown.
//
// Begin with NewControlPlaneNode and ControlPlaneNode.stop, then NewDataPlaneNode and DataPlaneNode.stop.
package jobsnode
