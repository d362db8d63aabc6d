package jobsnode

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"

	"crosstide/internal/clock"
	"crosstide/internal/controller"
	"crosstide/internal/daemon"
	"crosstide/internal/errs"
	"crosstide/internal/rpc"
)

const (
	controlPlaneIdleConns = 64                      // idle connections to each control-plane node
	drainDelay            = 2500 * time.Millisecond // from reporting not ready to refusing calls: clients still connect
	exitMargin            = 500 * time.Millisecond  // part of the grace left for the process to exit
	defaultGrace          = 5 * time.Second
	seedsInterval         = 10 * time.Second // between reads of the seeds while no leader is known
)

// DataPlaneOptions are the parts and settings of a data-plane node.
type DataPlaneOptions struct {
	ControlPlaneAddresses []string          // seeds: control-plane nodes called in addition to the known members
	Via                   map[string]string // by address: the address to dial instead
	Address               string            // listening address for clients
	// RegisterClients adds the endpoints for clients to the server clients; client forwards their calls.
	ServeClients  func(clients *rpc.Server, client *controller.Client)
	MaxClientBody int64 // limit of the body of a client's request in bytes; 0: 4 MiB
	// RaiseLimits returns the limits of clients' connections under the limits of a configuration, which may raise the
	// defaults; nil: the defaults are in force.
	RaiseLimits  func(defaults rpc.Limits, configured json.RawMessage) (rpc.Limits, error)
	ReadyAddress string // listening address for readiness checks; empty: Address
	// ServeReady adds the readiness endpoint to server; check returns nil if the node is ready.
	ServeReady func(server *rpc.Server, check func() error)
	// ReadSeeds returns seeds that replace ControlPlaneAddresses. If it is nil, ControlPlaneAddresses stay in use.
	ReadSeeds   func() ([]string, error)
	Descriptors int                   // limit of file descriptors; 0: the system's limit
	MemoryBytes int64                 // memory of the process, of which callers get a part; 0: no limit
	Grace       time.Duration         // from the stop signal to the exit; 0: defaultGrace
	Registry    prometheus.Registerer // nil: no metrics
	Logger      log.Logger
	Zone        string
	Version     string
}

// DataPlaneNode is a data-plane node: it receives clients' calls and forwards them to the store's leader. It owns its
// client and servers, and closes them when Run returns.
type DataPlaneNode struct {
	opt          DataPlaneOptions
	quotas       dataPlaneQuotas
	memory       dataPlaneMemory
	caller       *rpc.Client
	client       *controller.Client
	clientServer *rpc.Server
	readyServer  *rpc.Server // clientServer, if ReadyAddress is empty
	readiness    readiness
}

// NewDataPlaneNode returns a data-plane node. It fails with errs.Settings if the limit of file descriptors is too low.
// Example:
//
//	node, err := jobsnode.NewDataPlaneNode(options)
//	if err != nil {
//		return errs.Pass(err, "data-plane node")
//	}
//	return node.Run(ctx, changed)
func NewDataPlaneNode(opt DataPlaneOptions) (*DataPlaneNode, error) {
	n := &DataPlaneNode{opt: opt}
	var err error
	if n.quotas, err = newDataPlaneQuotas(opt.Descriptors); err != nil {
		return nil, errs.Pass(err, "connections")
	}
	if n.memory, err = newDataPlaneMemory(opt.MemoryBytes); err != nil {
		return nil, errs.Pass(err, "memory")
	}
	if opt.Registry != nil {
		opt.Registry.MustRegister(rpc.NewConnLimiterMetrics(n.quotas.limiter),
			rpc.NewMemoryBudgetMetrics(n.memory.budget))
	}
	n.caller = rpc.NewClient(rpc.ClientOptions{
		DialTimeout: dialTimeout, UserTimeout: userTimeout, MaxIdlePerAddress: controlPlaneIdleConns,
		DialOverrides: opt.Via, Registry: opt.Registry, Logger: n.logger("caller"), Quota: n.quotas.controlPlane,
	})
	n.client = controller.NewClient(controller.ClientOptions{
		Caller: n.caller, Seeds: opt.ControlPlaneAddresses, Logger: n.logger("client"), OnLimits: n.applyLimits,
	})
	n.readiness.leaderReady, n.readiness.leaderAnswered = n.client.Ready, n.client.CheckLeader
	n.clientServer = n.newServer(opt.Address, n.quotas.clients, n.memory.clients, n.clientLimits())
	opt.ServeClients(n.clientServer, n.client)
	n.readyServer = n.clientServer
	if opt.ReadyAddress != "" {
		n.readyServer = n.newServer(opt.ReadyAddress, n.quotas.ready, n.memory.ready, readyLimits)
	}
	opt.ServeReady(n.readyServer, n.readiness.check)
	return n, nil
}

