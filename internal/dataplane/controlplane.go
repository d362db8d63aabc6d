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
	// retryBackoffStep is added to the backoff before each further attempt to reach the leader, up to maxRetryBackoff.
	retryBackoffStep = 10 * time.Millisecond
	maxRetryBackoff  = 200 * time.Millisecond
	// chunkTimeoutFactor is the timeout of fetching a chunk of a snapshot, in multiples of the timeout of other calls.
	chunkTimeoutFactor = 5
)

// controlPlaneClient calls the control plane. It keeps the addresses, the leader, and the node that the replica
// follows. It is safe for concurrent use.
type controlPlaneClient struct {
	caller  *rpc.Client
	clock   clock.Clock
	timeout time.Duration // of a call

	mu           sync.Mutex
	addrs        []string // never empty
	leader       string   // "": unknown
	next         int      // advances by one per address used, round-robin
	followedAddr string   // "": Follow picks the next address
}

// setAddresses replaces the addresses, unless addrs is empty.
func (c *controlPlaneClient) setAddresses(addrs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(addrs) > 0 {
		c.addrs = addrs
	}
}

// leaderAddr returns the address of the leader, or the next address, round-robin, while the leader is unknown.
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

// learnLeader updates the known leader from err, the outcome of a call to the address called. After a success, the node
// there is the leader. errs.NotLeader may name another node. If it names none, or if the call got no answer, and called
// is the known leader's address, then the leader is unknown again. Other failures do not show which node leads.
func (c *controlPlaneClient) learnLeader(called string, err error) {
	failure := errs.Of(err)
	c.mu.Lock()
	defer c.mu.Unlock()
	if failure == nil {
		c.leader = called
		return
	}
	switch failure.Kind {
	case errs.NotLeader:
		if failure.Hint != "" && failure.Hint != called {
			c.leader = failure.Hint
			return
		}
	case errs.Unavailable, errs.Timeout, errs.Stopped:
	default:
		return
	}
	if c.leader == called {
		c.leader = ""
	}
}

// retryPolicy decides after which failures a call to the leader may be repeated.
type retryPolicy int

const (
	// retryUnexecuted is for calls that are not idempotent: they are repeated only if they surely had no effect.
	retryUnexecuted retryPolicy = iota
	// retryIdempotent is for calls that may be executed twice: they are also repeated if there was no answer.
	retryIdempotent
)

// allows reports whether a call that failed with err may be repeated, at the same node or at another.
func (p retryPolicy) allows(err error) bool {
	switch errs.KindOf(err) {
	case errs.NotLeader:
		return true
	case errs.Unavailable, errs.Stopped, errs.Timeout:
		return p == retryIdempotent || rpc.IsUnsent(err)
	}
	return false
}

// callLeader calls the leader, which it looks for if it is unknown. It retries as the policy allows until ctx ends: the
// first time at once, so that following a hint to the leader needs no backoff, then with increasing backoff. timeout
// bounds each attempt.
func callLeader[C, A any](ctx context.Context, c *controlPlaneClient, endpoint rpc.Endpoint[C, A], call C,
	timeout time.Duration, retry retryPolicy) (A, error) {
	for attempt := 0; ; attempt++ {
		addr := c.leaderAddr()
		answer, err := rpc.Call(ctx, c.caller, addr, endpoint, call, timeout)
		c.learnLeader(addr, err)
		if err == nil {
			return answer, nil
		}
		if ctx.Err() != nil || !retry.allows(err) {
			return answer, errs.Pass(err, "call the leader")
		}
		if attempt == 0 {
			continue
		}
		if !clock.Sleep(ctx.Done(), c.clock, min(maxRetryBackoff, time.Duration(attempt)*retryBackoffStep)) {
			return answer, errs.Wrap(err, errs.Unavailable, "no leader of the store found before the deadline")
		}
	}
}

// propose commits a command at the leader.
func (c *controlPlaneClient) propose(ctx context.Context, cmd command.Command,
	retry retryPolicy) (internalapi.ProposeAnswer, error) {
	body, err := json.Marshal(cmd)
	if err != nil {
		return internalapi.ProposeAnswer{}, errs.Wrap(err, errs.Malformed, "encode %s", cmd.Op())
	}
	call := internalapi.ProposeCall{Op: cmd.Op(), Body: body}
	answer, err := callLeader(ctx, c, internalapi.Propose, call, c.timeout, retry)
	return answer, errs.Pass(err, "propose %s", cmd.Op())
}

// Follow calls the same node as long as it answers, and the next one, round-robin, after a failure. It implements
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

// Chunk calls the node that Follow called last, which has the snapshot; others may not. It implements replica.Source.
func (c *controlPlaneClient) Chunk(ctx context.Context, call internalapi.ChunkCall) (internalapi.ChunkAnswer, error) {
	c.mu.Lock()
	addr := c.followedAddr
	c.mu.Unlock()
	if addr == "" {
		return internalapi.ChunkAnswer{}, errs.New(errs.Unavailable, "no control-plane node is followed")
	}
	answer, err := rpc.Call(ctx, c.caller, addr, internalapi.Chunk, call, chunkTimeoutFactor*c.timeout)
	return answer, errs.Pass(err, "fetch chunk from %s", addr)
}
