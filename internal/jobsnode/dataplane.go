package jobsnode

import (
	"context"
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
	coreIdleConns = 64                      // idle connections that a data-plane node keeps to each control-plane node
	drainDelay    = 2500 * time.Millisecond // from not ready to the refusal of calls: new clients still come meanwhile
	exitMargin    = 500 * time.Millisecond  // part of the grace that is left for the process to exit
	defaultGrace  = 5 * time.Second
	seedsInterval = 10 * time.Second // between readings of the seeds while no leader is found
)

// DataPlaneOptions are the parts and settings of a data-plane node.
type DataPlaneOptions struct {
	CoreAddresses []string          // seeds: control-plane nodes that are asked beside the known members
	Via           map[string]string // by address: the address that is dialed in its place
	Address       string            // for clients
	// ServeClients adds the clients' calls to clients, which client answers.
	ServeClients func(clients *rpc.Server, client *controller.Client)
	ReadyAddress string // for readiness checks; empty: Address
	// ServeReady adds the readiness check to server; check returns nil if the node is ready.
	ServeReady func(server *rpc.Server, check func() error)
	// ReadSeeds returns seeds that replace CoreAddresses; nil: they stay.
	ReadSeeds   func() ([]string, error)
	Descriptors int                   // bound on file descriptors; 0: the system's
	Grace       time.Duration         // from the order to stop to the exit; 0: defaultGrace
	Registry    prometheus.Registerer // nil: no metrics
	Logger      log.Logger
	Zone        string
	Version     string
}

// DataPlaneNode is a data-plane node: it receives clients' calls and forwards them to the store's leader. It owns its
// client and servers, and closes them when Run returns.
type DataPlaneNode struct {
	opt          DataPlaneOptions
	quotas       frontQuotas
	caller       *rpc.Client
	client       *controller.Client
	clientServer *rpc.Server
	readyServer  *rpc.Server // clientServer, if ReadyAddress is empty
	readiness    readiness
}

// NewDataPlaneNode makes a data-plane node. The error is errs.Settings if it may have too few descriptors. Example:
//
//	front, err := jobsnode.NewDataPlaneNode(options)
//	if err != nil {
//		return errs.Pass(err, "data-plane node")
//	}
//	return front.Run(ctx, changed)
func NewDataPlaneNode(opt DataPlaneOptions) (*DataPlaneNode, error) {
	f := &DataPlaneNode{opt: opt}
	var err error
	if f.quotas, err = newFrontQuotas(opt.Descriptors); err != nil {
		return nil, errs.Pass(err, "connections")
	}
	if opt.Registry != nil {
		opt.Registry.MustRegister(rpc.NewConnLimiterMetrics(f.quotas.limiter))
	}
	f.caller = rpc.NewClient(rpc.ClientOptions{
		DialTimeout: dialTimeout, UserTimeout: userTimeout, MaxIdlePerAddress: coreIdleConns, DialOverrides: opt.Via,
		Registry: opt.Registry, Logger: f.logger("caller"), Quota: f.quotas.core,
	})
	f.client = controller.NewClient(controller.ClientOptions{
		Caller: f.caller, Seeds: opt.CoreAddresses, Logger: f.logger("client"),
	})
	f.readiness.leaderReady, f.readiness.leaderAnswered = f.client.Ready, f.client.CheckLeader
	f.clientServer = f.newServer(opt.Address, f.quotas.clients)
	opt.ServeClients(f.clientServer, f.client)
	f.readyServer = f.clientServer
	if opt.ReadyAddress != "" {
		f.readyServer = f.newServer(opt.ReadyAddress, f.quotas.ready)
	}
	opt.ServeReady(f.readyServer, f.readiness.check)
	return f, nil
}

func (f *DataPlaneNode) logger(part string) log.Logger { return daemon.Part(f.opt.Logger, part) }

func (f *DataPlaneNode) newServer(addr string, quota *rpc.ConnQuota) *rpc.Server {
	return rpc.NewServer(rpc.ServerOptions{
		Addr: addr, Loops: 1, Descriptors: f.opt.Descriptors, Registry: f.opt.Registry, Logger: f.logger("wire"),
		Quota: quota,
	})
}

// Run serves until ctx ends, then drains the node. changed, which may be nil, signals that the seeds may have changed.
func (f *DataPlaneNode) Run(ctx context.Context, changed <-chan os.Signal) error {
	defer f.caller.Close()
	if err := f.start(); err != nil {
		return errs.Pass(err, "start")
	}
	var background []func(ctx context.Context)
	if f.opt.ReadSeeds != nil {
		background = append(background, func(ctx context.Context) { f.refreshSeeds(ctx, changed) })
	}
	daemon.RunUntilDone(ctx, background...)
	f.stop()
	return nil
}

func (f *DataPlaneNode) start() error {
	if err := f.clientServer.Start(); err != nil {
		return errs.Pass(err, "serve clients")
	}
	if f.readyServer != f.clientServer {
		if err := f.readyServer.Start(); err != nil {
			_ = f.clientServer.Stop(0) // the start is given up: nobody has called yet
			return errs.Pass(err, "serve readiness")
		}
	}
	f.client.Start()
	_ = level.Info(f.opt.Logger).Log("msg", "serving", "addr", f.clientServer.Addr(), "zone", f.opt.Zone,
		"version", f.opt.Version)
	return nil
}

// refreshSeeds reads the seeds again when changed signals, and every seedsInterval while no leader is found: the
// settings may change without a signal.
func (f *DataPlaneNode) refreshSeeds(ctx context.Context, changed <-chan os.Signal) {
	for {
		due := make(chan struct{})
		timer := clock.Real{}.Set(seedsInterval, func() { close(due) })
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-changed:
			f.readSeeds()
		case <-due:
			if f.client.Ready() != nil {
				f.readSeeds()
			}
		}
		timer.Stop()
	}
}

func (f *DataPlaneNode) readSeeds() {
	seeds, err := f.opt.ReadSeeds()
	if err != nil {
		_ = level.Warn(f.opt.Logger).Log("msg", "seeds not read, the old ones stay", "err", err)
		return
	}
	f.client.SetSeeds(seeds)
}

// stop drains the node: it reports not ready, serves on while new clients may still come, then refuses new calls and
// answers those in flight.
func (f *DataPlaneNode) stop() {
	clk := clock.Real{}
	begin := clk.Now()
	grace := f.opt.Grace
	if grace <= 0 {
		grace = defaultGrace
	}
	grace = max(grace-exitMargin, grace/2)
	f.readiness.startDraining()
	delayed := make(chan struct{})
	clk.Set(min(drainDelay, grace/2), func() { close(delayed) })
	<-delayed
	if err := f.clientServer.Stop(max(grace-(clk.Now()-begin), 0)); err != nil {
		_ = level.Warn(f.opt.Logger).Log("msg", "calls were cut off", "err", err)
	}
	f.client.Stop()
	if f.readyServer != f.clientServer {
		if err := f.readyServer.Stop(0); err != nil {
			_ = level.Debug(f.opt.Logger).Log("msg", "readiness check cut off", "err", err)
		}
	}
	_ = level.Info(f.opt.Logger).Log("msg", "end")
}
