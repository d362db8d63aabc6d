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

// coreClient calls the cplanes: it knows their addresses, the last leader, and the one that the replica follows.
type coreClient struct {
	caller *rpc.Client
	within time.Duration

	mu     sync.Mutex
	addrs  []string
	leader string
	next   int
	source string
}

// setAddresses replaces the addresses; an empty list leaves them as they are.
func (c *coreClient) setAddresses(addrs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(addrs) > 0 {
		c.addrs = addrs
	}
}

func (c *coreClient) lead() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == "" {
		c.next++
		return c.addrs[c.next%len(c.addrs)]
	}
	return c.leader
}

// learn takes the hint of a failure, or forgets the leader that did not answer.
func (c *coreClient) learn(asked string, err error) {
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

// elsewhere reports whether a call that ended in err may be tried at another cplane: it surely did nothing, or it may
// be repeated.
func elsewhere(err error, again bool) bool {
	switch errs.KindOf(err) {
	case errs.NotLeader:
		return true
	case errs.Unavailable, errs.Stopped, errs.Timeout:
		return again || rpc.IsUnsent(err)
	}
	return false
}

// toLeader asks the leader, wherever it is, until ctx ends. again: the call may be repeated.
func toLeader[C, A any](ctx context.Context, c *coreClient, n *Node, p rpc.Endpoint[C, A], call C, within time.Duration, again bool) (A, error) {
	for try := 0; ; try++ {
		addr := c.lead()
		a, err := rpc.Call(ctx, c.caller, addr, p, call, within)
		c.learn(addr, err)
		if err == nil {
			return a, nil
		}
		if ctx.Err() != nil || !elsewhere(err, again) {
			return a, errs.Pass(err, "ask the leader")
		}
		if try > 0 {
			if werr := n.pause(ctx, min(200*time.Millisecond, time.Duration(try)*10*time.Millisecond)); werr != nil {
				return a, errs.Wrap(err, errs.Unavailable, "no leader of the store found in time")
			}
		}
	}
}

func (c *coreClient) propose(ctx context.Context, n *Node, cmd command.Command, again bool) (internalapi.ProposeAnswer, error) {
	body, err := json.Marshal(cmd)
	if err != nil {
		return internalapi.ProposeAnswer{}, errs.Wrap(err, errs.Malformed, "encode %s", cmd.Op())
	}
	a, err := toLeader(ctx, c, n, internalapi.Propose, internalapi.ProposeCall{Op: cmd.Op(), Body: body}, c.within, again)
	return a, errs.Pass(err, "propose %s", cmd.Op())
}

// Follow asks the cplane it asked last, and another one after a failure.
func (c *coreClient) Follow(ctx context.Context, call internalapi.FollowCall) (internalapi.FollowAnswer, error) {
	c.mu.Lock()
	if c.source == "" {
		c.next++
		c.source = c.addrs[c.next%len(c.addrs)]
	}
	addr := c.source
	c.mu.Unlock()
	a, err := rpc.Call(ctx, c.caller, addr, internalapi.Follow, call, call.Wait+c.within)
	if err != nil {
		c.mu.Lock()
		c.source = ""
		c.mu.Unlock()
	}
	return a, errs.Pass(err, "follow %s", addr)
}

// Chunk asks the cplane that is followed.
func (c *coreClient) Chunk(ctx context.Context, call internalapi.ChunkCall) (internalapi.ChunkAnswer, error) {
	c.mu.Lock()
	addr := c.source
	c.mu.Unlock()
	if addr == "" {
		return internalapi.ChunkAnswer{}, errs.New(errs.Unavailable, "no cplane is followed")
	}
	a, err := rpc.Call(ctx, c.caller, addr, internalapi.Chunk, call, 5*c.within)
	return a, errs.Pass(err, "chunk from %s", addr)
}
