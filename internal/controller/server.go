package controller

import (
	"context"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/jobs"
	"crosstide/internal/rpc"
)

// Local answers the calls on a control-plane node, with the errors documented at the endpoints. On a node that is not
// the leader, every call but Topology fails with errs.NotLeader without any effect; the hint is the leader's internal
// address. Any node answers Topology, and names itself as the leader only while its lease is in force. It is safe for
// concurrent use; a call returns when its ctx ends.
type Local interface {
	Submit(ctx context.Context, call SubmitCall) (SubmitAnswer, error)
	Job(ctx context.Context, call JobCall) (JobAnswer, error)
	Count(ctx context.Context, call CountCall) (CountAnswer, error)
	Heartbeat(ctx context.Context, call HeartbeatCall) (HeartbeatAnswer, error)
	Config(ctx context.Context, call ConfigCall) (jobs.Config, error)
	Configure(ctx context.Context, call jobs.Configure) (ConfigureAnswer, error)
	Zone(ctx context.Context, call ZoneCall) (ZoneAnswer, error)
	Evacuate(ctx context.Context, call jobs.Evacuate) (EvacuateAnswer, error)
	Topology(ctx context.Context, call TopologyCall) (TopologyAnswer, error)
	Show(ctx context.Context, call ShowCall) (JobView, error)
	Cancel(ctx context.Context, call CancelCall) (JobAnswer, error)
	List(ctx context.Context, call ListCall) (ListAnswer, error)
	Queues(ctx context.Context, call QueuesCall) (QueuesAnswer, error)
	Workers(ctx context.Context, call WorkersCall) (WorkersAnswer, error)
}

var _ Local = (*Leader)(nil)

// serveTimeout is the timeout of a call on the node that answers it. Callers time out long before.
const serveTimeout = 10 * time.Second

// Serve registers the endpoints of the controller on s. local answers the calls, so a call to a node that is not the
// leader fails and is not forwarded. Serve must be called before s starts.
func Serve(s *rpc.Server, local Local) {
	handle(s, SubmitEndpoint, local.Submit)
	handle(s, JobEndpoint, local.Job)
	handle(s, CountEndpoint, local.Count)
	handle(s, HeartbeatEndpoint, local.Heartbeat)
	handle(s, ConfigEndpoint, local.Config)
	handle(s, ConfigureEndpoint, local.Configure)
	handle(s, ZoneEndpoint, local.Zone)
	handle(s, EvacuateEndpoint, local.Evacuate)
	handle(s, TopologyEndpoint, local.Topology)
	handle(s, ShowEndpoint, local.Show)
	handle(s, CancelEndpoint, local.Cancel)
	handle(s, ListEndpoint, local.List)
	handle(s, QueuesEndpoint, local.Queues)
	handle(s, WorkersEndpoint, local.Workers)
}

// handle registers one endpoint on s, with serveTimeout as the timeout of its calls.
func handle[C, A any](s *rpc.Server, endpoint rpc.Endpoint[C, A], serve func(context.Context, C) (A, error)) {
	rpc.Handle(s, endpoint, func(ctx context.Context, call C) (A, error) {
		ctx, cancel := context.WithTimeout(ctx, serveTimeout)
		defer cancel()
		answer, err := serve(ctx, call)
		return answer, errs.Pass(err, "%s", endpoint.Path)
	})
}
