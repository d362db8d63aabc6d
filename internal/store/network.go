package store

import (
	"context"
	"time"

	"crosstide/internal/config"
	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/rpc"
)

// Serve answers the calls of the other cplanes and of the dplanes at srv; call it before srv starts.
func (s *Store) Serve(srv *rpc.Server) {
	rpc.Handle(srv, internalapi.Raft, func(_ context.Context, c internalapi.RaftCall) (internalapi.RaftAnswer, error) {
		s.Step(c)
		return internalapi.RaftAnswer{}, nil
	})
	rpc.Handle(srv, internalapi.Propose, s.handlePropose)
	rpc.Handle(srv, internalapi.ReadIndex, func(context.Context, internalapi.ReadIndexCall) (internalapi.ReadIndexAnswer, error) {
		index, err := s.ReadIndex()
		return internalapi.ReadIndexAnswer{Index: index}, errs.Pass(err, "call")
	})
	rpc.Handle(srv, internalapi.Follow, s.Follow)
	rpc.Handle(srv, internalapi.Chunk, func(_ context.Context, c internalapi.ChunkCall) (internalapi.ChunkAnswer, error) {
		a, err := s.Chunk(c)
		return a, errs.Pass(err, "call")
	})
	rpc.Handle(srv, internalapi.ClaimRole, s.ClaimRole)
	rpc.Handle(srv, internalapi.Status, func(context.Context, internalapi.StatusCall) (internalapi.StatusAnswer, error) {
		return s.Status(), nil
	})
	rpc.Handle(srv, internalapi.Discover, func(_ context.Context, c internalapi.DiscoverCall) (internalapi.DiscoverAnswer, error) {
		return s.BootstrapStatus(c), nil
	})
	rpc.Handle(srv, internalapi.Join, s.Join)
	rpc.Handle(srv, internalapi.Rollout, func(context.Context, internalapi.RolloutCall) (internalapi.RolloutAnswer, error) {
		return s.localRollout(), nil
	})
}

// Net carries the calls to other control-plane nodes at an address; each ends by its own time-out.
type Net interface {
	SendMessages(ctx context.Context, addr string, call internalapi.RaftCall) error
	FetchChunk(ctx context.Context, addr string, call internalapi.ChunkCall) (internalapi.ChunkAnswer, error)
	BootstrapStatus(ctx context.Context, addr string, call internalapi.DiscoverCall) (internalapi.DiscoverAnswer, error)
	Join(ctx context.Context, addr string, call internalapi.JoinCall) (internalapi.JoinAnswer, error)
	Propose(ctx context.Context, addr string, call internalapi.ProposeCall) (internalapi.ProposeAnswer, error)
	ReadIndex(ctx context.Context, addr string) (internalapi.ReadIndexAnswer, error)
	Rollout(ctx context.Context, addr string) (internalapi.RolloutAnswer, error)
}

// NetworkOf is the Net of a daemon.
func NetworkOf(k *rpc.Client, settings config.ControlPlane) Net {
	return networkCalls{k, settings.Election}
}

type networkCalls struct {
	caller   *rpc.Client
	election time.Duration
}

// SendMessages sends a message of the agreement.
func (w networkCalls) SendMessages(ctx context.Context, addr string, call internalapi.RaftCall) error {
	_, err := rpc.Call(ctx, w.caller, addr, internalapi.Raft, call, w.election/2)
	return errs.Pass(err, "quorum")
}

// FetchChunk reads a part of a peer's snapshot.
func (w networkCalls) FetchChunk(ctx context.Context, addr string, call internalapi.ChunkCall) (internalapi.ChunkAnswer, error) {
	a, err := rpc.Call(ctx, w.caller, addr, internalapi.Chunk, call, 2*time.Second)
	return a, errs.Pass(err, "chunk")
}

// Bootstrap asks a peer how it stands with the founding.
func (w networkCalls) BootstrapStatus(ctx context.Context, addr string, call internalapi.DiscoverCall) (internalapi.DiscoverAnswer, error) {
	a, err := rpc.Call(ctx, w.caller, addr, internalapi.Discover, call, w.election/2)
	return a, errs.Pass(err, "found")
}

// Join asks a member to add this node.
func (w networkCalls) Join(ctx context.Context, addr string, call internalapi.JoinCall) (internalapi.JoinAnswer, error) {
	a, err := rpc.Call(ctx, w.caller, addr, internalapi.Join, call, 2*w.election)
	return a, errs.Pass(err, "join")
}

// Propose passes a command to the leader and waits for its result.
func (w networkCalls) Propose(ctx context.Context, addr string, call internalapi.ProposeCall) (internalapi.ProposeAnswer, error) {
	a, err := rpc.Call(ctx, w.caller, addr, internalapi.Propose, call, proposeTimeout+w.election)
	return a, errs.Pass(err, "propose")
}

// ReadIndex asks the leader for an index at which a read is current.
func (w networkCalls) ReadIndex(ctx context.Context, addr string) (internalapi.ReadIndexAnswer, error) {
	a, err := rpc.Call(ctx, w.caller, addr, internalapi.ReadIndex, internalapi.ReadIndexCall{}, w.election)
	return a, errs.Pass(err, "confirm")
}

// Rollout asks a peer how far the versions of the bundle have come.
func (w networkCalls) Rollout(ctx context.Context, addr string) (internalapi.RolloutAnswer, error) {
	a, err := rpc.Call(ctx, w.caller, addr, internalapi.Rollout, internalapi.RolloutCall{}, w.election/2)
	return a, errs.Pass(err, "rollout")
}
