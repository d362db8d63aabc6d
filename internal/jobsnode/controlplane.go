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
	dialTimeout = 700 * time.Millisecond  // a dial to a machine that is down hangs
	userTimeout = 1500 * time.Millisecond // how long the kernel retransmits bytes that are not acknowledged

	peerIdleConns = 5 // idle connections that a control-plane node keeps to each other node

	// Connections to workers. There are many workers, and their answers are short.
	renewalIdleConns   = 2               // to each worker: one for a long poll, one for calls answered at once
	renewalIdleTimeout = 3 * time.Second // longer than the interval of renewals to a worker with runs
	startIdleConns     = 1               // to each worker: starts are sent one after the other
	workerReadBuffer   = 1 << 10         // bytes

	minGrace     = time.Second // for the leadership transfer
	drainTimeout = time.Second // for calls in flight when the node stops
)

// ControlPlaneOptions are the parts and settings of a control-plane node.
type ControlPlaneOptions struct {
	Store config.ControlPlane // settings of the store; its seeds are called in addition to the known members
	// OpenStore opens the store; it may wait until ctx ends.
	OpenStore    func(ctx context.Context, opt store.Options, logger log.Logger) (*store.Store, error)
	Scheduler    scheduler.Config
	JobRetention time.Duration // how long a finished job stays in the table; 0: the controller's default
	// Workers returns the transport of orders to workers, which uses the client renewals for lease renewals and stops,
	// and the client starts for starts. Workers is not called if OrdersByHeartbeat is set.
	Workers           func(renewals, starts *rpc.Client) scheduler.Workers
	OrdersByHeartbeat bool   // orders are sent in the answers to workers' heartbeats
	ControlAddress    string // listening address for workers and operators
	MaxControlBody    int64  // limit of the body of their requests in bytes; 0: 16 MiB
	// ControlAddressOf returns the control address of the node with the given internal address; workers' heartbeats are
	// then spread over all nodes. If it is nil, all heartbeats go to the leader.
	ControlAddressOf func(internal string) string
	// RegisterControl adds the endpoints for workers and operators to control; relay answers their calls.
	ServeControl func(control *rpc.Server, relay *controller.Relay)
	// ServeNodes adds further endpoints at the internal address; nil adds none.
	ServeNodes  func(server *rpc.Server, store *store.Store)
	OnRemoved   func()                // called if this node is removed from the members; see store.Options
	Descriptors int                   // limit of file descriptors; 0: the system's limit
	MemoryBytes int64                 // memory of the process, of which callers get a part; 0: no limit
	Grace       time.Duration         // for the leadership transfer, at least minGrace
	Registry    prometheus.Registerer // nil: no metrics
	Logger      log.Logger
	Version     string
}

// ControlPlaneNode is a control-plane node. It owns its clients, servers and store, and closes them when Run returns.
type ControlPlaneNode struct {
	opt           ControlPlaneOptions
	quotas        controlPlaneQuotas
	memory        controlPlaneMemory
	peers         *rpc.Client // calls other nodes
	renewals      *rpc.Client // carries lease renewals and stops to workers
	starts        *rpc.Client // carries starts to workers
	store         *store.Store
	leader        *controller.Leader
	client        *controller.Client // calls the leader while this node does not lead
	peerServer    *rpc.Server        // for other nodes
	controlServer *rpc.Server        // for workers and operators
}

// NewControlPlaneNode returns a control-plane node with an open store. Opening the store may wait until ctx ends.
// Example:
//
//	node, err := jobsnode.NewControlPlaneNode(ctx, options)
//	if err != nil {
//		return errs.Pass(err, "control-plane node")
//	}
//	return node.Run(ctx)
func NewControlPlaneNode(ctx context.Context, opt ControlPlaneOptions) (*ControlPlaneNode, error) {
	n := &ControlPlaneNode{opt: opt}
	var err error
	if n.quotas, err = newControlPlaneQuotas(opt.Descriptors); err != nil {
		return nil, errs.Pass(err, "connections")
	}
	if n.memory, err = newControlPlaneMemory(opt.MemoryBytes); err != nil {
		return nil, errs.Pass(err, "memory")
	}
	if opt.Registry != nil {
		opt.Registry.MustRegister(rpc.NewConnLimiterMetrics(n.quotas.limiter),
			rpc.NewMemoryBudgetMetrics(n.memory.budget))
	}
	n.makeClients()
	n.store, err = opt.OpenStore(ctx, n.storeOptions(), opt.Logger)
	if err != nil {
		n.closeClients()
		return nil, errs.Pass(err, "open the store")
	}
	n.leader = controller.NewLeader(n.leaderOptions())
	if opt.Registry != nil {
		opt.Registry.MustRegister(controller.NewMetrics(n.leader))
	}
	n.client = controller.NewClient(controller.ClientOptions{
		Caller: n.peers, Seeds: opt.Store.Seeds, Self: opt.Store.Addr, Logger: n.logger("client"),
	})
	n.makeServers()
	return n, nil
}

func (n *ControlPlaneNode) logger(part string) log.Logger { return daemon.Part(n.opt.Logger, part) }

// makeClients creates the clients. Starts have their own client, so that renewals and stops, which extend or end
// running work, never wait for a connection that a start uses.
func (n *ControlPlaneNode) makeClients() {
	n.peers = n.newClient("caller", n.quotas.peers, rpc.ClientOptions{MaxIdlePerAddress: peerIdleConns})
	n.renewals = n.newClient("holds", n.quotas.renewals, rpc.ClientOptions{
		MaxIdlePerAddress: renewalIdleConns, IdleTimeout: renewalIdleTimeout, ReadBuffer: workerReadBuffer,
	})
	n.starts = n.newClient("starts", n.quotas.starts, rpc.ClientOptions{
		MaxIdlePerAddress: startIdleConns, MaxCallsPerAddress: startIdleConns, ReadBuffer: workerReadBuffer,
	})
}

