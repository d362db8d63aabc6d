package state

import "time"

// Handle is the durable record of a run. It exists from the commit of its run ID until the run's end is reported or the
// run is proved dead. While it exists, its task is not started again.
type Handle struct {
	RunID         uint64        `json:"t"`
	Ref           TaskRef       `json:"r"`
	Worker        string        `json:"m"`
	Incarnation   string        `json:"b"` // of the worker to which the run was assigned
	Epoch         uint64        `json:"e"` // of the scheduler role under which it was assigned
	BundleVersion uint64        `json:"c"` // under whose placement policies it was assigned
	Type          string        `json:"y"`
	Cores         int           `json:"n"`
	GPUs          int           `json:"g,omitempty"`
	LeaseTTL      time.Duration `json:"h"` // how long the run may continue without a renewal
	Phase         TaskPhase     `json:"p"` // that of its task
}
