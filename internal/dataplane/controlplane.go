package dataplane

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/rpc"
	"crosstide/internal/state/command"
)

const (
	// retryStep is added to the pause before each further attempt to reach the leader, up to maxRetryPause.
	retryStep     = 10 * time.Millisecond
	maxRetryPause = 200 * time.Millisecond
	// chunkTimeouts is how many times the timeout of a call one chunk of a snapshot may take.
	chunkTimeouts = 5
)

// controlPlaneClient calls the control plane. It remembers the addresses, the leader, and the node that the replica
// follows. It is safe for concurrent use.
type controlPlaneClient struct {
	caller  *rpc.Client
	clock   clock.Clock
	timeout time.Duration // of a call

	mu           sync.Mutex
	addrs        []string // never empty
	leader       string   // "": unknown
	next         int      // counts the addresses tried in turn
	followedAddr string   // "": the next one in turn
}

// setAddresses replaces the addresses; an empty list leaves them as they are.
func (c *controlPlaneClient) setAddresses(addrs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(addrs) > 0 {
		c.addrs = addrs
	}
}

// leaderAddr returns the address of the leader, or of the next node in turn while the leader is unknown.
func (c *controlPlaneClient) leaderAddr() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == "" {
		return c.nextAddrLocked()
	}
	return c.leader
}

func (c *controlPlaneClient) nextAddrLocked() string {
	c.next++
	return c.addrs[c.next%len(c.addrs)]
}

// learnLeader updates the known leader from the outcome of a call to the node asked. After a success it
// is the leader. NotLeader may name another node; without a name, and after a call without an answer, the leader is
// unknown again if asked was taken for it. Other failures say nothing about who leads.
func (c *controlPlaneClient) learnLeader(asked string, err error) {
	failure := errs.Of(err)
	c.mu.Lock()
	defer c.mu.Unlock()
	if failure == nil {
		c.leader = asked
		return
	}
	switch failure.Kind {
	case errs.NotLeader:
		if failure.Hint != "" && failure.Hint != asked {
			c.leader = failure.Hint
			return
		}
	case errs.Unavailable, errs.Timeout, errs.Stopped:
	default:
		return
	}
	if c.leader == asked {
		c.leader = ""
	}
}

// retryRule is after which failures a call to the leader may be made again.
type retryRule int

const (
	// retryUndone is for calls that are not idempotent: only one that surely did nothing is made again.
	retryUndone retryRule = iota
	// retryIdempotent is for calls that may be carried out twice: one without an answer is made again too.
	retryIdempotent
)

// allows reports whether a call that ended in err may be made again, at the same node or at another.
func (r retryRule) allows(err error) bool {
	switch errs.KindOf(err) {
	case errs.NotLeader:
		return true
	case errs.Unavailable, errs.Stopped, errs.Timeout:
		return r == retryIdempotent || rpc.IsUnsent(err)
	}
	return false
}

// callLeader calls the leader, wherever it is. It retries by the rule until ctx ends: at once the first time, so that a
// hint to the leader costs no pause, then with growing pauses. timeout is that of one attempt.
func callLeader[C, A any](ctx context.Context, c *controlPlaneClient, endpoint rpc.Endpoint[C, A], call C,
	timeout time.Duration, retry retryRule) (A, error) {
	for attempt := 0; ; attempt++ {
		addr := c.leaderAddr()
		answer, err := rpc.Call(ctx, c.caller, addr, endpoint, call, timeout)
		c.learnLeader(addr, err)
		if err == nil {
			return answer, nil
		}
		if ctx.Err() != nil || !retry.allows(err) {
			return answer, errs.Pass(err, "ask the leader")
		}
		if attempt == 0 {
			continue
		}
		if !clock.Sleep(ctx.Done(), c.clock, min(maxRetryPause, time.Duration(attempt)*retryStep)) {
			return answer, errs.Wrap(err, errs.Unavailable, "no leader of the store found in time")
		}
	}
}

// propose commits a command at the leader.
func (c *controlPlaneClient) propose(ctx context.Context, cmd command.Command,
	retry retryRule) (internalapi.ProposeAnswer, error) {
	body, err := json.Marshal(cmd)
	if err != nil {
		return internalapi.ProposeAnswer{}, errs.Wrap(err, errs.Malformed, "encode %s", cmd.Op())
	}
	call := internalapi.ProposeCall{Op: cmd.Op(), Body: body}
	answer, err := callLeader(ctx, c, internalapi.Propose, call, c.timeout, retry)
	return answer, errs.Pass(err, "propose %s", cmd.Op())
}

// Follow calls the same node as long as that answers, and the next one in turn after a failure. It is part of
// replica.Source.
func (c *controlPlaneClient) Follow(ctx context.Context, call internalapi.FollowCall) (internalapi.FollowAnswer,
	error) {
	c.mu.Lock()
	if c.followedAddr == "" {
		c.followedAddr = c.nextAddrLocked()
	}
	addr := c.followedAddr
	c.mu.Unlock()
	answer, err := rpc.Call(ctx, c.caller, addr, internalapi.Follow, call, call.Wait+c.timeout)
	if err != nil {
		c.mu.Lock()
		c.followedAddr = ""
		c.mu.Unlock()
	}
	return answer, errs.Pass(err, "follow %s", addr)
}

// Chunk calls the node that Follow called last: only that one surely has the snapshot. It is part of replica.Source.
func (c *controlPlaneClient) Chunk(ctx context.Context, call internalapi.ChunkCall) (internalapi.ChunkAnswer, error) {
	c.mu.Lock()
	addr := c.followedAddr
	c.mu.Unlock()
	if addr == "" {
		return internalapi.ChunkAnswer{}, errs.New(errs.Unavailable, "no cplane is followed")
	}
	answer, err := rpc.Call(ctx, c.caller, addr, internalapi.Chunk, call, chunkTimeouts*c.timeout)
	return answer, errs.Pass(err, "chunk from %s", addr)
}
