// Package query reads the replicated state for clients and operators: views of jobs, workers, accounts, revisions of
// the bundle and zones, whose JSON is the answer of the APIs. It serves the policy deployment, but for the accounts,
// which both deployments share; package jobs has queries of its own.
//
// A query changes nothing, and its answer shares nothing with the state that a later entry could change. Its caller
// prevents changes to the state meanwhile, as View and Read of the store do. Each file has the queries of its name.
package query
