package membership

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/routine"
)

// SendFunc sends a message to the node at addr and returns its answer. It applies its own timeout, and returns when ctx
// ends. It must be safe for concurrent use.
type SendFunc func(ctx context.Context, addr string, m Message) (Message, error)

// Options are the settings of a Node; Self, Send and Clock are required.
type Options struct {
	Self       Member   // Incarnation 0: NewNode sets the Unix time in milliseconds
	Seeds      []string // addresses of nodes through which to join; may include this node's own
	RandomSeed uint64   // see New
	Config     *Config  // default: Defaults()
	Send       SendFunc
	Clock      clock.Clock
	Logger     log.Logger            // default: none
	Registry   prometheus.Registerer // default: the metrics are not registered
	// OnControlPlanes is called with Core.ControlPlanes after each change in the directory. The node's mutex is held
	// during the call: it must not call the node. Default: none.
	OnControlPlanes func(addrs []string)
}

// Node runs a Core with a clock and the network. It is safe for concurrent use.
type Node struct {
	opt   Options
	group *routine.Group     // nil before Start
	bytes prometheus.Counter // of JSON sent

	mu   sync.Mutex // guards core, and orders the calls of OnControlPlanes
	core *Core
}

// NewNode returns a node. It can answer shuffles at once, and sends its own after Start. Example:
//
//	n := membership.NewNode(membership.Options{Self: self, Seeds: seeds, Send: send, Clock: clock.Real{}})
//	rpc.Handle(srv, internalapi.Shuffle, n.Serve)
//	n.Start(ctx)
//	defer n.Stop(ctx)
func NewNode(opt Options) *Node {
	if opt.Logger == nil {
		opt.Logger = log.NewNopLogger()
	}
	if opt.Self.Incarnation == 0 {
		opt.Self.Incarnation = uint64(opt.Clock.Wall().UnixMilli())
	}
	cfg := Defaults()
	if opt.Config != nil {
		cfg = *opt.Config
	}
	n := &Node{opt: opt, core: New(cfg, opt.Self, opt.Seeds, opt.RandomSeed)}
	n.bytes = prometheus.NewCounter(prometheus.CounterOpts{Name: "crosstide_membership_bytes_total",
		Help: "Bytes of JSON sent in calls and answers of shuffles, without HTTP headers."})
	if opt.Registry != nil {
		opt.Registry.MustRegister(n.bytes, &collector{n})
	}
	return n
}

// Start sends shuffles in the background until Stop is called or ctx ends. Call it once.
func (n *Node) Start(ctx context.Context) {
	n.group = routine.New(ctx)
	n.group.Go(n.run)
}

// Stop ends the shuffles, then announces this node's departure to a few other nodes. The announcements end with ctx.
// Call it once, after Start.
func (n *Node) Stop(ctx context.Context) {
	n.mu.Lock()
	calls := n.core.Leave(n.opt.Clock.Now())
	n.mu.Unlock()
	n.group.Stop()
	routine.Each(len(calls), len(calls), func(i int) {
		n.countBytes(calls[i].Message)
		if _, err := n.opt.Send(ctx, calls[i].Addr, calls[i].Message); err != nil {
			_ = level.Debug(n.opt.Logger).Log("msg", "departure announcement failed", "addr", calls[i].Addr, "err", err)
		}
	})
}

// run starts each shuffle when it is due, until ctx ends. A shuffle has its own goroutine, so that a slow peer does not
// delay the next one.
func (n *Node) run(ctx context.Context) {
	for {
		n.mu.Lock()
		now := n.opt.Clock.Now()
		calls := n.core.Tick(now)
		due := n.core.NextTick() - now
		n.mu.Unlock()
		n.reportChanges()
		for _, call := range calls {
			n.group.Go(func(ctx context.Context) { n.shuffle(ctx, call) })
		}
		if !clock.Sleep(ctx.Done(), n.opt.Clock, max(due, time.Millisecond)) {
			return
		}
	}
}

// shuffle sends one call and passes its outcome to the core.
func (n *Node) shuffle(ctx context.Context, call Call) {
	n.countBytes(call.Message)
	answer, err := n.opt.Send(ctx, call.Addr, call.Message)
	n.mu.Lock()
	if err != nil {
		n.core.HandleFailure(n.opt.Clock.Now(), call.ID)
	} else {
		n.core.HandleAnswer(n.opt.Clock.Now(), call.ID, answer)
	}
	n.mu.Unlock()
	if err != nil {
		_ = level.Debug(n.opt.Logger).Log("msg", "shuffle failed", "addr", call.Addr, "err", err)
	}
	n.reportChanges()
}

// Serve answers a shuffle of another node. It fails with errs.Invalid if the sender is not a valid member.
func (n *Node) Serve(_ context.Context, m Message) (Message, error) {
	if !m.From.isValid() {
		return Message{}, errs.Field(errs.Invalid, "from",
			"must have a name and an address, and no text over %d bytes", maxStringBytes)
	}
	n.mu.Lock()
	answer := n.core.HandleShuffle(n.opt.Clock.Now(), m)
	n.mu.Unlock()
	n.countBytes(answer)
	n.reportChanges()
	return answer, nil
}

// reportChanges logs the changes in the directory and passes its addresses to Options.OnControlPlanes.
func (n *Node) reportChanges() {
	n.mu.Lock()
	defer n.mu.Unlock() // after OnControlPlanes, so that successive changes are reported in order
	changes := n.core.Changes()
	for _, change := range changes {
		_ = level.Info(n.opt.Logger).Log("msg", "control plane changed", "change", change.Kind,
			"name", change.Member.Name, "addr", change.Member.Addr, "incarnation", change.Member.Incarnation)
	}
	if len(changes) > 0 && n.opt.OnControlPlanes != nil {
		n.opt.OnControlPlanes(n.core.ControlPlanes())
	}
}

// countBytes adds the encoded length of a sent message to the metric.
func (n *Node) countBytes(m Message) {
	if encoded, err := json.Marshal(m); err == nil {
		n.bytes.Add(float64(len(encoded)))
	}
}

// Nodes returns the nodes known now, see Core.Nodes.
func (n *Node) Nodes() []MemberStatus {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Nodes(n.opt.Clock.Now())
}
