// Package query reads the replicated state for clients and operators: views of jobs, workers, accounts, revisions of
// the bundle and zones, whose JSON is the answer of the APIs. It serves the policy deployment, except for the accounts,
// which both deployments share; package jobs has its own queries.
//
// A query does not change the state, and its answer shares no memory with the state that a later entry could change.
// The caller must prevent changes to the state during the query, as View and Read of the store do. Each file has the
// queries for the records in its name.
package query
