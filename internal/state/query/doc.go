// Package query reads the replicated state for clients and operators: views of jobs, workers, accounts, revisions of
// the bundle and zones, whose JSON is the answer of the APIs. It serves the policy deployment, but for the accounts,
// which both deployments share; package jobs has queries of its own.
//
// A query changes nothing and keeps nothing of the state in its answer that a later entry could change. Its caller
// keeps the state from changing meanwhile, as View and Read of the store do.
package query
