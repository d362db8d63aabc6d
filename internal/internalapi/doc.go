// Package internalapi holds the calls between crosstide's processes: for each its path, the type of the call and the
// type of the answer, as a rpc.Endpoint. It never has behaviour: the server of a call
// mounts it with rpc.Handle, a client makes it with rpc.Call.
//
// controlplane.go has the calls to the replicated store, join.go those by which its nodes find and join each other,
// lease.go the calls between the scheduler of the policy deployment and its workers, membership.go, rollout.go and
// account.go the rest.
//
// The JSON names are the wire format and older than the names of the fields: versions of crosstide run side by side
// while a cluster is upgraded, so they never change.
package internalapi
