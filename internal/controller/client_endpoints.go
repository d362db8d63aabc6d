package controller

import (
	"context"

	"crosstide/internal/errs"
	"crosstide/internal/jobs"
)

// Submit submits a job.
func (c *Client) Submit(ctx context.Context, call SubmitCall) (SubmitAnswer, error) {
	answer, err := callEndpoint(ctx, c, SubmitEndpoint, call, request{mutates: true})
	return answer, errs.Pass(err, "submit")
}

// Job reads or cancels a job.
func (c *Client) Job(ctx context.Context, call JobCall) (JobAnswer, error) {
	answer, err := callEndpoint(ctx, c, JobEndpoint, call, request{mutates: call.Cancel, canHedge: !call.Cancel})
	return answer, errs.Pass(err, "job")
}

// Count returns the number of a queue's waiting jobs.
func (c *Client) Count(ctx context.Context, call CountCall) (CountAnswer, error) {
	answer, err := callEndpoint(ctx, c, CountEndpoint, call, request{canHedge: true})
	return answer, errs.Pass(err, "count")
}

// Heartbeat delivers a worker's heartbeat.
func (c *Client) Heartbeat(ctx context.Context, call HeartbeatCall) (HeartbeatAnswer, error) {
	answer, err := callEndpoint(ctx, c, HeartbeatEndpoint, call, request{mutates: true})
	return answer, errs.Pass(err, "heartbeat")
}

// Config returns the configuration in force.
func (c *Client) Config(ctx context.Context, call ConfigCall) (jobs.Config, error) {
	answer, err := callEndpoint(ctx, c, ConfigEndpoint, call, request{canHedge: true, isLarge: true})
	return answer, errs.Pass(err, "read the configuration")
}

// Configure changes the configuration.
func (c *Client) Configure(ctx context.Context, call jobs.Configure) (ConfigureAnswer, error) {
	answer, err := callEndpoint(ctx, c, ConfigureEndpoint, call, request{mutates: true, isLarge: true})
	return answer, errs.Pass(err, "configure")
}

// Zone returns the state of a zone.
func (c *Client) Zone(ctx context.Context, call ZoneCall) (ZoneAnswer, error) {
	answer, err := callEndpoint(ctx, c, ZoneEndpoint, call, request{canHedge: true})
	return answer, errs.Pass(err, "zone")
}

// Evacuate starts or ends the evacuation of a zone.
func (c *Client) Evacuate(ctx context.Context, call jobs.Evacuate) (EvacuateAnswer, error) {
	answer, err := callEndpoint(ctx, c, EvacuateEndpoint, call, request{mutates: true})
	return answer, errs.Pass(err, "evacuate")
}

// Show returns a job by ID.
func (c *Client) Show(ctx context.Context, call ShowCall) (JobView, error) {
	answer, err := callEndpoint(ctx, c, ShowEndpoint, call, request{canHedge: true})
	return answer, errs.Pass(err, "show")
}

// Cancel cancels a job by ID.
func (c *Client) Cancel(ctx context.Context, call CancelCall) (JobAnswer, error) {
	answer, err := callEndpoint(ctx, c, CancelEndpoint, call, request{mutates: true})
	return answer, errs.Pass(err, "cancel")
}

// List returns one page of jobs.
func (c *Client) List(ctx context.Context, call ListCall) (ListAnswer, error) {
	answer, err := callEndpoint(ctx, c, ListEndpoint, call, request{canHedge: true, isLarge: true})
	return answer, errs.Pass(err, "list")
}

// Queues lists the queues.
func (c *Client) Queues(ctx context.Context, call QueuesCall) (QueuesAnswer, error) {
	answer, err := callEndpoint(ctx, c, QueuesEndpoint, call, request{canHedge: true})
	return answer, errs.Pass(err, "queues")
}

// Workers lists the workers.
func (c *Client) Workers(ctx context.Context, call WorkersCall) (WorkersAnswer, error) {
	answer, err := callEndpoint(ctx, c, WorkersEndpoint, call, request{canHedge: true, isLarge: true})
	return answer, errs.Pass(err, "workers")
}
