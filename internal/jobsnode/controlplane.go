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
	dialTimeout = 700 * time.Millisecond  // connecting to a machine that is gone hangs
	userTimeout = 1500 * time.Millisecond // how long the kernel resends bytes that are not acknowledged

	peerIdleConns = 5 // idle connections that a control-plane node keeps to each other node

	// Connections to workers, which are many and whose answers are short.
	renewalIdleConns   = 2               // to each worker: one for a long poll, one for calls that are answered at once
	renewalIdleTimeout = 3 * time.Second // renewals to a worker that runs something follow one another sooner
	startIdleConns     = 1               // to each worker: starts go one after the other
	workerReadBuffer   = 1 << 10         // bytes

	minGrace     = time.Second // for the transfer of the lead
	drainTimeout = time.Second // for calls in flight when the node stops
)

// ControlPlaneOptions are the parts and settings of a control-plane node.
type ControlPlaneOptions struct {
	Store config.ControlPlane // settings of the store; its seeds are nodes that are asked beside the known members
	// OpenStore opens the store; it may wait until ctx ends.
	OpenStore    func(ctx context.Context, opt store.Options, logger log.Logger) (*store.Store, error)
	Scheduler    scheduler.Config
	JobRetention time.Duration // how long a job that is over stays in the table; 0 takes the controller's default
	// Workers returns what carries orders to workers: renewals and stops over one client, starts over the other. It is
	// not called with OrdersByHeartbeat.
	Workers           func(renewals, starts *rpc.Client) scheduler.Workers
	OrdersByHeartbeat bool   // orders go with the answers to workers' heartbeats
	ControlAddress    string // for workers and operators
	// ControlAddressOf returns the control address of the node with an internal address; then workers are spread over
	// all nodes for their heartbeats. nil: all go to the leader.
	ControlAddressOf func(internal string) string
	// ServeControl adds the calls of workers and operators to control, which relay answers.
	ServeControl func(control *rpc.Server, relay *controller.Relay)
	// ServeNodes adds further calls at the internal address; nil adds none.
	ServeNodes  func(server *rpc.Server, store *store.Store)
	OnRemoved   func()                // called if this node was removed from the members; see store.Options
	Descriptors int                   // bound on file descriptors; 0: the system's
	Grace       time.Duration         // for the transfer of the lead, minGrace at least
	Registry    prometheus.Registerer // nil: no metrics
	Logger      log.Logger
	Version     string
}

// ControlPlaneNode is a control-plane node. It owns its clients, servers and store, and closes them when Run returns.
type ControlPlaneNode struct {
	opt           ControlPlaneOptions
	quotas        coreQuotas
	peers         *rpc.Client // calls other nodes
	renewals      *rpc.Client // carries lease renewals and stops to workers
	starts        *rpc.Client // carries starts to workers
	store         *store.Store
	leader        *controller.Leader
	client        *controller.Client // calls the leader while this node does not lead
	peerServer    *rpc.Server        // for other nodes
	controlServer *rpc.Server        // for workers and operators
}

// NewControlPlaneNode makes a control-plane node and opens its store, which may wait until ctx ends. Example:
//
//	core, err := jobsnode.NewControlPlaneNode(ctx, options)
//	if err != nil {
//		return errs.Pass(err, "control-plane node")
//	}
//	return core.Run(ctx)
func NewControlPlaneNode(ctx context.Context, opt ControlPlaneOptions) (*ControlPlaneNode, error) {
	n := &ControlPlaneNode{opt: opt}
	var err error
	if n.quotas, err = newCoreQuotas(opt.Descriptors); err != nil {
		return nil, errs.Pass(err, "connections")
	}
	if opt.Registry != nil {
		opt.Registry.MustRegister(rpc.NewConnLimiterMetrics(n.quotas.limiter))
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

// makeClients makes the clients. Starts have one of their own, so that renewals and stops, which keep work alive or end
// it, wait for no start's connection.
func (n *ControlPlaneNode) makeClients() {
	n.peers = n.newClient("caller", n.quotas.peers, rpc.ClientOptions{MaxIdlePerAddress: peerIdleConns})
	n.renewals = n.newClient("holds", n.quotas.renewals, rpc.ClientOptions{
		MaxIdlePerAddress: renewalIdleConns, IdleTimeout: renewalIdleTimeout, ReadBuffer: workerReadBuffer,
	})
	n.starts = n.newClient("starts", n.quotas.starts, rpc.ClientOptions{
		MaxIdlePerAddress: startIdleConns, MaxCallsPerAddress: startIdleConns, ReadBuffer: workerReadBuffer,
	})
}

// newClient completes the options of a client that takes its connections from a quota.
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

// makeServers makes the servers and adds their calls.
func (n *ControlPlaneNode) makeServers() {
	n.peerServer = n.newServer(n.opt.Store.Addr, "wire", n.quotas.nodes)
	n.store.Serve(n.peerServer)
	controller.Serve(n.peerServer, n.leader)
	if n.opt.ServeNodes != nil {
		n.opt.ServeNodes(n.peerServer, n.store)
	}
	n.controlServer = n.newServer(n.opt.ControlAddress, "control", n.quotas.control)
	n.opt.ServeControl(n.controlServer, controller.NewRelay(n.leader, n.client, n.opt.Store.Addr))
}

func (n *ControlPlaneNode) newServer(addr, part string, quota *rpc.ConnQuota) *rpc.Server {
	return rpc.NewServer(rpc.ServerOptions{
		Addr: addr, Loops: 1, Descriptors: n.opt.Descriptors, Registry: n.opt.Registry, Logger: n.logger(part),
		Quota: quota,
	})
}

func (n *ControlPlaneNode) storeOptions() store.Options {
	return store.Options{
		Settings: n.opt.Store,
		Net:      store.NetworkOf(n.peers, n.opt.Store),
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

// fatal ends the process at once: a store that cannot write must acknowledge nothing more.
func (n *ControlPlaneNode) fatal(err error) {
	_ = level.Error(n.opt.Logger).Log("msg", "the process ends", "err", err)
	os.Exit(1)
}

// Run serves until ctx ends, then transfers the lead and drains. background runs meanwhile.
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

// SetSeeds replaces the seeds: nodes that are asked beside the known members.
func (n *ControlPlaneNode) SetSeeds(seeds []string) {
	n.client.SetSeeds(seeds)
	n.store.LearnAddresses(seeds...)
}

func (n *ControlPlaneNode) start() error {
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
	_ = level.Info(n.opt.Logger).Log("msg", "serving", "addr", n.peerServer.Addr(), "zone", n.opt.Store.Zone,
		"version", n.opt.Version)
	return nil
}

// stop transfers the lead first, so that the next leader begins while this node still answers. The store is last, as
// all others use it.
func (n *ControlPlaneNode) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), max(n.opt.Grace, minGrace))
	defer cancel()
	n.store.TransferLeadership(ctx)
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
