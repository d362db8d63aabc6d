// Package jobsnode builds the two kinds of nodes of the jobs deployment, from typed options.
//
// A control-plane node ([ControlPlaneNode]) is a member of the replicated store. Each has a controller.Leader, which
// schedules while the node leads, and serves other nodes at one address, workers and operators at another. A
// data-plane node ([DataPlaneNode]) has no state: it receives clients' calls and forwards them to the store's leader.
//
// The package connects the parts of a node and orders their start and stop. It makes no scheduling decisions and
// defines no wire format: functions in the options add the endpoints for clients, workers and operators. A constructor
// builds a node and, for a control-plane node, opens its store; Run serves and returns after a graceful shutdown.
//
// Entry points: NewControlPlaneNode and ControlPlaneNode.stop, then NewDataPlaneNode and DataPlaneNode.stop.
package jobsnode
