package controller

import (
	"encoding/json"
	"time"

	"crosstide/internal/controller/scheduler"
	"crosstide/internal/jobs"
	"crosstide/internal/rpc"
)

// Location is the host and path of a call, which the configuration maps to a queue.
type Location struct {
	Host string `json:"host"`
	Path string `json:"path"`
}

// SubmitCall submits a job. Spec.ID is the part of the path after the queue's prefix. If Spec.Queue is empty, the
// leader derives it from Location.
type SubmitCall struct {
	Location Location  `json:"at"`
	Spec     jobs.Spec `json:"spec"`
	Digest   string    `json:"digest"`
}

// SubmitAnswer acknowledges a submission: the job is accepted and durable.
type SubmitAnswer struct {
	State jobs.JobState `json:"state"`
}

// JobCall reads or cancels a job.
type JobCall struct {
	Location Location `json:"at"`
	Cancel   bool     `json:"cancel,omitempty"`
}

// JobAnswer is a job's state. NotFound is set if the job does not exist.
type JobAnswer struct {
	State    jobs.JobState `json:"state,omitempty"`
	NotFound bool          `json:"gone,omitempty"`
}

// CountCall requests the number of a queue's waiting jobs. A job waits until its first run is started.
type CountCall struct {
	Location Location `json:"at"`
}

// CountAnswer is the number of a queue's waiting jobs.
type CountAnswer struct {
	Waiting int `json:"waiting"`
}

// HeartbeatCall is a worker's heartbeat.
type HeartbeatCall struct {
	Worker          jobs.Worker   `json:"worker"`
	Sequence        uint64        `json:"seq"`                 // increases within the worker's incarnation
	Clock           time.Duration `json:"clock"`               // the worker's own clock
	Remaining       time.Duration `json:"remaining,omitempty"` // while draining: minimum time before the worker exits
	WarmupRemaining time.Duration `json:"cold,omitempty"`      // until the worker is warmed up; 0: it is warm
	Leaving         bool          `json:"leaving,omitempty"`   // the worker exits now; only Worker.ID is read
	// Listing is the worker's running and ended runs if heartbeat answers carry the orders, else nil.
	Listing *scheduler.RenewalAnswer `json:"listing,omitempty"`
}

// HeartbeatAnswer acknowledges a heartbeat: the reported state is durable and queued for the scheduler.
type HeartbeatAnswer struct {
	HeartbeatAddress string           `json:"home,omitempty"`   // preferred destination of later heartbeats
	Orders           *HeartbeatOrders `json:"orders,omitempty"` // nil unless heartbeat answers carry the orders
}

// HeartbeatOrders are the orders that the answer to a heartbeat carries.
type HeartbeatOrders struct {
	Lease            time.Duration          `json:"lease"` // of all runs on the worker, from the arrival of the answer
	AcknowledgedUpTo uint64                 `json:"seen"`  // ended runs up to this sequence number are durable
	Token            uint64                 `json:"token"` // fencing token
	Starts           []scheduler.StartOrder `json:"starts,omitempty"`
	Stops            []jobs.RunKey          `json:"stops,omitempty"`
	NextHeartbeat    time.Duration          `json:"again"` // pause before the next heartbeat
}

// ConfigCall requests the configuration in force.
type ConfigCall struct{}

// TopologyCall requests the members of the store and the leader.
type TopologyCall struct{}

// TopologyAnswer lists the internal addresses of the leader and the members. An answer of the leader has the limits of
// the configuration, as the operator sent them.
type TopologyAnswer struct {
	Leader  string          `json:"leader,omitempty"`
	Members []string        `json:"members"`
	Limits  json.RawMessage `json:"limits,omitempty"`
}

// ConfigureAnswer acknowledges a change of the configuration: the change is in force and durable.
type ConfigureAnswer struct{}

// ZoneCall requests the state of a zone.
type ZoneCall struct {
	Zone string `json:"zone"`
}

// ZoneAnswer is the state of a zone.
type ZoneAnswer struct {
	Evacuated bool   `json:"evacuated,omitempty"`
	Revision  uint64 `json:"revision"` // increases with each order for the zone; the base of the next order
}

// EvacuateAnswer acknowledges the start or end of a zone's evacuation: the change is in force and durable.
type EvacuateAnswer struct{}

// ShowCall requests a job by ID.
type ShowCall struct {
	ID string `json:"id"`
}

// StepView is the progress of one step's tasks, summed over all rounds.
type StepView struct {
	Tasks    int `json:"tasks"`
	Done     int `json:"done"`
	Running  int `json:"running"` // tasks with an unfinished run
	Failures int `json:"failures,omitempty"`
}

