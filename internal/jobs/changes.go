package jobs

import (
	"encoding/json"
	"time"
)

// The rule for the declarations of this file is in jobs.go.

// Submit accepts a job. The same ID with the same digest is the same job.
type Submit struct {
	Spec   Spec      `json:"spec"`
	Digest string    `json:"digest"`
	At     time.Time `json:"at"`
}

// Cancel ends a job that is not terminal: none of its tasks starts any more.
type Cancel struct {
	ID string    `json:"id"`
	At time.Time `json:"at"`
}

// Configure changes the configuration on top of version Base. With Replace, Queues, Services and Limits are the whole
// new configuration; else they are added or replace those of the same name, after the removals.
type Configure struct {
	Base           uint64          `json:"base"`
	Version        uint64          `json:"version"` // of the new configuration; above Base
	Digest         string          `json:"digest"`  // of the order's own bytes and its base: tells a repeated order
	Replace        bool            `json:"replace,omitempty"`
	Queues         []Queue         `json:"queues,omitempty"`
	Services       []Service       `json:"services,omitempty"`
	Limits         json.RawMessage `json:"limits,omitempty"`
	RemoveQueues   []string        `json:"rq,omitempty"`
	RemoveServices []string        `json:"rs,omitempty"`
}

// Evacuate starts or withdraws the evacuation of a zone, in which no task is started until it is withdrawn.
type Evacuate struct {
	Zone  string `json:"zone"`
	Start bool   `json:"start"`
}

// Register records workers that are new or have changed.
type Register struct {
	Workers []Worker `json:"workers"`
}

// Progress has the decisions of the scheduler of a term and the reports of workers: ends first, then starts. It is
// refused if the leader of another term wrote it. A start whose preconditions no longer hold is left out, with the
// other members of its gang.
type Progress struct {
	Term   uint64    `json:"term"`
	At     time.Time `json:"at"`
	Ends   []End     `json:"ends,omitempty"`
	Starts []Start   `json:"starts,omitempty"`
	Forget []string  `json:"forget,omitempty"` // IDs of workers that are gone; only those without handles are deleted
}

// EndReason is the way in which a run ended or was proved dead. The strings are stored.
type EndReason string

// The reasons of an end. EndDone and EndFailed are outcomes of the task itself; after all others it is due again.
const (
	EndDone         EndReason = "done"
	EndFailed       EndReason = "failed"
	EndStopped      EndReason = "stopped" // as ordered
	EndLeaseExpired EndReason = "lapsed"
	EndGangBroken   EndReason = "broken" // another member of its gang ended
	EndGangTimeout  EndReason = "alone"  // it waited too long for the other members
	EndLost         EndReason = "lost"   // proved dead without an end: never started, or its worker is gone
)

// End records the end of a run.
type End struct {
	Key        RunKey    `json:"r"`
	Worker     string    `json:"w"`
	Reason     EndReason `json:"h"`
	Checkpoint string    `json:"k,omitempty"` // newest saved progress, if any
}

// Start records one run of a task on a worker. The members of a gang are recorded in one Progress.
type Start struct {
	Task   TaskRef `json:"t"`
	Number int     `json:"n"` // above the task's LastRun; one number for all members of a gang
	Worker string  `json:"w"`
}

// Started answers Progress: Recorded reports for each start, in order, whether it was recorded.
type Started struct {
	Recorded []bool `json:"recorded,omitempty"`
}
