package plane

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"crosstide/internal/fault"
	"crosstide/internal/pair"
	"crosstide/internal/state/command"
	"crosstide/internal/wire"
)

// core is the way to the cplanes: it knows their addresses, who led last, and whom the replica follows.
type core struct {
	caller *wire.Caller
	within time.Duration

	mu     sync.Mutex
	addrs  []string
	leader string
	next   int
	source string
}

// know replaces the addresses; none given leaves them as they are.
func (c *core) know(addrs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(addrs) > 0 {
		c.addrs = addrs
	}
}

func (c *core) lead() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == "" {
		c.next++
		return c.addrs[c.next%len(c.addrs)]
	}
	return c.leader
}

// learn takes the hint of a fault, or forgets the leader that did not answer.
func (c *core) learn(asked string, err error) {
	f := fault.Of(err)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case f == nil:
		c.leader = asked
	case f.Kind == fault.NotLeader && f.Hint != "" && f.Hint != asked:
		c.leader = f.Hint
	case c.leader == asked && (f.Kind == fault.NotLeader || f.Kind == fault.Unavailable || f.Kind == fault.Timeout || f.Kind == fault.Stopped):
		c.leader = ""
	}
}

// elsewhere tells whether a call that ended in err may be tried at another cplane: it surely did nothing, or it may
// be repeated.
func elsewhere(err error, again bool) bool {
	switch fault.KindOf(err) {
	case fault.NotLeader:
		return true
	case fault.Unavailable, fault.Stopped, fault.Timeout:
		return again || wire.Unsent(err)
	}
	return false
}

// toLeader asks the leader, wherever it is, until ctx ends. again: the call may be repeated.
func toLeader[C, A any](ctx context.Context, c *core, n *Node, p wire.Pair[C, A], call C, within time.Duration, again bool) (A, error) {
	for try := 0; ; try++ {
		addr := c.lead()
		a, err := wire.Ask(ctx, c.caller, addr, p, call, within)
		c.learn(addr, err)
		if err == nil {
			return a, nil
		}
		if ctx.Err() != nil || !elsewhere(err, again) {
			return a, fault.Pass(err, "ask the leader")
		}
		if try > 0 {
			if werr := n.pause(ctx, min(200*time.Millisecond, time.Duration(try)*10*time.Millisecond)); werr != nil {
				return a, fault.Wrap(err, fault.Unavailable, "no leader of the store found in time")
			}
		}
	}
}

func (c *core) propose(ctx context.Context, n *Node, cmd command.Command, again bool) (pair.ProposeAnswer, error) {
	body, err := json.Marshal(cmd)
	if err != nil {
		return pair.ProposeAnswer{}, fault.Wrap(err, fault.Malformed, "encode %s", cmd.Op())
	}
	a, err := toLeader(ctx, c, n, pair.Propose, pair.ProposeCall{Op: cmd.Op(), Body: body}, c.within, again)
	return a, fault.Pass(err, "propose %s", cmd.Op())
}

// Follow asks the cplane it asked last, and another one after a fault.
func (c *core) Follow(ctx context.Context, call pair.FollowCall) (pair.FollowAnswer, error) {
	c.mu.Lock()
	if c.source == "" {
		c.next++
		c.source = c.addrs[c.next%len(c.addrs)]
	}
	addr := c.source
	c.mu.Unlock()
	a, err := wire.Ask(ctx, c.caller, addr, pair.Follow, call, call.Wait+c.within)
	if err != nil {
		c.mu.Lock()
		c.source = ""
		c.mu.Unlock()
	}
	return a, fault.Pass(err, "follow %s", addr)
}

// Chunk asks the cplane that is followed.
func (c *core) Chunk(ctx context.Context, call pair.ChunkCall) (pair.ChunkAnswer, error) {
	c.mu.Lock()
	addr := c.source
	c.mu.Unlock()
	if addr == "" {
		return pair.ChunkAnswer{}, fault.New(fault.Unavailable, "no cplane is followed")
	}
	a, err := wire.Ask(ctx, c.caller, addr, pair.Chunk, call, 5*c.within)
	return a, fault.Pass(err, "chunk from %s", addr)
}
