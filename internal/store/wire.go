package store

import (
	"context"
	"time"

	"crosstide/internal/api"
	"crosstide/internal/config"
	"crosstide/internal/errs"
	"crosstide/internal/rpc"
)

// Serve answers the calls of the other cplanes and of the dplanes at srv; call it before srv starts.
func (s *Store) Serve(srv *rpc.Server) {
	rpc.Handle(srv, api.Quorum, func(_ context.Context, c api.QuorumCall) (api.QuorumAnswer, error) {
		s.Step(c)
		return api.QuorumAnswer{}, nil
	})
	rpc.Handle(srv, api.Propose, s.propose)
	rpc.Handle(srv, api.Confirm, func(context.Context, api.ConfirmCall) (api.ConfirmAnswer, error) {
		index, err := s.Confirm()
		return api.ConfirmAnswer{Index: index}, errs.Pass(err, "call")
	})
	rpc.Handle(srv, api.Follow, s.Follow)
	rpc.Handle(srv, api.Chunk, func(_ context.Context, c api.ChunkCall) (api.ChunkAnswer, error) {
		a, err := s.Chunk(c)
		return a, errs.Pass(err, "call")
	})
	rpc.Handle(srv, api.Duty, s.Duty)
	rpc.Handle(srv, api.Status, func(context.Context, api.StatusCall) (api.StatusAnswer, error) { return s.Status(), nil })
	rpc.Handle(srv, api.Found, func(_ context.Context, c api.FoundCall) (api.FoundAnswer, error) { return s.Found(c), nil })
	rpc.Handle(srv, api.Join, s.Join)
	rpc.Handle(srv, api.Rollout, func(context.Context, api.RolloutCall) (api.RolloutAnswer, error) { return s.rollout(), nil })
}

// NetworkOf is the Net of a daemon.
func NetworkOf(k *rpc.Caller, set config.Cplane) Net { return networkCalls{k, set.Election} }

type networkCalls struct {
	caller   *rpc.Caller
	election time.Duration
}

// Quorum sends a message of the agreement.
func (w networkCalls) Quorum(ctx context.Context, addr string, call api.QuorumCall) error {
	_, err := rpc.Ask(ctx, w.caller, addr, api.Quorum, call, w.election/2)
	return errs.Pass(err, "quorum")
}

// Chunk reads a part of a peer's snapshot.
func (w networkCalls) Chunk(ctx context.Context, addr string, call api.ChunkCall) (api.ChunkAnswer, error) {
	a, err := rpc.Ask(ctx, w.caller, addr, api.Chunk, call, 2*time.Second)
	return a, errs.Pass(err, "chunk")
}

// Found asks a peer how it stands with the founding.
func (w networkCalls) Found(ctx context.Context, addr string, call api.FoundCall) (api.FoundAnswer, error) {
	a, err := rpc.Ask(ctx, w.caller, addr, api.Found, call, w.election/2)
	return a, errs.Pass(err, "found")
}

// Join asks a member to add this node.
func (w networkCalls) Join(ctx context.Context, addr string, call api.JoinCall) (api.JoinAnswer, error) {
	a, err := rpc.Ask(ctx, w.caller, addr, api.Join, call, 2*w.election)
	return a, errs.Pass(err, "join")
}

// Propose passes a command to the leader and waits for its result.
func (w networkCalls) Propose(ctx context.Context, addr string, call api.ProposeCall) (api.ProposeAnswer, error) {
	a, err := rpc.Ask(ctx, w.caller, addr, api.Propose, call, proposeWait+w.election)
	return a, errs.Pass(err, "propose")
}

// Confirm asks the leader for an index at which a read is current.
func (w networkCalls) Confirm(ctx context.Context, addr string) (api.ConfirmAnswer, error) {
	a, err := rpc.Ask(ctx, w.caller, addr, api.Confirm, api.ConfirmCall{}, w.election)
	return a, errs.Pass(err, "confirm")
}

// Rollout asks a peer how far the versions of the bundle have come.
func (w networkCalls) Rollout(ctx context.Context, addr string) (api.RolloutAnswer, error) {
	a, err := rpc.Ask(ctx, w.caller, addr, api.Rollout, api.RolloutCall{}, w.election/2)
	return a, errs.Pass(err, "rollout")
}
