package store

import (
	"context"
	"time"

	"crosstide/internal/conf"
	"crosstide/internal/fault"
	"crosstide/internal/pair"
	"crosstide/internal/wire"
)

// Serve answers the calls of the other cplanes and of the dplanes at srv; call it before srv starts.
func (s *Store) Serve(srv *wire.Server) {
	wire.Handle(srv, pair.Quorum, func(_ context.Context, c pair.QuorumCall) (pair.QuorumAnswer, error) {
		s.Step(c)
		return pair.QuorumAnswer{}, nil
	})
	wire.Handle(srv, pair.Propose, s.propose)
	wire.Handle(srv, pair.Confirm, func(context.Context, pair.ConfirmCall) (pair.ConfirmAnswer, error) {
		index, err := s.Confirm()
		return pair.ConfirmAnswer{Index: index}, fault.Pass(err, "call")
	})
	wire.Handle(srv, pair.Follow, s.Follow)
	wire.Handle(srv, pair.Chunk, func(_ context.Context, c pair.ChunkCall) (pair.ChunkAnswer, error) {
		a, err := s.Chunk(c)
		return a, fault.Pass(err, "call")
	})
	wire.Handle(srv, pair.Duty, s.Duty)
	wire.Handle(srv, pair.Status, func(context.Context, pair.StatusCall) (pair.StatusAnswer, error) { return s.Status(), nil })
	wire.Handle(srv, pair.Found, func(_ context.Context, c pair.FoundCall) (pair.FoundAnswer, error) { return s.Found(c), nil })
	wire.Handle(srv, pair.Join, s.Join)
	wire.Handle(srv, pair.Rollout, func(context.Context, pair.RolloutCall) (pair.RolloutAnswer, error) { return s.rollout(), nil })
}

// Wire is the Net of a daemon.
func Wire(k *wire.Caller, set conf.Cplane) Net { return wired{k, set.Election} }

type wired struct {
	k        *wire.Caller
	election time.Duration
}

func (w wired) Quorum(ctx context.Context, addr string, call pair.QuorumCall) error {
	_, err := wire.Ask(ctx, w.k, addr, pair.Quorum, call, w.election/2)
	return fault.Pass(err, "quorum")
}

func (w wired) Chunk(ctx context.Context, addr string, call pair.ChunkCall) (pair.ChunkAnswer, error) {
	a, err := wire.Ask(ctx, w.k, addr, pair.Chunk, call, 2*time.Second)
	return a, fault.Pass(err, "chunk")
}

func (w wired) Found(ctx context.Context, addr string, call pair.FoundCall) (pair.FoundAnswer, error) {
	a, err := wire.Ask(ctx, w.k, addr, pair.Found, call, w.election/2)
	return a, fault.Pass(err, "found")
}

func (w wired) Join(ctx context.Context, addr string, call pair.JoinCall) (pair.JoinAnswer, error) {
	a, err := wire.Ask(ctx, w.k, addr, pair.Join, call, 2*w.election)
	return a, fault.Pass(err, "join")
}

func (w wired) Propose(ctx context.Context, addr string, call pair.ProposeCall) (pair.ProposeAnswer, error) {
	a, err := wire.Ask(ctx, w.k, addr, pair.Propose, call, proposeWait+w.election)
	return a, fault.Pass(err, "propose")
}

func (w wired) Confirm(ctx context.Context, addr string) (pair.ConfirmAnswer, error) {
	a, err := wire.Ask(ctx, w.k, addr, pair.Confirm, pair.ConfirmCall{}, w.election)
	return a, fault.Pass(err, "confirm")
}

func (w wired) Rollout(ctx context.Context, addr string) (pair.RolloutAnswer, error) {
	a, err := wire.Ask(ctx, w.k, addr, pair.Rollout, pair.RolloutCall{}, w.election/2)
	return a, fault.Pass(err, "rollout")
}
