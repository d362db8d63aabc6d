package jobsworker

import (
	"time"

	"crosstide/internal/httpapi/workerapi"
	"crosstide/internal/jobs"
)

// Kinds of events.
const (
	EventWorkerStart = "born"   // the worker's process started
	EventRunStart    = "start"  // a run began
	EventRunRefuse   = "refuse" // a start was refused for Reason
	EventRunEnd      = "end"    // a run ended; Reason is its end reason
)

// Event is an entry of a worker's journal.
type Event struct {
	At         time.Time      `json:"at"`
	Event      string         `json:"event"`
	Worker     string         `json:"worker"`
	Run        workerapi.Run  `json:"run,omitzero"`
	Token      uint64         `json:"token,omitempty"`
	Reason     string         `json:"why,omitempty"`
	Checkpoint string         `json:"checkpoint,omitempty"`
	Payload    string         `json:"payload,omitempty"`
	Needs      jobs.Resources `json:"needs,omitzero"` // of the run; with EventWorkerStart the worker's capacity
	Zone       string         `json:"zone,omitempty"`
	Rack       string         `json:"rack,omitempty"`
	Labels     []string       `json:"labels,omitempty"`
}
