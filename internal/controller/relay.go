package controller

import (
	"context"

	"crosstide/internal/errs"
	"crosstide/internal/jobs"
)

// Relay answers calls on any control-plane node. The node answers them itself while it leads; otherwise they are
// forwarded to the leader.
type Relay struct {
	local  Local
	remote *Client
	self   string // internal address of this node
}

// NewRelay returns a Relay for the node whose internal address is self.
func NewRelay(local Local, remote *Client, self string) *Relay {
	return &Relay{local: local, remote: remote, self: self}
}

// Submit submits a job.
func (r *Relay) Submit(ctx context.Context, call SubmitCall) (SubmitAnswer, error) {
	answer, err := relay(ctx, r, call, r.local.Submit, r.remote.Submit)
	return answer, errs.Pass(err, "relay")
}

// Job reads or cancels a job.
func (r *Relay) Job(ctx context.Context, call JobCall) (JobAnswer, error) {
	answer, err := relay(ctx, r, call, r.local.Job, r.remote.Job)
	return answer, errs.Pass(err, "relay")
}

// Count returns the number of a queue's waiting jobs.
func (r *Relay) Count(ctx context.Context, call CountCall) (CountAnswer, error) {
	answer, err := relay(ctx, r, call, r.local.Count, r.remote.Count)
	return answer, errs.Pass(err, "relay")
}

// Heartbeat delivers a worker's heartbeat.
func (r *Relay) Heartbeat(ctx context.Context, call HeartbeatCall) (HeartbeatAnswer, error) {
	answer, err := relay(ctx, r, call, r.local.Heartbeat, r.remote.Heartbeat)
	return answer, errs.Pass(err, "relay")
}

// Config returns the configuration in force.
func (r *Relay) Config(ctx context.Context, call ConfigCall) (jobs.Config, error) {
	answer, err := relay(ctx, r, call, r.local.Config, r.remote.Config)
	return answer, errs.Pass(err, "relay")
}

// Configure changes the configuration.
func (r *Relay) Configure(ctx context.Context, call jobs.Configure) (ConfigureAnswer, error) {
	answer, err := relay(ctx, r, call, r.local.Configure, r.remote.Configure)
	return answer, errs.Pass(err, "relay")
}

// Workers lists the workers.
func (r *Relay) Workers(ctx context.Context, call WorkersCall) (WorkersAnswer, error) {
	answer, err := relay(ctx, r, call, r.local.Workers, r.remote.Workers)
	return answer, errs.Pass(err, "relay")
}

// Topology returns the leader and the members of the store known to this node.
func (r *Relay) Topology(ctx context.Context, call TopologyCall) (TopologyAnswer, error) {
	answer, err := r.local.Topology(ctx, call)
	return answer, errs.Pass(err, "relay")
}

// relay executes a call on this node and, if that fails as shouldForward describes, on the leader.
func relay[C, A any](ctx context.Context, r *Relay, call C,
	local, remote func(context.Context, C) (A, error)) (A, error) {
	answer, err := local(ctx, call)
	if err == nil || !r.shouldForward(ctx, err) {
		return answer, errs.Pass(err, "this node")
	}
	answer, err = remote(ctx, call)
	return answer, errs.Pass(err, "the leader")
}

// shouldForward reports whether err proves that the call was not executed on this node and another node may execute it.
// A leader whose lease is not in force forwards too, because another node may already be the leader.
func (r *Relay) shouldForward(ctx context.Context, err error) bool {
	switch errs.KindOf(err) {
	case errs.NotLeader:
		r.remote.Hint(errs.Of(err).Hint)
		return true
	case errs.Unavailable:
		topology, topologyErr := r.local.Topology(ctx, TopologyCall{})
		return topologyErr != nil || topology.Leader != r.self
	}
	return false
}
