// Package jobsnode builds the two kinds of nodes that serve jobs, from typed options: a core node is a member of the
// replicated store with the leader's controller, a front node takes clients' calls and passes them on. What is said to
// clients, workers and operators is the caller's to add.
package jobsnode

import (
	"context"
	"os"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"

	"crosstide/internal/clock"
	"crosstide/internal/config"
	"crosstide/internal/controller"
	"crosstide/internal/controller/scheduler"
	"crosstide/internal/daemon"
	"crosstide/internal/errs"
	"crosstide/internal/rpc"
	"crosstide/internal/store"
)

const (
	dialTimeout        = 700 * time.Millisecond  // a connection to a machine that is gone hangs
	userTimeout        = 1500 * time.Millisecond // how long the kernel resends bytes that nobody confirms
	peerIdleConns      = 5                       // idle connections that a core node keeps to each other node
	renewalIdleConns   = 2                       // and to each worker: one for a hold call that waits, one for what is asked at once
	renewalIdleTimeout = 3 * time.Second         // hold calls to a worker that runs something follow one another sooner
	startIdleConns     = 1                       // and for starts, which go one after the other
	workerReadBuffer   = 1 << 10                 // bytes of the read buffer of a connection to a worker, whose answers are short
	minGrace           = time.Second             // for handing the lead over
	drainTimeout       = time.Second             // for calls that run at the end
)

// CoreOptions are the parts of a core node.
type CoreOptions struct {
	Store config.ControlPlane // settings of the store; its seeds are the nodes to ask at first
	// Open opens the store; it may wait until ctx ends.
	OpenStore    func(ctx context.Context, opt store.Options, logger log.Logger) (*store.Store, error)
	Scheduler    scheduler.Config
	JobRetention time.Duration // how long a job that is over stays; 0 takes a default
	// Workers carries hold calls, stops and starts to workers. It is not asked with OrdersByHeartbeat.
	Workers           func(renewals, starts *rpc.Client) scheduler.Workers
	OrdersByHeartbeat bool   // orders go with the answers to workers' heartbeats
	ControlAddress    string // address for workers and operators
	// ControlAddressOf gives the control address of the node with an internal address; then workers are spread over all nodes for
	// their heartbeats. nil: all go to the leader.
	ControlAddressOf func(internal string) string
	// ServeControl adds the calls of workers and operators.
	ServeControl func(control *rpc.Server, relay *controller.Relay)
	// ServeNodes adds further calls at the address of Store; nil adds none.
	ServeNodes  func(server *rpc.Server, store *store.Store)
	OnRemoved   func()                // told when this node was removed from the members while it was away; see store.Options
	Descriptors int                   // bound on file descriptors; 0: the system's
	Grace       time.Duration         // for handing the lead over, a second at least
	Registry    prometheus.Registerer // nil: metrics are not shown
	Logger      log.Logger
	Version     string
}

// CoreAddresses is a core node.
type Core struct {
	opt           CoreOptions
	shares        coreShares
	peers         *rpc.Client // asks other nodes
	renewals      *rpc.Client // carries hold calls and stops to workers
	starts        *rpc.Client // carries starts to workers
	store         *store.Store
	leader        *controller.Leader
	client        *controller.Client // asks the leader where this node does not lead
	peerServer    *rpc.Server        // other nodes call it
	controlServer *rpc.Server        // workers and operators call it
}

// NewCore makes a core node and opens its store, which may wait until ctx ends. Example:
//
//	core, err := jobsnode.NewCore(ctx, options)
//	if err != nil {
//		return errs.Pass(err, "core node")
//	}
//	return core.Run(ctx)
func NewCore(ctx context.Context, opt CoreOptions) (*Core, error) {
	part := func(name string) log.Logger { return daemon.Part(opt.Logger, name) }
	n := &Core{opt: opt}
	var err error
	if n.shares, err = newCoreShares(opt.Descriptors); err != nil {
		return nil, errs.Pass(err, "connections")
	}
	if opt.Registry != nil {
		opt.Registry.MustRegister(rpc.NewConnLimiterMetrics(n.shares.budget))
	}
	n.peers = n.newCaller("caller", n.shares.peers, rpc.ClientOptions{MaxIdlePerAddress: peerIdleConns})
	n.renewals = n.newCaller("holds", n.shares.renewals,
		rpc.ClientOptions{MaxIdlePerAddress: renewalIdleConns, IdleTimeout: renewalIdleTimeout, ReadBuffer: workerReadBuffer})
	n.starts = n.newCaller("starts", n.shares.starts,
		rpc.ClientOptions{MaxIdlePerAddress: startIdleConns, MaxCallsPerAddress: startIdleConns, ReadBuffer: workerReadBuffer})
	n.store, err = opt.OpenStore(ctx, store.Options{Settings: opt.Store, Net: store.NetworkOf(n.peers, opt.Store), Logger: part("store"),
		Registry: opt.Registry, Fatal: n.fatal, Removed: opt.OnRemoved}, opt.Logger)
	if err != nil {
		n.closeCallers()
		return nil, errs.Pass(err, "open the store")
	}
	n.leader = controller.NewLeader(n.leaderOptions())
	if opt.Registry != nil {
		opt.Registry.MustRegister(controller.NewMetrics(n.leader))
	}
	n.client = controller.NewClient(controller.ClientOptions{Caller: n.peers, Seeds: opt.Store.Seeds, Self: opt.Store.Addr,
		Logger: part("client")})
	n.peerServer = n.server(opt.Store.Addr, "wire", n.shares.nodes)
	n.store.Serve(n.peerServer)
	controller.Serve(n.peerServer, n.leader)
	if opt.ServeNodes != nil {
		opt.ServeNodes(n.peerServer, n.store)
	}
	n.controlServer = n.server(opt.ControlAddress, "control", n.shares.control)
	opt.ServeControl(n.controlServer, controller.NewRelay(n.leader, n.client, opt.Store.Addr))
	return n, nil
}