// JobView is a job as its client sees it. Steps is empty once the job has ended and none of its runs is left.
type JobView struct {
	ID       string        `json:"id"`
	Queue    string        `json:"queue"`
	State    jobs.JobState `json:"state"`
	Accepted time.Time     `json:"accepted"`
	Ended    time.Time     `json:"ended,omitzero"`
	Steps    []StepView    `json:"steps,omitempty"`
}

// CancelCall cancels a job by ID.
type CancelCall struct {
	ID string `json:"id"`
}

// ListCall requests jobs in the order of their IDs. An empty filter matches all jobs.
type ListCall struct {
	Queue string        `json:"queue,omitempty"`
	State jobs.JobState `json:"state,omitempty"`
	After string        `json:"after,omitempty"` // only IDs greater than this one
	Limit int           `json:"limit"`           // maximum number of jobs in the answer; 0 or less: none
}

// JobSummary is a job in a list.
type JobSummary struct {
	ID       string        `json:"id"`
	Queue    string        `json:"queue"`
	State    jobs.JobState `json:"state"`
	Accepted time.Time     `json:"accepted"`
	Ended    time.Time     `json:"ended,omitzero"`
}

// ListAnswer is one page of jobs. More is set if further jobs match.
type ListAnswer struct {
	Jobs []JobSummary `json:"jobs"`
	More bool         `json:"more,omitempty"`
}

// QueuesCall requests the queues of the configuration.
type QueuesCall struct{}

// QueueView is a queue and the number of its waiting jobs.
type QueueView struct {
	Name     string `json:"name"`
	Service  string `json:"service"`
	Priority int    `json:"priority"`
	Waiting  int    `json:"waiting"`
}

// QueuesAnswer lists the queues in the order of the configuration.
type QueuesAnswer struct {
	Queues []QueueView `json:"queues"`
}

// WorkersCall requests the list of workers.
type WorkersCall struct{}

// WorkerView is a worker with the number of its runs and the resources that they use.
type WorkerView struct {
	jobs.Worker
	Used jobs.Resources `json:"used"`
	Runs int            `json:"runs"`
}

// WorkersAnswer lists the workers, sorted by ID, and the evacuated zones, sorted by name.
type WorkersAnswer struct {
	Workers   []WorkerView `json:"workers"`
	Evacuated []string     `json:"evacuated"`
}

// The calls that the leader answers. Their errors have one of these kinds:
//
//   - errs.NotLeader: this node is not the leader and has not executed the call; the hint is the leader's address, if
//     it is known;
//   - errs.Unknown: the queue does not exist;
//   - errs.Invalid: a field is invalid; the error names it;
//   - errs.Stale: another version of the configuration is in force, or another order for the zone was applied since the
//     base of this one;
//   - errs.Unavailable: the call was not executed and never will be;
//   - errs.Timeout: the outcome is unknown: the call may have been executed, or may still be.
var (
	SubmitEndpoint    = rpc.Endpoint[SubmitCall, SubmitAnswer]{Path: "/c/submit"}
	JobEndpoint       = rpc.Endpoint[JobCall, JobAnswer]{Path: "/c/job"}
	CountEndpoint     = rpc.Endpoint[CountCall, CountAnswer]{Path: "/c/count"}
	HeartbeatEndpoint = rpc.Endpoint[HeartbeatCall, HeartbeatAnswer]{Path: "/c/beat"}
	ConfigEndpoint    = rpc.Endpoint[ConfigCall, jobs.Config]{Path: "/c/config"}
	ConfigureEndpoint = rpc.Endpoint[jobs.Configure, ConfigureAnswer]{Path: "/c/configure"}
	ZoneEndpoint      = rpc.Endpoint[ZoneCall, ZoneAnswer]{Path: "/c/zone"}
	EvacuateEndpoint  = rpc.Endpoint[jobs.Evacuate, EvacuateAnswer]{Path: "/c/evacuate"}
	TopologyEndpoint  = rpc.Endpoint[TopologyCall, TopologyAnswer]{Path: "/c/topology"} // any node answers
)

// The calls for operators, which identify jobs by ID. Their errors have the kinds listed above; errs.Unknown means that
// the job does not exist.
var (
	ShowEndpoint    = rpc.Endpoint[ShowCall, JobView]{Path: "/c/show"}
	CancelEndpoint  = rpc.Endpoint[CancelCall, JobAnswer]{Path: "/c/cancel"}
	ListEndpoint    = rpc.Endpoint[ListCall, ListAnswer]{Path: "/c/list"}
	QueuesEndpoint  = rpc.Endpoint[QueuesCall, QueuesAnswer]{Path: "/c/queues"}
	WorkersEndpoint = rpc.Endpoint[WorkersCall, WorkersAnswer]{Path: "/c/workers"}
)
