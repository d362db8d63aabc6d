package controller

import (
	"context"

	"crosstide/internal/errs"
	"crosstide/internal/jobs"
)

// Submit submits a job.
func (c *Client) Submit(ctx context.Context, call SubmitCall) (SubmitAnswer, error) {
	answer, err := callEndpoint(ctx, c, SubmitEndpoint, call, query{mutates: true})
	return answer, errs.Pass(err, "submit")
}

// Job asks for a job or cancels it.
func (c *Client) Job(ctx context.Context, call JobCall) (JobAnswer, error) {
	answer, err := callEndpoint(ctx, c, JobEndpoint, call, query{mutates: call.Cancel, hedge: !call.Cancel})
	return answer, errs.Pass(err, "job")
}

// Count asks for the number of a queue's waiting jobs.
func (c *Client) Count(ctx context.Context, call CountCall) (CountAnswer, error) {
	answer, err := callEndpoint(ctx, c, CountEndpoint, call, query{hedge: true})
	return answer, errs.Pass(err, "count")
}

// Heartbeat delivers a worker's heartbeat.
func (c *Client) Heartbeat(ctx context.Context, call HeartbeatCall) (HeartbeatAnswer, error) {
	answer, err := callEndpoint(ctx, c, HeartbeatEndpoint, call, query{mutates: true})
	return answer, errs.Pass(err, "heartbeat")
}

// Config asks for the configuration in force.
func (c *Client) Config(ctx context.Context, call ConfigCall) (jobs.Config, error) {
	answer, err := callEndpoint(ctx, c, ConfigEndpoint, call, query{hedge: true, large: true})
	return answer, errs.Pass(err, "read the configuration")
}

// Configure changes the configuration.
func (c *Client) Configure(ctx context.Context, call jobs.Configure) (ConfigureAnswer, error) {
	answer, err := callEndpoint(ctx, c, ConfigureEndpoint, call, query{mutates: true, large: true})
	return answer, errs.Pass(err, "configure")
}

// Evacuate starts or withdraws the evacuation of a zone.
func (c *Client) Evacuate(ctx context.Context, call jobs.Evacuate) (EvacuateAnswer, error) {
	answer, err := callEndpoint(ctx, c, EvacuateEndpoint, call, query{mutates: true})
	return answer, errs.Pass(err, "evacuate")
}

// Show asks for a job.
func (c *Client) Show(ctx context.Context, call ShowCall) (JobView, error) {
	answer, err := callEndpoint(ctx, c, ShowEndpoint, call, query{hedge: true})
	return answer, errs.Pass(err, "show")
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, call CancelCall) (JobAnswer, error) {
	answer, err := callEndpoint(ctx, c, CancelEndpoint, call, query{mutates: true})
	return answer, errs.Pass(err, "cancel")
}

// List asks for jobs.
func (c *Client) List(ctx context.Context, call ListCall) (ListAnswer, error) {
	answer, err := callEndpoint(ctx, c, ListEndpoint, call, query{hedge: true, large: true})
	return answer, errs.Pass(err, "list")
}

// Queues asks for the queues.
func (c *Client) Queues(ctx context.Context, call QueuesCall) (QueuesAnswer, error) {
	answer, err := callEndpoint(ctx, c, QueuesEndpoint, call, query{hedge: true})
	return answer, errs.Pass(err, "queues")
}

// Workers asks for the workers.
func (c *Client) Workers(ctx context.Context, call WorkersCall) (WorkersAnswer, error) {
	answer, err := callEndpoint(ctx, c, WorkersEndpoint, call, query{hedge: true, large: true})
	return answer, errs.Pass(err, "workers")
}
