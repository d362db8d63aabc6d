// Package internalapi defines the calls between crosstide's processes. Each is an rpc.Endpoint with the path and the
// types of call and answer. The package has no behaviour: a server registers a handler with rpc.Handle, a client makes
// the call with rpc.Call.
//
// controlplane.go has the calls to the replicated store, join.go those by which its nodes find and join each other,
// lease.go the calls between the scheduler of the policy deployment and its workers, membership.go, rollout.go and
// account.go the rest.
//
// The JSON names are the wire format and differ from newer field names. They never change, because several versions of
// crosstide run side by side while a cluster is upgraded.
package internalapi