func (n *DataPlaneNode) logger(part string) log.Logger { return daemon.Part(n.opt.Logger, part) }

func (n *DataPlaneNode) newServer(
	addr string, quota *rpc.ConnQuota, memory *rpc.MemoryShare, limits rpc.Limits,
) *rpc.Server {
	return rpc.NewServer(rpc.ServerOptions{
		Addr: addr, Loops: 1, Descriptors: n.opt.Descriptors, Registry: n.opt.Registry, Logger: n.logger("wire"),
		Quota: quota, Memory: memory, Limits: limits,
	})
}

// clientLimits returns the limits of clients' connections without a configuration.
func (n *DataPlaneNode) clientLimits() rpc.Limits { return withBody(clientLimits, n.opt.MaxClientBody) }

// applyLimits puts the limits of the configuration in force. Limits that cannot be read change nothing.
func (n *DataPlaneNode) applyLimits(configured json.RawMessage) {
	if n.opt.RaiseLimits == nil || len(configured) == 0 {
		return
	}
	limits, err := n.opt.RaiseLimits(n.clientLimits().WithDefaults(), configured)
	if err != nil {
		_ = level.Warn(n.opt.Logger).Log("msg", "limits of the configuration not applied", "err", err)
		return
	}
	n.clientServer.SetLimits(limits)
}

// Run serves until ctx ends, then drains the node. changed, which may be nil, signals that the seeds may have changed.
// Run fails only if a server cannot start.
func (n *DataPlaneNode) Run(ctx context.Context, changed <-chan os.Signal) error {
	defer n.caller.Close()
	if err := n.start(); err != nil {
		return errs.Pass(err, "start")
	}
	var background []func(ctx context.Context)
	if n.opt.ReadSeeds != nil {
		background = append(background, func(ctx context.Context) { n.refreshSeeds(ctx, changed) })
	}
	daemon.RunUntilDone(ctx, background...)
	n.stop()
	return nil
}

func (n *DataPlaneNode) start() error {
	if err := n.clientServer.Start(); err != nil {
		return errs.Pass(err, "serve clients")
	}
	if n.readyServer != n.clientServer {
		if err := n.readyServer.Start(); err != nil {
			_ = n.clientServer.Stop(0) // the node failed to start: no calls to wait for
			return errs.Pass(err, "serve readiness")
		}
	}
	n.client.Start()
	_ = level.Info(n.opt.Logger).Log("msg", "serving", "addr", n.clientServer.Addr(), "zone", n.opt.Zone,
		"version", n.opt.Version)
	return nil
}

// refreshSeeds reads the seeds again after each signal on changed, and every seedsInterval while no leader is known, as
// the settings may change without a signal.
func (n *DataPlaneNode) refreshSeeds(ctx context.Context, changed <-chan os.Signal) {
	for {
		due := make(chan struct{})
		timer := clock.Real{}.Set(seedsInterval, func() { close(due) })
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-changed:
			n.updateSeeds()
		case <-due:
			if n.client.Ready() != nil {
				n.updateSeeds()
			}
		}
		timer.Stop()
	}
}

// updateSeeds reads the seeds and passes them to the client. If the read fails, the client keeps the old ones.
func (n *DataPlaneNode) updateSeeds() {
	seeds, err := n.opt.ReadSeeds()
	if err != nil {
		_ = level.Warn(n.opt.Logger).Log("msg", "reading seeds failed, old seeds kept", "err", err)
		return
	}
	n.client.SetSeeds(seeds)
}

// stop drains the node: it reports not ready, continues to serve while new clients may still connect, then refuses new
// calls and answers those in flight.
func (n *DataPlaneNode) stop() {
	clk := clock.Real{}
	begin := clk.Now()
	grace := n.opt.Grace
	if grace <= 0 {
		grace = defaultGrace
	}
	grace = max(grace-exitMargin, grace/2)
	n.readiness.startDraining()
	delayed := make(chan struct{})
	clk.Set(min(drainDelay, grace/2), func() { close(delayed) })
	<-delayed
	if err := n.clientServer.Stop(max(grace-(clk.Now()-begin), 0)); err != nil {
		_ = level.Warn(n.opt.Logger).Log("msg", "running calls aborted", "err", err)
	}
	n.client.Stop()
	if n.readyServer != n.clientServer {
		if err := n.readyServer.Stop(0); err != nil {
			_ = level.Debug(n.opt.Logger).Log("msg", "readiness check aborted", "err", err)
		}
	}
	_ = level.Info(n.opt.Logger).Log("msg", "node stopped")
}
