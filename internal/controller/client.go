package controller

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/jobs"
	"crosstide/internal/routine"
	"crosstide/internal/rpc"
)

const (
	defaultAttempt     = 700 * time.Millisecond
	readyWindow        = 2500 * time.Millisecond // a leader that has answered makes the client ready for so long
	probeInterval      = time.Second
	memberListInterval = 10 * time.Second // the members are asked for so often though the leader answers calls
	retryAfter         = time.Second      // told with a call that was given up
)

// ClientOptions are the settings of a Client; Caller and Seeds are needed.
type ClientOptions struct {
	Caller  *rpc.Client
	Seeds   []string      // internal addresses of nodes of the core to ask at first
	Self    string        // own internal address when the client runs on a node of the core: it is not asked in turn
	Clock   clock.Clock   // default clock.Real
	Logger  log.Logger    // default: none
	Attempt time.Duration // bound of one attempt of a call, default 700ms
}

// Client asks the core's leader. It remembers the leader and the members, follows a node's hint to the leader and
// tries the others in turn when a node fails, until the deadline of the call's ctx nears. Its errors are
//
//   - the leader's refusal, of kind errs.Unknown, Invalid, Malformed, TooLarge, Conflict, Stale, Forbidden or
//     Overloaded: the call was surely not carried out;
//   - errs.Unavailable: it was surely not carried out;
//   - errs.Timeout: it may or may not have been carried out, or may be yet.
//
// It is safe for any number of goroutines.
type Client struct {
	opt       ClientOptions
	directory *directory
	work      *routine.Group

	ask   func(ctx context.Context, addr string, q query, answer any, timeout time.Duration) reply
	sleep func(ctx context.Context, d time.Duration)

	mu            sync.Mutex
	lastReachedAt *time.Duration // when a node of the core last answered anything; nil: never
	lastLeaderAt  *time.Duration // when a leader last answered
	lastMembersAt *time.Duration // when a leader last listed the members
}

// NewClient makes a client; Start makes it look for the leader by itself. Example:
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
		opt.Attempt = defaultAttempt
	}
	c := &Client{opt: opt, directory: newDirectory(opt.Self, opt.Seeds), work: routine.New(context.Background())}
	c.ask, c.sleep = c.askRPC, c.sleepClock
	return c
}

// Submit hands a job in.
func (c *Client) Submit(ctx context.Context, call SubmitCall) (SubmitAnswer, error) {
	answer, err := callPair(ctx, c, SubmitPair, call, query{mutates: true})
	return answer, errs.Pass(err, "submit")
}

// Job asks for a job or cancels it.
func (c *Client) Job(ctx context.Context, call JobCall) (JobAnswer, error) {
	answer, err := callPair(ctx, c, JobPair, call, query{mutates: call.Cancel, hedge: !call.Cancel})
	return answer, errs.Pass(err, "job")
}

// Count asks how many jobs of a queue wait.
func (c *Client) Count(ctx context.Context, call CountCall) (CountAnswer, error) {
	answer, err := callPair(ctx, c, CountPair, call, query{hedge: true})
	return answer, errs.Pass(err, "count")
}

// Heartbeat passes a worker's heartbeat on.
func (c *Client) Heartbeat(ctx context.Context, call HeartbeatCall) (HeartbeatAnswer, error) {
	answer, err := callPair(ctx, c, HeartbeatPair, call, query{mutates: true})
	return answer, errs.Pass(err, "heartbeat")
}

// Config asks for the configuration in force.
func (c *Client) Config(ctx context.Context, call ConfigCall) (jobs.Config, error) {
	answer, err := callPair(ctx, c, ConfigPair, call, query{hedge: true, large: true})
	return answer, errs.Pass(err, "read the configuration")
}

// Configure changes the configuration.
func (c *Client) Configure(ctx context.Context, call jobs.Configure) (ConfigureAnswer, error) {
	answer, err := callPair(ctx, c, ConfigurePair, call, query{mutates: true, large: true})
	return answer, errs.Pass(err, "configure")
}

// Evacuate starts or withdraws the evacuation of a zone.
func (c *Client) Evacuate(ctx context.Context, call jobs.Evacuate) (EvacuateAnswer, error) {
	answer, err := callPair(ctx, c, EvacuatePair, call, query{mutates: true})
	return answer, errs.Pass(err, "evacuate")
}

// SetSeeds replaces the seeds.
func (c *Client) SetSeeds(seeds []string) { c.directory.setSeeds(seeds) }

// Hint tells the client of a leader's address that its caller has learnt; "" is passed over.
func (c *Client) Hint(leader string) { c.directory.followHint("", leader, c.opt.Clock.Now()) }

// Start looks for the leader now and again, so that Ready tells and calls need not search. Call it once.
func (c *Client) Start() { c.work.Go(c.watchLeader) }

// Stop ends what Start began. Calls may go on.
func (c *Client) Stop() { c.work.Stop() }

// Ready is nil when a leader has answered lately, else errs.Unavailable.
func (c *Client) Ready() error { return errs.Pass(c.CheckLeader(readyWindow), "core") }

// CheckLeader is nil when a leader has answered within the last d, else errs.Unavailable.
func (c *Client) CheckLeader(d time.Duration) error {
	if c.isRecent(&c.lastLeaderAt, d) {
		return nil
	}
	return errs.New(errs.Unavailable, "no leader of the core has answered for %s", d)
}

func (c *Client) watchLeader(ctx context.Context) {
	was := false
	for ctx.Err() == nil {
		if !c.isRecent(&c.lastLeaderAt, probeInterval) || !c.isRecent(&c.lastMembersAt, memberListInterval) {
			c.probe(ctx)
		}
		if is := c.Ready() == nil; is != was {
			was = is
			_ = level.Info(c.opt.Logger).Log("msg", "the core's leader", "answers", is)
		}
		c.sleep(ctx, probeInterval)
	}
}

// probe looks for the leader and asks it for the members. A probe that fails is followed by the next.
func (c *Client) probe(ctx context.Context) {
	_, err := callPair(ctx, c, TopologyPair, TopologyCall{}, query{bound: probeInterval, topology: true})
	if err != nil {
		_ = level.Debug(c.opt.Logger).Log("msg", "no leader found", "err", err)
	}
}

// timeout tells whether the time at is set and at most d ago.
func (c *Client) isRecent(at **time.Duration, d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return *at != nil && c.opt.Clock.Now()-**at <= d
}

func (c *Client) recordNow(at **time.Duration) {
	now := c.opt.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	*at = &now
}

// unreachedSince is when the core was last reached, at the earliest begin.
func (c *Client) unreachedSince(begin time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastReachedAt == nil {
		return begin
	}
	return max(begin, *c.lastReachedAt)
}

func (c *Client) sleepClock(ctx context.Context, d time.Duration) {
	over := make(chan struct{})
	timer := c.opt.Clock.Set(d, func() { close(over) })
	defer timer.Stop()
	select {
	case <-over:
	case <-ctx.Done():
	}
}

// jitter gives a time from half of d to d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }
