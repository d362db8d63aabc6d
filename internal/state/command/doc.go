// Package command implements every change of the replicated state. Each command is a type whose JSON is stored in the
// log under its op, with a method that applies it. The ops and the JSON of the commands are stored data and never
// change.
//
// A leader encodes a command with the store time (Encode); every node applies the entries of the log in order (Apply)
// and so gets the same state, the same answers and the same errors. A command therefore reads only the state and its
// own content: no clock, no random numbers, no settings. It checks its preconditions when it is applied. If it was
// decided on an older state, it is rejected, or its outdated parts are skipped; no part is applied incompletely. The
// method check changes nothing; change applies a change that was checked and returns the answer.
//
// The files named policy_* belong to the policy deployment, those named jobs_* to the jobs deployment, whose changes
// and checks are in package jobs; members, operators, orders and accounts serve both.
//
// Entry points: Command and Apply (entry.go), then Plan (policy_plan.go), which carries the scheduler's decisions.
package command
