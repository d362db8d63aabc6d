package store

import (
	"context"
	"time"

	"crosstide/internal/config"
	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/rpc"
)

// Serve answers the calls of other control-plane nodes and of data planes at srv; call it before srv starts.
func (s *Store) Serve(srv *rpc.Server) {
	rpc.Handle(srv, internalapi.Propose, s.handlePropose)
	rpc.Handle(srv, internalapi.Follow, s.Follow)
	rpc.Handle(srv, internalapi.ClaimRole, s.ClaimRole)
	rpc.Handle(srv, internalapi.Join, s.Join)
	rpc.Handle(srv, internalapi.Chunk, immediate(s.Chunk))
	rpc.Handle(srv, internalapi.Raft, immediate(func(c internalapi.RaftCall) (internalapi.RaftAnswer, error) {
		s.Step(c)
		return internalapi.RaftAnswer{}, nil
	}))
	rpc.Handle(srv, internalapi.ReadIndex, immediate(s.handleReadIndex))
	rpc.Handle(srv, internalapi.Status, immediate(func(internalapi.StatusCall) (internalapi.StatusAnswer, error) {
		return s.Status(), nil
	}))
	rpc.Handle(srv, internalapi.Discover, immediate(s.handleDiscover))
	rpc.Handle(srv, internalapi.Rollout, immediate(func(internalapi.RolloutCall) (internalapi.RolloutAnswer, error) {
		return s.localRollout(), nil
	}))
}

func (s *Store) handleReadIndex(internalapi.ReadIndexCall) (internalapi.ReadIndexAnswer, error) {
	index, err := s.ReadIndex()
	return internalapi.ReadIndexAnswer{Index: index}, errs.Pass(err, "read index")
}

func (s *Store) handleDiscover(call internalapi.DiscoverCall) (internalapi.DiscoverAnswer, error) {
	return s.BootstrapStatus(call), nil
}

// immediate makes a handler of a function that needs no context: it waits for nothing, or within bounds of its own.
func immediate[C, A any](serve func(C) (A, error)) func(context.Context, C) (A, error) {
	return func(_ context.Context, call C) (A, error) {
		answer, err := serve(call)
		return answer, errs.Pass(err, "call")
	}
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

// NetworkOf returns the Net of a daemon, over its client.
func NetworkOf(client *rpc.Client, settings config.ControlPlane) Net {
	return networkCalls{client, settings.Election}
}

// networkCalls is Net over RPC. Calls on which an election depends end within half an election time-out.
type networkCalls struct {
	client   *rpc.Client
	election time.Duration
}

// SendMessages sends messages of the replication core to a peer.
func (n networkCalls) SendMessages(ctx context.Context, addr string, call internalapi.RaftCall) error {
	_, err := rpc.Call(ctx, n.client, addr, internalapi.Raft, call, n.election/2)
	return errs.Pass(err, "quorum")
}

// FetchChunk gets a part of a peer's snapshot.
func (n networkCalls) FetchChunk(ctx context.Context, addr string, call internalapi.ChunkCall) (
	internalapi.ChunkAnswer, error,
) {
	a, err := rpc.Call(ctx, n.client, addr, internalapi.Chunk, call, 2*time.Second)
	return a, errs.Pass(err, "chunk")
}

// BootstrapStatus asks a peer whether it is fresh, and what it knows of the fleet.
func (n networkCalls) BootstrapStatus(ctx context.Context, addr string, call internalapi.DiscoverCall) (
	internalapi.DiscoverAnswer, error,
) {
	a, err := rpc.Call(ctx, n.client, addr, internalapi.Discover, call, n.election/2)
	return a, errs.Pass(err, "found")
}

// Join asks a member to add this node.
func (n networkCalls) Join(ctx context.Context, addr string, call internalapi.JoinCall) (
	internalapi.JoinAnswer, error,
) {
	a, err := rpc.Call(ctx, n.client, addr, internalapi.Join, call, 2*n.election)
	return a, errs.Pass(err, "join")
}

// Propose passes a command to the leader and waits for its result.
func (n networkCalls) Propose(ctx context.Context, addr string, call internalapi.ProposeCall) (
	internalapi.ProposeAnswer, error,
) {
	a, err := rpc.Call(ctx, n.client, addr, internalapi.Propose, call, proposeTimeout+n.election)
	return a, errs.Pass(err, "propose")
}

// ReadIndex asks the leader for an index that a linearizable read must wait for.
func (n networkCalls) ReadIndex(ctx context.Context, addr string) (internalapi.ReadIndexAnswer, error) {
	a, err := rpc.Call(ctx, n.client, addr, internalapi.ReadIndex, internalapi.ReadIndexCall{}, n.election)
	return a, errs.Pass(err, "confirm")
}

// Rollout asks a peer which versions of the bundle it and its followers have.
func (n networkCalls) Rollout(ctx context.Context, addr string) (internalapi.RolloutAnswer, error) {
	a, err := rpc.Call(ctx, n.client, addr, internalapi.Rollout, internalapi.RolloutCall{}, n.election/2)
	return a, errs.Pass(err, "rollout")
}