// newClient returns a client that takes its connections from quota. It adds the common settings to options.
func (n *ControlPlaneNode) newClient(part string, quota *rpc.ConnQuota, options rpc.ClientOptions) *rpc.Client {
	options.DialTimeout, options.UserTimeout, options.DialOverrides = dialTimeout, userTimeout, n.opt.Store.Via
	options.Registry, options.Logger, options.Quota = n.opt.Registry, n.logger(part), quota
	return rpc.NewClient(options)
}

func (n *ControlPlaneNode) closeClients() {
	for _, client := range []*rpc.Client{n.peers, n.renewals, n.starts} {
		client.Close()
	}
}

// makeServers creates the servers and adds their endpoints.
func (n *ControlPlaneNode) makeServers() {
	n.peerServer = n.newServer(n.opt.Store.Addr, "wire", n.quotas.nodes, n.memory.nodes, nodeLimits)
	n.store.Serve(n.peerServer)
	controller.Serve(n.peerServer, n.leader)
	if n.opt.ServeNodes != nil {
		n.opt.ServeNodes(n.peerServer, n.store)
	}
	n.controlServer = n.newServer(n.opt.ControlAddress, "control", n.quotas.control, n.memory.control,
		withBody(controlLimits, n.opt.MaxControlBody))
	n.opt.ServeControl(n.controlServer, controller.NewRelay(n.leader, n.client, n.opt.Store.Addr))
}

func (n *ControlPlaneNode) newServer(
	addr, part string, quota *rpc.ConnQuota, memory *rpc.MemoryShare, limits rpc.Limits,
) *rpc.Server {
	return rpc.NewServer(rpc.ServerOptions{
		Addr: addr, Loops: 1, Descriptors: n.opt.Descriptors, Registry: n.opt.Registry, Logger: n.logger(part),
		Quota: quota, Memory: memory, Limits: limits,
	})
}

func (n *ControlPlaneNode) storeOptions() store.Options {
	return store.Options{
		Settings: n.opt.Store,
		Net:      store.NewNet(n.peers, n.opt.Store),
		Logger:   n.logger("store"),
		Registry: n.opt.Registry,
		Fatal:    n.fatal,
		Removed:  n.opt.OnRemoved,
	}
}

func (n *ControlPlaneNode) leaderOptions() controller.LeaderOptions {
	options := controller.LeaderOptions{
		Store:            n.store,
		Config:           n.opt.Scheduler,
		ControlAddress:   n.opt.ControlAddress,
		ControlAddressOf: n.opt.ControlAddressOf,
		JobRetention:     n.opt.JobRetention,
		MaxJobBytes:      n.opt.MemoryBytes / jobMemoryDivisor,
		Clock:            clock.Real{},
		Logger:           n.logger("controller"),
	}
	if n.opt.OrdersByHeartbeat {
		options.Mailboxes = controller.NewMailboxes()
		options.Workers = options.Mailboxes
	} else {
		options.Workers = n.opt.Workers(n.renewals, n.starts)
	}
	return options
}

// fatal exits the process at once, because a store that cannot write must not acknowledge anything more.
func (n *ControlPlaneNode) fatal(err error) {
	_ = level.Error(n.opt.Logger).Log("msg", "store failed, process exiting", "err", err)
	os.Exit(1)
}

// Run serves until ctx ends, then transfers leadership and drains. The background functions run while it serves. Run
// fails only if a server cannot start; then it does not run them.
func (n *ControlPlaneNode) Run(ctx context.Context, background ...func(ctx context.Context)) error {
	defer n.closeClients()
	if err := n.start(); err != nil {
		n.store.Stop()
		return errs.Pass(err, "start")
	}
	daemon.RunUntilDone(ctx, background...)
	n.stop()
	return nil
}

// SetSeeds replaces the seeds: nodes that are called in addition to the known members.
func (n *ControlPlaneNode) SetSeeds(seeds []string) {
	n.client.SetSeeds(seeds)
	n.store.LearnAddresses(seeds...)
}

func (n *ControlPlaneNode) start() error {
	if err := n.peerServer.Start(); err != nil {
		return errs.Pass(err, "serve other nodes")
	}
	if err := n.controlServer.Start(); err != nil {
		_ = n.peerServer.Stop(0) // the node failed to start: no calls to wait for
		return errs.Pass(err, "serve workers and operators")
	}
	n.store.Start()
	n.leader.Start()
	n.client.Start()
	_ = level.Info(n.opt.Logger).Log("msg", "serving", "addr", n.peerServer.Addr(), "zone", n.opt.Store.Zone,
		"version", n.opt.Version)
	return nil
}

// stop transfers leadership first, so that the next leader takes over while this node still answers. The store is
// stopped last, because all other parts use it.
func (n *ControlPlaneNode) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), max(n.opt.Grace, minGrace))
	defer cancel()
	n.store.TransferLeadership(ctx)
	if err := n.controlServer.Stop(drainTimeout); err != nil {
		_ = level.Warn(n.opt.Logger).Log("msg", "running calls aborted", "err", err)
	}
	n.client.Stop()
	n.leader.Stop()
	if err := n.peerServer.Stop(drainTimeout); err != nil {
		_ = level.Debug(n.opt.Logger).Log("msg", "running calls of other nodes aborted", "err", err)
	}
	n.store.Stop()
}
