package controller

import (
	"time"

	"crosstide/internal/controller/scheduler"
	"crosstide/internal/jobs"
	"crosstide/internal/rpc"
)

// Location identifies the queue of a call by the call's host and path; the configuration maps them to a queue.
type Location struct {
	Host string `json:"host"`
	Path string `json:"path"`
}

// SubmitCall submits a job. Spec.ID is the part of the path after the queue's prefix. If Spec.Queue is empty, the
// leader sets it by Location.
type SubmitCall struct {
	Location Location  `json:"at"`
	Spec     jobs.Spec `json:"spec"`
	Digest   string    `json:"digest"`
}

// SubmitAnswer acknowledges a submission: the job is accepted and durable.
type SubmitAnswer struct {
	State jobs.JobState `json:"state"`
}

// JobCall asks for a job or cancels it.
type JobCall struct {
	Location Location `json:"at"`
	Cancel   bool     `json:"cancel,omitempty"`
}

// JobAnswer is a job's state. Gone is set if there is no such job.
type JobAnswer struct {
	State jobs.JobState `json:"state,omitempty"`
	Gone  bool          `json:"gone,omitempty"`
}

// CountCall asks for the number of a queue's waiting jobs: those of which no run was started yet.
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
	Sequence        uint64        `json:"seq"`                 // rising within the worker's incarnation
	Clock           time.Duration `json:"clock"`               // the worker's own
	Remaining       time.Duration `json:"remaining,omitempty"` // while draining: the least time before the worker exits
	WarmupRemaining time.Duration `json:"cold,omitempty"`      // until the worker is warmed up; 0: it is
	Leaving         bool          `json:"leaving,omitempty"`   // the worker exits now; of Worker only ID is read
	// Listing is the worker's running and ended runs if orders go with the answers to heartbeats; nil otherwise.
	Listing *scheduler.RenewalAnswer `json:"listing,omitempty"`
}

// HeartbeatAnswer acknowledges a heartbeat: what it reported is durable and queued for the scheduler.
type HeartbeatAnswer struct {
	HeartbeatAddress string           `json:"home,omitempty"`   // to which the worker had better send later heartbeats
	Orders           *HeartbeatOrders `json:"orders,omitempty"` // nil unless orders go with the answers to heartbeats
}

// HeartbeatOrders are the orders in the answer to a heartbeat.
type HeartbeatOrders struct {
	Lease            time.Duration          `json:"lease"` // of all runs on the worker, from the arrival of the answer
	AcknowledgedUpTo uint64                 `json:"seen"`  // ends numbered up to it are durable here
	Token            uint64                 `json:"token"` // fencing token
	Starts           []scheduler.StartOrder `json:"starts,omitempty"`
	Stops            []jobs.RunKey          `json:"stops,omitempty"`
	NextHeartbeat    time.Duration          `json:"again"` // pause before the next heartbeat
}

// ConfigCall asks for the configuration in force.
type ConfigCall struct{}

// TopologyCall asks for the members of the store and the leader.
type TopologyCall struct{}

// TopologyAnswer lists internal addresses.
type TopologyAnswer struct {
	Leader  string   `json:"leader,omitempty"`
	Members []string `json:"members"`
}

// ConfigureAnswer acknowledges a change of the configuration: it is in force and durable.
type ConfigureAnswer struct{}

// EvacuateAnswer acknowledges the start or withdrawal of an evacuation: it is in force and durable.
type EvacuateAnswer struct{}

// ShowCall asks for a job by its ID alone.
type ShowCall struct {
	ID string `json:"id"`
}

// StepView is the progress of one step's tasks, all rounds together.
type StepView struct {
	Tasks    int `json:"tasks"`
	Done     int `json:"done"`
	Running  int `json:"running"` // tasks with a run that is not over
	Failures int `json:"failures,omitempty"`
}

