package jobs

import (
	"encoding/json"
	"time"
)

// The comment at the head of jobs.go says which declarations are allowed in this file.

// Submit accepts a job. A submission with the same ID and digest is a repetition of the same job.
type Submit struct {
	Spec   Spec      `json:"spec"`
	Digest string    `json:"digest"`
	At     time.Time `json:"at"`
}

// Cancel cancels a job that is not terminal: no further task of it starts.
type Cancel struct {
	ID string    `json:"id"`
	At time.Time `json:"at"`
	// Remember makes the cancellation of an ID without a job hold for a submission that is applied later.
	Remember bool `json:"remember,omitempty"`
}

// Configure changes the configuration of version Base. With Replace, Queues, Services and Limits are the complete new
// configuration. Otherwise the removals are applied first, then queues and services are added or replace those of the
// same name, and Limits, if present, replaces the old limits.
type Configure struct {
	Base           uint64          `json:"base"`
	Version        uint64          `json:"version"` // of the new configuration; above Base
	Digest         string          `json:"digest"`  // of the order's bytes and base; identifies a repeated order
	Replace        bool            `json:"replace,omitempty"`
	Queues         []Queue         `json:"queues,omitempty"`
	Services       []Service       `json:"services,omitempty"`
	Limits         json.RawMessage `json:"limits,omitempty"`
	RemoveQueues   []string        `json:"rq,omitempty"`
	RemoveServices []string        `json:"rs,omitempty"`
}

// UpgradeSchema puts a newer schema in force. The leader proposes it once all members of the store support the schema.
type UpgradeSchema struct {
	Schema Schema `json:"schema"`
}

// Evacuate starts or ends the evacuation of a zone. No task starts in an evacuated zone.
type Evacuate struct {
	Zone  string  `json:"zone"`
	Start bool    `json:"start"`          // false: end the evacuation
	Base  *uint64 `json:"base,omitempty"` // the zone's revision on which the order is based; nil: not checked
}

// Register records workers that are new or have changed.
type Register struct {
	Workers []Worker `json:"workers"`
}

// Progress holds the decisions of the leader's scheduler and the reports of workers. Ends are applied before Starts.
// Progress written by the leader of another term is refused. A start whose preconditions no longer hold is not
// recorded, nor are the other members of its gang.
type Progress struct {
	Term          uint64    `json:"term"`
	At            time.Time `json:"at"`
	Ends          []End     `json:"ends,omitempty"`
	Starts        []Start   `json:"starts,omitempty"`
	RemoveWorkers []string  `json:"forget,omitempty"` // IDs of workers that are gone; those with handles are kept
}

// EndReason says why a run ended. The strings are stored.
type EndReason string

// The reasons of an end. EndDone and EndFailed are outcomes of the task itself. After any other end the task is due
// again, and no failure is counted.
const (
	EndDone         EndReason = "done"
	EndFailed       EndReason = "failed"
	EndStopped      EndReason = "stopped" // by an order to stop
	EndLeaseExpired EndReason = "lapsed"
	EndGangBroken   EndReason = "broken" // another member of its gang ended
	EndGangTimeout  EndReason = "alone"  // timed out waiting for the other members of its gang
	EndLost         EndReason = "lost"   // no end was reported, but the run never started or its worker is gone
)

// End records the end of a run.
type End struct {
	Key        RunKey    `json:"r"`
	Worker     string    `json:"w"`
	Reason     EndReason `json:"h"`
	Checkpoint string    `json:"k,omitempty"` // newest checkpoint, if any
}

// Start starts one run of a task on a worker. The starts of all members of a gang are in the same Progress.
type Start struct {
	Task   TaskRef `json:"t"`
	Number int     `json:"n"` // above the task's LastRun; one number for all members of a gang
	Worker string  `json:"w"`
}

// ProgressResult is the answer to Progress. Recorded[i] reports whether Starts[i] was recorded.
type ProgressResult struct {
	Recorded []bool `json:"recorded,omitempty"`
}
