// Package command has every change of the replicated state. Each command is a type whose JSON is stored in the log
// under its op, with a method that applies it. The ops and the JSON of the commands are stored data and never change.
//
// A leader encodes a command with the store time (Encode); every node applies the entries of the log in their order
// (Apply), and so gets the same state, the same answers and the same errors. A command therefore reads nothing but the
// state and its own content: no clock, no random numbers, no settings. It checks all its preconditions in the step that
// makes the change, so a command that was decided on an older state is refused, or left out in part, and never half
// applied: check changes nothing; change makes a change that was checked, and returns the answer.
//
// The files named policy_* are of the policy deployment, those named jobs_* of the jobs deployment, whose changes and
// checks are in package jobs; members, operators, orders and accounts serve both.
//
// Begin with Command and Apply (entry.go), then Plan (policy_plan.go), which carries all that the scheduler decides.
package command
