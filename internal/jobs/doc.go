// Package jobs holds the replicated table of the jobs deployment: jobs with their tasks and run handles, workers, the
// operators' configuration, evacuated zones, and the parties that pay for runs. The policy deployment does not use it;
// its records are in package state, of which Table is a part.
//
// Table is changed only by the methods that apply a change (Submit, Cancel, Configure, UpgradeSchema, Evacuate,
// Register, Progress, SetParties, Purge). Package command calls them in the order of the log, so the table is the same
// on every node that applied the same entries. It reads no clock and draws no random numbers: every change carries its
// time. It makes no scheduling decisions: package controller/scheduler decides on the leader what starts and when a run
// is dead, and proposes the decisions as Progress. The table checks the starts again against the newest records.
//
// Table has no lock; the owner of the enclosing state.State serializes all access. Readers use the exported fields and
// the query methods, and must not modify anything. Records and changes are stored under the JSON names of their tags,
// which never change. Table.QueueOf alone says to which queue a job belongs after the configuration has changed.
//
// The records are declared in jobs.go, the changes in changes.go, both except for the parties (payment.go). Submit,
// Configure, Evacuate and Progress are in the files named after them, UpgradeSchema in schema.go, Cancel and Purge in
// lifecycle.go, Register in worker.go, and SetParties in payment.go. Entry points: Table (table.go) and Table.Progress
// (progress.go).
package jobs
