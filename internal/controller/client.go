package controller

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/routine"
	"crosstide/internal/rpc"
)

const (
	defaultAttemptTimeout = 700 * time.Millisecond
	readyWindow           = 2500 * time.Millisecond // a client is ready for this long after a leader's answer
	probeInterval         = time.Second             // between probes while no call reaches the leader
	memberListInterval    = 10 * time.Second        // between probes for the member list while calls reach the leader
)

// ClientOptions are the settings of a Client. Caller and Seeds are required.
type ClientOptions struct {
	Caller         *rpc.Client
	Seeds          []string      // internal addresses of control-plane nodes to try in addition to the known members
	Self           string        // own internal address on a control-plane node, "" elsewhere; called only after a hint
	Clock          clock.Clock   // default clock.Real
	Logger         log.Logger    // default: no logging
	AttemptTimeout time.Duration // timeout of one attempt of a call, default 700ms
	// OnLimits is called with the limits of the configuration each time when the leader has listed the members; nil: no
	// calls.
	OnLimits func(limits json.RawMessage)
}

// Client calls the store's leader. It caches the leader and the members, follows a node's hint to the leader and, if a
// node fails, tries the others in rotation until shortly before the deadline of the call's ctx. Its errors are:
//
//   - the leader's refusal, of kind errs.Unknown, Invalid, Malformed, TooLarge, Conflict, Stale, Forbidden or
//     Overloaded: the call was not executed and never will be;
//   - errs.Unavailable: likewise not executed;
//   - errs.Timeout: the outcome is unknown: the call may have been executed, or may still be.
//
// It is safe for concurrent use.
type Client struct {
	opt       ClientOptions
	directory *directory
	contacts  *contactLog
	group     *routine.Group // runs watchLeader

	// Replaced by tests.
	send  func(ctx context.Context, addr string, req request, answer any, timeout time.Duration) reply
	sleep func(ctx context.Context, d time.Duration)
}

// NewClient returns a client that is ready for calls. Start lets it find the leader before the first call. Example:
//
//	client := controller.NewClient(controller.ClientOptions{Caller: caller, Seeds: seeds})
//	client.Start()
//	defer client.Stop()
//	answer, err := client.Submit(ctx, call)
func NewClient(opt ClientOptions) *Client {
	if opt.Clock == nil {
		opt.Clock = clock.Real{}
	}
	if opt.Logger == nil {
		opt.Logger = log.NewNopLogger()
	}
	if opt.OnLimits == nil {
		opt.OnLimits = func(json.RawMessage) {}
	}
	if opt.AttemptTimeout <= 0 {
		opt.AttemptTimeout = defaultAttemptTimeout
	}
	c := &Client{
		opt:       opt,
		directory: newDirectory(opt.Self, opt.Seeds),
		contacts:  newContactLog(opt.Clock),
		group:     routine.New(context.Background()),
	}
	c.send, c.sleep = c.sendRPC, c.sleepOnClock
	return c
}

// SetSeeds replaces the seeds.
func (c *Client) SetSeeds(seeds []string) { c.directory.setSeeds(seeds) }

// Hint makes the client presume that the node at the given address is the leader. It has no effect if the address is
// empty or has failed within the last failureBackoff.
func (c *Client) Hint(leader string) { c.directory.followHint("", leader, c.opt.Clock.Now()) }

// Start begins to probe for the leader, which keeps Ready up to date and saves calls the search. Call it once.
func (c *Client) Start() { c.group.Go(c.watchLeader) }

// Stop ends the probes. Calls remain possible.
func (c *Client) Stop() { c.group.Stop() }

// Ready returns nil if a leader has answered within readyWindow, else errs.Unavailable.
func (c *Client) Ready() error { return errs.Pass(c.CheckLeader(readyWindow), "core") }

// CheckLeader returns nil if a leader has answered within the last maxAge, else errs.Unavailable.
func (c *Client) CheckLeader(maxAge time.Duration) error {
	if c.contacts.isRecent(contactLeader, maxAge) {
		return nil
	}
	return errs.New(errs.Unavailable, "no answer from a control-plane leader for %s", maxAge)
}

// watchLeader probes for the leader if no call has reached it within probeInterval, and logs when it becomes reachable
// or unreachable.
func (c *Client) watchLeader(ctx context.Context) {
	wasReady := false
	for ctx.Err() == nil {
		if !c.contacts.isRecent(contactLeader, probeInterval) ||
			!c.contacts.isRecent(contactMembers, memberListInterval) {
			c.probe(ctx)
		}
		if isReady := c.Ready() == nil; isReady != wasReady {
			wasReady = isReady
			_ = level.Info(c.opt.Logger).Log("msg", "leader reachability changed", "answers", isReady)
		}
		c.sleep(ctx, probeInterval)
	}
}

// probe finds the leader and requests the member list from it. A failed probe is not retried before the next is due.
func (c *Client) probe(ctx context.Context) {
	_, err := callEndpoint(ctx, c, TopologyEndpoint, TopologyCall{}, request{timeout: probeInterval, leaderOnly: true})
	if err != nil {
		_ = level.Debug(c.opt.Logger).Log("msg", "leader probe failed", "err", err)
	}
}

func (c *Client) sleepOnClock(ctx context.Context, d time.Duration) { sleep(ctx, c.opt.Clock, d) }