// newCaller makes a caller within a share; options holds what is its own.
func (n *Core) newCaller(part string, share *rpc.ConnQuota, options rpc.ClientOptions) *rpc.Client {
	options.DialTimeout, options.UserTimeout, options.DialOverrides = dialTimeout, userTimeout, n.opt.Store.Via
	options.Registry, options.Logger, options.Quota = n.opt.Registry, daemon.Part(n.opt.Logger, part), share
	return rpc.NewClient(options)
}

func (n *Core) closeCallers() {
	for _, caller := range []*rpc.Client{n.peers, n.renewals, n.starts} {
		caller.Close()
	}
}

func (n *Core) server(addr, part string, share *rpc.ConnQuota) *rpc.Server {
	return rpc.NewServer(rpc.ServerOptions{Addr: addr, Loops: 1, Descriptors: n.opt.Descriptors, Registry: n.opt.Registry,
		Logger: daemon.Part(n.opt.Logger, part), Quota: share})
}

func (n *Core) leaderOptions() controller.LeaderOptions {
	options := controller.LeaderOptions{Store: n.store, Config: n.opt.Scheduler, ControlAddress: n.opt.ControlAddress, ControlAddressOf: n.opt.ControlAddressOf, JobRetention: n.opt.JobRetention,
		Clock: clock.Real{}, Logger: daemon.Part(n.opt.Logger, "controller")}
	if n.opt.OrdersByHeartbeat {
		options.Mailboxes = controller.NewMailboxes()
		options.Workers = options.Mailboxes
	} else {
		options.Workers = n.opt.Workers(n.renewals, n.starts)
	}
	return options
}

func (n *Core) fatal(err error) {
	_ = level.Error(n.opt.Logger).Log("msg", "the process ends", "err", err)
	os.Exit(1)
}

// Run serves until ctx ends, then hands the lead over and drains. background runs meanwhile.
func (n *Core) Run(ctx context.Context, background ...func(ctx context.Context)) error {
	defer n.closeCallers()
	if err := n.start(); err != nil {
		n.store.Stop()
		return errs.Pass(err, "start")
	}
	daemon.RunUntilDone(ctx, background...)
	n.stop()
	return nil
}

// SetSeeds replaces the nodes to ask at first.
func (n *Core) SetSeeds(seeds []string) {
	n.client.SetSeeds(seeds)
	n.store.LearnAddresses(seeds...)
}

func (n *Core) start() error {
	if err := n.peerServer.Start(); err != nil {
		return errs.Pass(err, "serve other nodes")
	}
	if err := n.controlServer.Start(); err != nil {
		_ = n.peerServer.Stop(0) // the start is given up: nobody has called yet
		return errs.Pass(err, "serve workers and operators")
	}
	n.store.Start()
	n.leader.Start()
	n.client.Start()
	_ = level.Info(n.opt.Logger).Log("msg", "serving", "addr", n.peerServer.Addr(), "zone", n.opt.Store.Zone, "version", n.opt.Version)
	return nil
}

// stop hands the lead over first, so that the next leader begins while this one still answers.
func (n *Core) stop() {
	leave, over := context.WithTimeout(context.Background(), max(n.opt.Grace, minGrace))
	defer over()
	n.store.TransferLeadership(leave)
	if err := n.controlServer.Stop(drainTimeout); err != nil {
		_ = level.Warn(n.opt.Logger).Log("msg", "calls were cut off", "err", err)
	}
	n.client.Stop()
	n.leader.Stop()
	if err := n.peerServer.Stop(drainTimeout); err != nil {
		_ = level.Debug(n.opt.Logger).Log("msg", "calls of nodes were cut off", "err", err)
	}
	n.store.Stop()
}
