package store

import (
	"context"
	"time"

	"crosstide/internal/config"
	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/rpc"
)

// Serve registers the handlers of calls from other control-plane nodes and from data-plane nodes at srv. It must be
// called before srv starts.
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

// handleReadIndex answers internalapi.ReadIndex.
func (s *Store) handleReadIndex(internalapi.ReadIndexCall) (internalapi.ReadIndexAnswer, error) {
	index, err := s.ReadIndex()
	return internalapi.ReadIndexAnswer{Index: index}, errs.Pass(err, "read index")
}

// handleDiscover answers internalapi.Discover.
func (s *Store) handleDiscover(call internalapi.DiscoverCall) (internalapi.DiscoverAnswer, error) {
	return s.BootstrapStatus(call), nil
}

// immediate adapts a function without a context to an rpc handler. The function must return at once or bound its own
// wait.
func immediate[C, A any](serve func(C) (A, error)) func(context.Context, C) (A, error) {
	return func(_ context.Context, call C) (A, error) {
		answer, err := serve(call)
		return answer, errs.Pass(err, "handle a call")
	}
}

// Net makes calls to the control-plane node at an address. Each call ends within its own timeout, or earlier if ctx
// ends; Store.mu must not be held. After an error the call may or may not have been carried out.
type Net interface {
	SendMessages(ctx context.Context, addr string, call internalapi.RaftCall) error
	FetchChunk(ctx context.Context, addr string, call internalapi.ChunkCall) (internalapi.ChunkAnswer, error)
	BootstrapStatus(ctx context.Context, addr string, call internalapi.DiscoverCall) (internalapi.DiscoverAnswer, error)
	Join(ctx context.Context, addr string, call internalapi.JoinCall) (internalapi.JoinAnswer, error)
	Propose(ctx context.Context, addr string, call internalapi.ProposeCall) (internalapi.ProposeAnswer, error)
	ReadIndex(ctx context.Context, addr string) (internalapi.ReadIndexAnswer, error)
	Rollout(ctx context.Context, addr string) (internalapi.RolloutAnswer, error)
}

// NewNet returns a Net that makes its calls through client.
func NewNet(client *rpc.Client, settings config.ControlPlane) Net {
	return networkCalls{client, settings.ElectionTimeout}
}

// networkCalls is Net over RPC. Calls on which an election depends end within half an election timeout.
type networkCalls struct {
	client   *rpc.Client
	election time.Duration
}

// SendMessages sends messages of the replication core to a peer.
func (n networkCalls) SendMessages(ctx context.Context, addr string, call internalapi.RaftCall) error {
	_, err := rpc.Call(ctx, n.client, addr, internalapi.Raft, call, n.election/2)
	return errs.Pass(err, "send raft messages")
}

// FetchChunk returns a chunk of a peer's snapshot.
func (n networkCalls) FetchChunk(ctx context.Context, addr string, call internalapi.ChunkCall) (
	internalapi.ChunkAnswer, error,
) {
	a, err := rpc.Call(ctx, n.client, addr, internalapi.Chunk, call, 2*time.Second)
	return a, errs.Pass(err, "fetch a chunk")
}

// BootstrapStatus asks a node whether its folder is fresh, and for the leader, the members and the commit index that it
// knows.
func (n networkCalls) BootstrapStatus(ctx context.Context, addr string, call internalapi.DiscoverCall) (
	internalapi.DiscoverAnswer, error,
) {
	a, err := rpc.Call(ctx, n.client, addr, internalapi.Discover, call, n.election/2)
	return a, errs.Pass(err, "bootstrap status")
}

// Join asks the leader to bring this node one step closer to being a voter.
func (n networkCalls) Join(ctx context.Context, addr string, call internalapi.JoinCall) (
	internalapi.JoinAnswer, error,
) {
	a, err := rpc.Call(ctx, n.client, addr, internalapi.Join, call, 2*n.election)
	return a, errs.Pass(err, "join")
}

// Propose forwards a command to the leader and returns its outcome.
func (n networkCalls) Propose(ctx context.Context, addr string, call internalapi.ProposeCall) (
	internalapi.ProposeAnswer, error,
) {
	a, err := rpc.Call(ctx, n.client, addr, internalapi.Propose, call, proposeTimeout+n.election)
	return a, errs.Pass(err, "propose")
}

// ReadIndex asks the leader for the index that must be applied before a linearizable read.
func (n networkCalls) ReadIndex(ctx context.Context, addr string) (internalapi.ReadIndexAnswer, error) {
	a, err := rpc.Call(ctx, n.client, addr, internalapi.ReadIndex, internalapi.ReadIndexCall{}, n.election)
	return a, errs.Pass(err, "read index")
}

// Rollout asks a peer which versions of the bundle it and its followers have.
func (n networkCalls) Rollout(ctx context.Context, addr string) (internalapi.RolloutAnswer, error) {
	a, err := rpc.Call(ctx, n.client, addr, internalapi.Rollout, internalapi.RolloutCall{}, n.election/2)
	return a, errs.Pass(err, "rollout")
}
