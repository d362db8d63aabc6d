package controller

import (
	"context"
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
	readyWindow           = 2500 * time.Millisecond // how long a leader's answer keeps the client ready
	probeInterval         = time.Second             // between probes while no call has reached the leader
	memberListInterval    = 10 * time.Second        // between probes for the members while calls reach the leader
)

// ClientOptions are the settings of a Client. Caller and Seeds are required.
type ClientOptions struct {
	Caller  *rpc.Client
	Seeds   []string      // internal addresses of control-plane nodes that are asked beside the known members
	Self    string        // own internal address if the client runs on a control-plane node: asked only after a hint
	Clock   clock.Clock   // default clock.Real
	Logger  log.Logger    // default: no logging
	Attempt time.Duration // timeout of one attempt of a call, default 700ms
}

// Client calls the store's leader. It remembers the leader and the members, follows a node's hint to the leader and
// tries the others in rotation when a node fails, until the deadline of the call's ctx nears. Its errors are
//
//   - the leader's refusal, of kind errs.Unknown, Invalid, Malformed, TooLarge, Conflict, Stale, Forbidden or
//     Overloaded: the call was surely not carried out;
//   - errs.Unavailable: it was surely not carried out;
//   - errs.Timeout: it may or may not have been carried out, or may be yet.
//
// It is safe for concurrent use.
type Client struct {
	opt       ClientOptions
	directory *directory
	contacts  *contactLog
	group     *routine.Group // the probes

	// Replaced by tests.
	ask   func(ctx context.Context, addr string, q query, answer any, timeout time.Duration) reply
	sleep func(ctx context.Context, d time.Duration)
}

// NewClient makes a client. It can be used at once; Start makes it look for the leader before the first call. Example:
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
	if opt.Attempt <= 0 {
		opt.Attempt = defaultAttemptTimeout
	}
	c := &Client{
		opt:       opt,
		directory: newDirectory(opt.Self, opt.Seeds),
		contacts:  newContactLog(opt.Clock),
		group:     routine.New(context.Background()),
	}
	c.ask, c.sleep = c.askRPC, c.sleepOnClock
	return c
}

// SetSeeds replaces the seeds.
func (c *Client) SetSeeds(seeds []string) { c.directory.setSeeds(seeds) }

// Hint makes the client try an address as the leader's next, one that its caller has learnt; "" changes nothing.
func (c *Client) Hint(leader string) { c.directory.followHint("", leader, c.opt.Clock.Now()) }

// Start begins to probe for the leader, so that Ready is up to date and calls need not search. Call it once.
func (c *Client) Start() { c.group.Go(c.watchLeader) }

// Stop ends the probes. Calls may go on.
func (c *Client) Stop() { c.group.Stop() }

// Ready returns nil if a leader has answered within readyWindow, else errs.Unavailable.
func (c *Client) Ready() error { return errs.Pass(c.CheckLeader(readyWindow), "core") }

// CheckLeader returns nil if a leader has answered within the last maxAge, else errs.Unavailable.
func (c *Client) CheckLeader(maxAge time.Duration) error {
	if c.contacts.isRecent(contactLeader, maxAge) {
		return nil
	}
	return errs.New(errs.Unavailable, "no leader of the core has answered for %s", maxAge)
}

// watchLeader probes for the leader whenever calls have not reached it lately, and logs when it is lost or found.
func (c *Client) watchLeader(ctx context.Context) {
	wasReady := false
	for ctx.Err() == nil {
		if !c.contacts.isRecent(contactLeader, probeInterval) ||
			!c.contacts.isRecent(contactMembers, memberListInterval) {
			c.probe(ctx)
		}
		if isReady := c.Ready() == nil; isReady != wasReady {
			wasReady = isReady
			_ = level.Info(c.opt.Logger).Log("msg", "the core's leader", "answers", isReady)
		}
		c.sleep(ctx, probeInterval)
	}
}

// probe finds the leader and asks it for the members. A probe that fails is not repeated before the next is due.
func (c *Client) probe(ctx context.Context) {
	_, err := callEndpoint(ctx, c, TopologyEndpoint, TopologyCall{}, query{bound: probeInterval, topology: true})
	if err != nil {
		_ = level.Debug(c.opt.Logger).Log("msg", "no leader found", "err", err)
	}
}

func (c *Client) sleepOnClock(ctx context.Context, d time.Duration) { sleep(ctx, c.opt.Clock, d) }
