// Package jobs is the replicated table of the jobs deployment: jobs with their tasks and run handles, workers, the
// operators' configuration, evacuated zones, and the parties that pay. The policy deployment does not use it; its
// records are in package state, of which Table is a part.
//
// Table changes only by its methods named for a change (Submit, Cancel, Configure, Evacuate, Register, Progress,
// SetParties, Purge). Package command calls them in the order of the log, so the table is the same on every node that
// applied the same entries. It reads no clock and draws no random numbers: every change carries its time. It decides
// nothing either: package controller/scheduler decides on the leader what starts and when a run is dead, and hands the
// decisions in as Progress, whose starts are checked again here against the newest records.
//
// Table has no lock; the owner of the state.State that it is part of serializes all access. Readers use its exported
// fields and query methods, and change nothing. Records and changes are stored under the JSON names of their tags,
// which never change.
//
// The records are declared in jobs.go, the changes in changes.go; the methods that make a change are in the file of its
// name. Begin with Table (table.go) and Table.Progress (progress.go).
package jobs
