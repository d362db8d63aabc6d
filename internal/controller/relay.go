package controller

import (
	"context"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/jobs"
	"crosstide/internal/rpc"
)

// Local answers the calls on a node of the core, by the contract of the pairs: a node that does not lead gives
// errs.NotLeader with the leader's internal address as hint and has done nothing. Topology is answered by any node; it
// names this node as the leader only while its lease holds.
type Local interface {
	Submit(ctx context.Context, call SubmitCall) (SubmitAnswer, error)
	Job(ctx context.Context, call JobCall) (JobAnswer, error)
	Count(ctx context.Context, call CountCall) (CountAnswer, error)
	Heartbeat(ctx context.Context, call HeartbeatCall) (HeartbeatAnswer, error)
	Config(ctx context.Context, call ConfigCall) (jobs.Config, error)
	Configure(ctx context.Context, call jobs.Configure) (ConfigureAnswer, error)
	Evacuate(ctx context.Context, call jobs.Evacuate) (EvacuateAnswer, error)
	Topology(ctx context.Context, call TopologyCall) (TopologyAnswer, error)
	Show(ctx context.Context, call ShowCall) (JobView, error)
	Cancel(ctx context.Context, call CancelCall) (JobAnswer, error)
	List(ctx context.Context, call ListCall) (ListAnswer, error)
	Queues(ctx context.Context, call QueuesCall) (QueuesAnswer, error)
	Workers(ctx context.Context, call WorkersCall) (WorkersAnswer, error)
}

var _ Local = (*Leader)(nil)

// serveTimeout bounds a call at the node that answers it: its caller has long gone on by then.
const serveTimeout = 10 * time.Second

// Serve answers all pairs of the core at s by local; nothing is passed on from there. Call it before s starts.
func Serve(s *rpc.Server, local Local) {
	handle(s, SubmitPair, local.Submit)
	handle(s, JobPair, local.Job)
	handle(s, CountPair, local.Count)
	handle(s, HeartbeatPair, local.Heartbeat)
	handle(s, ConfigPair, local.Config)
	handle(s, ConfigurePair, local.Configure)
	handle(s, EvacuatePair, local.Evacuate)
	handle(s, TopologyPair, local.Topology)
	handle(s, ShowPair, local.Show)
	handle(s, CancelPair, local.Cancel)
	handle(s, ListPair, local.List)
	handle(s, QueuesPair, local.Queues)
	handle(s, WorkersPair, local.Workers)
}

func handle[C, A any](s *rpc.Server, p rpc.Endpoint[C, A], serve func(context.Context, C) (A, error)) {
	rpc.Handle(s, p, func(ctx context.Context, call C) (A, error) {
		ctx, cancel := context.WithTimeout(ctx, serveTimeout)
		defer cancel()
		answer, err := serve(ctx, call)
		return answer, errs.Pass(err, "%s", p.Path)
	})
}

// Relay answers calls on any node of the core: by the node itself when it leads, else by the leader.
type Relay struct {
	local  Local
	remote *Client
	self   string
}

// NewRelay makes a relay on the node whose internal address is self.
func NewRelay(local Local, remote *Client, self string) *Relay {
	return &Relay{local: local, remote: remote, self: self}
}

// Submit hands a job in.
func (r *Relay) Submit(ctx context.Context, call SubmitCall) (SubmitAnswer, error) {
	answer, err := relay(ctx, r, call, r.local.Submit, r.remote.Submit)
	return answer, errs.Pass(err, "relay")
}

// Job asks for a job or cancels it.
func (r *Relay) Job(ctx context.Context, call JobCall) (JobAnswer, error) {
	answer, err := relay(ctx, r, call, r.local.Job, r.remote.Job)
	return answer, errs.Pass(err, "relay")
}

// Count asks how many jobs of a queue wait.
func (r *Relay) Count(ctx context.Context, call CountCall) (CountAnswer, error) {
	answer, err := relay(ctx, r, call, r.local.Count, r.remote.Count)
	return answer, errs.Pass(err, "relay")
}

// Heartbeat passes a worker's heartbeat on.
func (r *Relay) Heartbeat(ctx context.Context, call HeartbeatCall) (HeartbeatAnswer, error) {
	answer, err := relay(ctx, r, call, r.local.Heartbeat, r.remote.Heartbeat)
	return answer, errs.Pass(err, "relay")
}

// Config asks for the configuration in force.
func (r *Relay) Config(ctx context.Context, call ConfigCall) (jobs.Config, error) {
	answer, err := relay(ctx, r, call, r.local.Config, r.remote.Config)
	return answer, errs.Pass(err, "relay")
}

// Configure changes the configuration.
func (r *Relay) Configure(ctx context.Context, call jobs.Configure) (ConfigureAnswer, error) {
	answer, err := relay(ctx, r, call, r.local.Configure, r.remote.Configure)
	return answer, errs.Pass(err, "relay")
}

// Evacuate starts or withdraws the evacuation of a zone.
func (r *Relay) Evacuate(ctx context.Context, call jobs.Evacuate) (EvacuateAnswer, error) {
	answer, err := relay(ctx, r, call, r.local.Evacuate, r.remote.Evacuate)
	return answer, errs.Pass(err, "relay")
}

// Workers lists the workers.
func (r *Relay) Workers(ctx context.Context, call WorkersCall) (WorkersAnswer, error) {
	answer, err := relay(ctx, r, call, r.local.Workers, r.remote.Workers)
	return answer, errs.Pass(err, "relay")
}

// Topology tells the leader and the members of the core, as this node knows them.
func (r *Relay) Topology(ctx context.Context, call TopologyCall) (TopologyAnswer, error) {
	answer, err := r.local.Topology(ctx, call)
	return answer, errs.Pass(err, "relay")
}

func relay[C, A any](ctx context.Context, r *Relay, call C, local, remote func(context.Context, C) (A, error)) (A, error) {
	answer, err := local(ctx, call)
	if err == nil || !r.shouldForward(ctx, err) {
		return answer, errs.Pass(err, "this node")
	}
	answer, err = remote(ctx, call)
	return answer, errs.Pass(err, "the leader")
}

// shouldForward tells whether a call that this node has not carried out, with err, may be another node's.
func (r *Relay) shouldForward(ctx context.Context, err error) bool {
	switch errs.KindOf(err) {
	case errs.NotLeader:
		r.remote.Hint(errs.Of(err).Hint)
		return true
	case errs.Unavailable:
		t, unknown := r.local.Topology(ctx, TopologyCall{})
		return unknown != nil || t.Leader != r.self
	}
	return false
}