// JobView is a job as its client sees it. Steps is empty once the job is over and nothing of it runs.
type JobView struct {
	ID       string        `json:"id"`
	Queue    string        `json:"queue"`
	State    jobs.JobState `json:"state"`
	Accepted time.Time     `json:"accepted"`
	Ended    time.Time     `json:"ended,omitzero"`
	Steps    []StepView    `json:"steps,omitempty"`
}

// CancelCall cancels a job by its ID alone.
type CancelCall struct {
	ID string `json:"id"`
}

// ListCall asks for jobs in the order of their IDs; an empty filter takes all.
type ListCall struct {
	Queue string        `json:"queue,omitempty"`
	State jobs.JobState `json:"state,omitempty"`
	After string        `json:"after,omitempty"` // only IDs above it
	Limit int           `json:"limit"`
}

// JobSummary is a job in a list.
type JobSummary struct {
	ID       string        `json:"id"`
	Queue    string        `json:"queue"`
	State    jobs.JobState `json:"state"`
	Accepted time.Time     `json:"accepted"`
	Ended    time.Time     `json:"ended,omitzero"`
}

// ListAnswer is one page of a list. More is set if there are jobs after the last one.
type ListAnswer struct {
	Jobs []JobSummary `json:"jobs"`
	More bool         `json:"more,omitempty"`
}

// QueuesCall asks for the queues of the configuration.
type QueuesCall struct{}

// QueueView is one queue and how many of its jobs wait.
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

// WorkersCall asks for the workers.
type WorkersCall struct{}

// WorkerView is one worker and what the runs on it take.
type WorkerView struct {
	jobs.Worker
	Used jobs.Resources `json:"used"`
	Runs int            `json:"runs"`
}

// WorkersAnswer lists the workers by ID, and the zones that are evacuated by name.
type WorkersAnswer struct {
	Workers   []WorkerView `json:"workers"`
	Evacuated []string     `json:"evacuated"`
}

// The calls that the leader answers. Their errors are, by kind:
//
//   - errs.NotLeader: this node does not lead and did nothing; the hint is the leader's address, if it is known;
//   - errs.Unknown: there is no such queue;
//   - errs.Invalid: a field is wrong; the error names it;
//   - errs.Stale: another version of the configuration is in force;
//   - errs.Unavailable: the call was surely not carried out;
//   - errs.Timeout: the call may or may not have been carried out, or may be yet.
var (
	SubmitEndpoint    = rpc.Endpoint[SubmitCall, SubmitAnswer]{Path: "/c/submit"}
	JobEndpoint       = rpc.Endpoint[JobCall, JobAnswer]{Path: "/c/job"}
	CountEndpoint     = rpc.Endpoint[CountCall, CountAnswer]{Path: "/c/count"}
	HeartbeatEndpoint = rpc.Endpoint[HeartbeatCall, HeartbeatAnswer]{Path: "/c/beat"}
	ConfigEndpoint    = rpc.Endpoint[ConfigCall, jobs.Config]{Path: "/c/config"}
	ConfigureEndpoint = rpc.Endpoint[jobs.Configure, ConfigureAnswer]{Path: "/c/configure"}
	EvacuateEndpoint  = rpc.Endpoint[jobs.Evacuate, EvacuateAnswer]{Path: "/c/evacuate"}
	TopologyEndpoint  = rpc.Endpoint[TopologyCall, TopologyAnswer]{Path: "/c/topology"} // any node answers
)

// The calls that find jobs by ID alone. Their errors are those of the other calls; errs.Unknown: there is no such job.
var (
	ShowEndpoint    = rpc.Endpoint[ShowCall, JobView]{Path: "/c/show"}
	CancelEndpoint  = rpc.Endpoint[CancelCall, JobAnswer]{Path: "/c/cancel"}
	ListEndpoint    = rpc.Endpoint[ListCall, ListAnswer]{Path: "/c/list"}
	QueuesEndpoint  = rpc.Endpoint[QueuesCall, QueuesAnswer]{Path: "/c/queues"}
	WorkersEndpoint = rpc.Endpoint[WorkersCall, WorkersAnswer]{Path: "/c/workers"}
)
