package store

import (
	"context"

	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
)

// testNet is the Net of one node of a test fleet. It calls the stores of the other nodes directly.
type testNet struct {
	fleet *testFleet
	from  string
}

// callNode calls do with the store at an address. It fails with Timeout if a partition separates the nodes, and with
// Unavailable if the node is down.
func callNode[A any](ctx context.Context, n testNet, addr string, do func(s *Store) (A, error)) (A, error) {
	n.fleet.mu.Lock()
	s, isPartitioned := n.fleet.nodes[addr], n.fleet.partitioned[addr] || n.fleet.partitioned[n.from]
	n.fleet.mu.Unlock()
	var zero A
	if isPartitioned {
		timedOut := make(chan struct{})
		defer n.fleet.clock.Set(n.fleet.settings.ElectionTimeout/2, func() { close(timedOut) }).Stop()
		select {
		case <-timedOut:
		case <-ctx.Done():
		}
		return zero, errs.New(errs.Timeout, "%s does not answer", addr)
	}
	if s == nil {
		return zero, errs.New(errs.Unavailable, "%s is down", addr)
	}
	return do(s)
}

func (n testNet) SendMessages(ctx context.Context, addr string, c internalapi.RaftCall) error {
	_, err := callNode(ctx, n, addr, func(s *Store) (int, error) { s.Step(c); return 0, nil })
	return err
}

func (n testNet) FetchChunk(ctx context.Context, addr string, c internalapi.ChunkCall) (
	internalapi.ChunkAnswer, error,
) {
	c.Max = 1000 // so that a snapshot takes many chunks
	return callNode(ctx, n, addr, func(s *Store) (internalapi.ChunkAnswer, error) { return s.Chunk(c) })
}

func (n testNet) BootstrapStatus(ctx context.Context, addr string, c internalapi.DiscoverCall) (
	internalapi.DiscoverAnswer, error,
) {
	return callNode(ctx, n, addr, func(s *Store) (internalapi.DiscoverAnswer, error) { return s.BootstrapStatus(c), nil })
}

func (n testNet) Join(ctx context.Context, addr string, c internalapi.JoinCall) (internalapi.JoinAnswer, error) {
	return callNode(ctx, n, addr, func(s *Store) (internalapi.JoinAnswer, error) { return s.Join(ctx, c) })
}

func (n testNet) Propose(ctx context.Context, addr string, c internalapi.ProposeCall) (
	internalapi.ProposeAnswer, error,
) {
	return callNode(ctx, n, addr, func(s *Store) (internalapi.ProposeAnswer, error) { return s.handlePropose(ctx, c) })
}

func (n testNet) Rollout(ctx context.Context, addr string) (internalapi.RolloutAnswer, error) {
	return callNode(ctx, n, addr, func(s *Store) (internalapi.RolloutAnswer, error) { return s.localRollout(), nil })
}

func (n testNet) ReadIndex(ctx context.Context, addr string) (internalapi.ReadIndexAnswer, error) {
	return callNode(ctx, n, addr, func(s *Store) (internalapi.ReadIndexAnswer, error) {
		i, err := s.ReadIndex()
		return internalapi.ReadIndexAnswer{Index: i}, err
	})
}
