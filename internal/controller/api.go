// Package controller serves clients, workers and operators from the core: the leader of the store answers, and every
// other node passes calls on to it.
package controller

import (
	"time"

	"crosstide/internal/controller/scheduler"
	"crosstide/internal/jobs"
	"crosstide/internal/rpc"
)

// Location names the queue of a call: by host and path, as the configuration says.
type Location struct {
	Host string `json:"host"`
	Path string `json:"path"`
}

// SubmitCall hands a job in. Spec.ID is what follows the queue's prefix in the path; Spec.Queue is found by the leader,
// unless it is given.
type SubmitCall struct {
	Location Location  `json:"at"`
	Spec     jobs.Spec `json:"spec"`
	Digest   string    `json:"digest"`
}

// SubmitAnswer says that the job is accepted and durable.
type SubmitAnswer struct {
	State jobs.JobState `json:"state"`
}

// JobCall asks for a job or cancels it.
type JobCall struct {
	Location Location `json:"at"`
	Cancel   bool     `json:"cancel,omitempty"`
}

// JobAnswer tells a job's state. Gone: there is no such job.
type JobAnswer struct {
	State jobs.JobState `json:"state,omitempty"`
	Gone  bool          `json:"gone,omitempty"`
}

// CountCall asks how many jobs of a queue wait.
type CountCall struct {
	Location Location `json:"at"`
}

// CountAnswer is the count.
type CountAnswer struct {
	Waiting int `json:"waiting"`
}

// HeartbeatCall is a worker's heartbeat. Leaving: it ends now.
type HeartbeatCall struct {
	Worker          jobs.Worker   `json:"worker"`
	Sequence        uint64        `json:"seq"`
	Clock           time.Duration `json:"clock"`
	Remaining       time.Duration `json:"remaining,omitempty"` // while draining: the least time it has left
	WarmupRemaining time.Duration `json:"cold,omitempty"`
	Leaving         bool          `json:"leaving,omitempty"`
	// Listing is what runs and what has ended, where orders go with the answers to heartbeats.
	Listing *scheduler.RenewalAnswer `json:"listing,omitempty"`
}

// HeartbeatAnswer acknowledges a heartbeat: what it told is known to the scheduler and durable.
type HeartbeatAnswer struct {
	HeartbeatAddress string           `json:"home,omitempty"`   // control address that later heartbeats are best sent to
	Orders           *HeartbeatOrders `json:"orders,omitempty"` // where orders go with the answers to heartbeats
}

// HeartbeatOrders are the orders in the answer to a heartbeat.
type HeartbeatOrders struct {
	Lease         time.Duration          `json:"lease"` // of everything on the worker, from the arrival of the answer
	SeenUpTo      uint64                 `json:"seen"`  // ends numbered up to it are durable here
	Token         uint64                 `json:"token"` // fencing token
	Starts        []scheduler.StartOrder `json:"starts,omitempty"`
	Stops         []jobs.RunKey          `json:"stops,omitempty"`
	NextHeartbeat time.Duration          `json:"again"` // pause before the next heartbeat
}

// ConfigCall asks for the configuration in force.
type ConfigCall struct{}

// TopologyCall asks for the members of the core and the leader.
type TopologyCall struct{}

// TopologyAnswer lists internal addresses.
type TopologyAnswer struct {
	Leader  string   `json:"leader,omitempty"`
	Members []string `json:"members"`
}

// ConfigureAnswer says that a configuration is in force and durable.
type ConfigureAnswer struct{}

// EvacuateAnswer says that an evacuation is in force and durable.
type EvacuateAnswer struct{}

// The calls that the leader answers; any other node answers errs.NotLeader with the leader's address as hint. Failures:
// errs.Unknown: no such queue; errs.Unavailable: surely not taken; errs.Timeout: it may or may not have been taken;
// errs.Invalid with the field; errs.Stale: another version is in force.
var (
	SubmitPair    = rpc.Endpoint[SubmitCall, SubmitAnswer]{Path: "/c/submit"}
	JobPair       = rpc.Endpoint[JobCall, JobAnswer]{Path: "/c/job"}
	CountPair     = rpc.Endpoint[CountCall, CountAnswer]{Path: "/c/count"}
	HeartbeatPair = rpc.Endpoint[HeartbeatCall, HeartbeatAnswer]{Path: "/c/beat"}
	ConfigPair    = rpc.Endpoint[ConfigCall, jobs.Config]{Path: "/c/config"}
	ConfigurePair = rpc.Endpoint[jobs.Configure, ConfigureAnswer]{Path: "/c/configure"}
	EvacuatePair  = rpc.Endpoint[jobs.Evacuate, EvacuateAnswer]{Path: "/c/evacuate"}
	TopologyPair  = rpc.Endpoint[TopologyCall, TopologyAnswer]{Path: "/c/topology"} // any node answers
)
