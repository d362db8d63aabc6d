package dataplane

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/rpc"
	"crosstide/internal/state/command"
)

// controlPlaneClient calls the cplanes: it knows their addresses, the last leader, and the one that the replica follows.
type controlPlaneClient struct {
	caller  *rpc.Client
	timeout time.Duration

	mu           sync.Mutex
	addrs        []string
	leader       string
	next         int
	followedAddr string
}

// setAddresses replaces the addresses; an empty list leaves them as they are.
func (c *controlPlaneClient) setAddresses(addrs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(addrs) > 0 {
		c.addrs = addrs
	}
}

func (c *controlPlaneClient) leaderAddr() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == "" {
		c.next++
		return c.addrs[c.next%len(c.addrs)]
	}
	return c.leader
}

// learnLeader takes the hint of a failure, or forgets the leader that did not answer.
func (c *controlPlaneClient) learnLeader(asked string, err error) {
	f := errs.Of(err)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case f == nil:
		c.leader = asked
	case f.Kind == errs.NotLeader && f.Hint != "" && f.Hint != asked:
		c.leader = f.Hint
	case c.leader == asked && (f.Kind == errs.NotLeader || f.Kind == errs.Unavailable || f.Kind == errs.Timeout || f.Kind == errs.Stopped):
		c.leader = ""
	}
}

// mayRetryElsewhere reports whether a call that ended in err may be tried at another cplane: it surely did nothing, or it may
// be repeated.
func mayRetryElsewhere(err error, idempotent bool) bool {
	switch errs.KindOf(err) {
	case errs.NotLeader:
		return true
	case errs.Unavailable, errs.Stopped, errs.Timeout:
		return idempotent || rpc.IsUnsent(err)
	}
	return false
}

// askLeader asks the leader, wherever it is, until ctx ends. again: the call may be repeated.
func askLeader[C, A any](ctx context.Context, c *controlPlaneClient, n *Node, p rpc.Endpoint[C, A], call C, timeout time.Duration, idempotent bool) (A, error) {
	for attempt := 0; ; attempt++ {
		addr := c.leaderAddr()
		a, err := rpc.Call(ctx, c.caller, addr, p, call, timeout)
		c.learnLeader(addr, err)
		if err == nil {
			return a, nil
		}
		if ctx.Err() != nil || !mayRetryElsewhere(err, idempotent) {
			return a, errs.Pass(err, "ask the leader")
		}
		if attempt > 0 {
			if werr := n.pause(ctx, min(200*time.Millisecond, time.Duration(attempt)*10*time.Millisecond)); werr != nil {
				return a, errs.Wrap(err, errs.Unavailable, "no leader of the store found in time")
			}
		}
	}
}

func (c *controlPlaneClient) propose(ctx context.Context, n *Node, cmd command.Command, idempotent bool) (internalapi.ProposeAnswer, error) {
	body, err := json.Marshal(cmd)
	if err != nil {
		return internalapi.ProposeAnswer{}, errs.Wrap(err, errs.Malformed, "encode %s", cmd.Op())
	}
	a, err := askLeader(ctx, c, n, internalapi.Propose, internalapi.ProposeCall{Op: cmd.Op(), Body: body}, c.timeout, idempotent)
	return a, errs.Pass(err, "propose %s", cmd.Op())
}

// Follow asks the cplane it asked last, and another one after a failure.
func (c *controlPlaneClient) Follow(ctx context.Context, call internalapi.FollowCall) (internalapi.FollowAnswer, error) {
	c.mu.Lock()
	if c.followedAddr == "" {
		c.next++
		c.followedAddr = c.addrs[c.next%len(c.addrs)]
	}
	addr := c.followedAddr
	c.mu.Unlock()
	a, err := rpc.Call(ctx, c.caller, addr, internalapi.Follow, call, call.Wait+c.timeout)
	if err != nil {
		c.mu.Lock()
		c.followedAddr = ""
		c.mu.Unlock()
	}
	return a, errs.Pass(err, "follow %s", addr)
}

// Chunk asks the cplane that is followed.
func (c *controlPlaneClient) Chunk(ctx context.Context, call internalapi.ChunkCall) (internalapi.ChunkAnswer, error) {
	c.mu.Lock()
	addr := c.followedAddr
	c.mu.Unlock()
	if addr == "" {
		return internalapi.ChunkAnswer{}, errs.New(errs.Unavailable, "no cplane is followed")
	}
	a, err := rpc.Call(ctx, c.caller, addr, internalapi.Chunk, call, 5*c.timeout)
	return a, errs.Pass(err, "chunk from %s", addr)
}
