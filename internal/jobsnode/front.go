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
	coreIdleConns = 64                      // idle connections that a front node keeps to each core node
	drainDelay    = 2500 * time.Millisecond // new clients still come so long after the node says that it is not ready
	exitMargin    = 500 * time.Millisecond  // left of the grace for the process's own end
	defaultGrace  = 5 * time.Second
	seedsInterval = 10 * time.Second // the seeds are read again so often while no leader is found
)

// FrontOptions are the parts of a front node.
type FrontOptions struct {
	CoreAddresses []string          // addresses of core nodes to ask at first
	Via           map[string]string // an address in it is reached by dialing the other one
	Address       string            // where clients reach the node
	// ServeClients adds the clients' calls.
	ServeClients func(clients *rpc.Server, client *controller.Client)
	ReadyAddress string // where the node is asked for readiness; empty: at Address
	// ServeReady adds the question for readiness, which check answers.
	ServeReady func(server *rpc.Server, check func() error)
	// ReadSeeds reads the addresses of core nodes anew; nil: they stay.
	ReadSeeds   func() ([]string, error)
	Descriptors int                   // bound on file descriptors; 0: the system's
	Grace       time.Duration         // from the order to stop to the end; 0 takes a default
	Registry    prometheus.Registerer // nil: metrics are not shown
	Logger      log.Logger
	Zone        string
	Version     string
}

// Front is a front node: it takes clients' calls and passes them to the core.
type Front struct {
	opt          FrontOptions
	shares       frontShares
	caller       *rpc.Client
	client       *controller.Client
	clientServer *rpc.Server // clients call it
	readyServer  *rpc.Server // it is asked for readiness; may be clients
	readiness    readiness
}

// NewFront makes a front node. Too few descriptors are errs.Settings. Example:
//
//	front, err := jobsnode.NewFront(options)
//	if err != nil {
//		return errs.Pass(err, "front node")
//	}
//	return front.Run(ctx, changed)
func NewFront(opt FrontOptions) (*Front, error) {
	part := func(name string) log.Logger { return daemon.Part(opt.Logger, name) }
	f := &Front{opt: opt}
	var err error
	if f.shares, err = newFrontShares(opt.Descriptors); err != nil {
		return nil, errs.Pass(err, "connections")
	}
	if opt.Registry != nil {
		opt.Registry.MustRegister(rpc.NewConnLimiterMetrics(f.shares.budget))
	}
	f.caller = rpc.NewClient(rpc.ClientOptions{DialTimeout: dialTimeout, UserTimeout: userTimeout, MaxIdlePerAddress: coreIdleConns, DialOverrides: opt.Via,
		Registry: opt.Registry, Logger: part("caller"), Quota: f.shares.core})
	f.client = controller.NewClient(controller.ClientOptions{Caller: f.caller, Seeds: opt.CoreAddresses, Logger: part("client")})
	f.readiness.leaderReady, f.readiness.leaderAnswered = f.client.Ready, f.client.CheckLeader
	f.clientServer = f.server(opt.Address, f.shares.clients)
	opt.ServeClients(f.clientServer, f.client)
	f.readyServer = f.clientServer
	if opt.ReadyAddress != "" {
		f.readyServer = f.server(opt.ReadyAddress, f.shares.ready)
	}
	opt.ServeReady(f.readyServer, f.readiness.check)
	return f, nil
}

func (f *Front) server(addr string, share *rpc.ConnQuota) *rpc.Server {
	return rpc.NewServer(rpc.ServerOptions{Addr: addr, Loops: 1, Descriptors: f.opt.Descriptors, Registry: f.opt.Registry,
		Logger: daemon.Part(f.opt.Logger, "wire"), Quota: share})
}

// Run serves until ctx ends, then lets the node drain. changed, which may be nil, tells that the seeds may have changed.
func (f *Front) Run(ctx context.Context, changed <-chan os.Signal) error {
	defer f.caller.Close()
	if err := f.start(); err != nil {
		return errs.Pass(err, "start")
	}
	var background []func(ctx context.Context)
	if f.opt.ReadSeeds != nil {
		background = append(background, func(ctx context.Context) { f.followSeeds(ctx, changed) })
	}
	daemon.RunUntilDone(ctx, background...)
	f.stop()
	return nil
}

func (f *Front) start() error {
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
	_ = level.Info(f.opt.Logger).Log("msg", "serving", "addr", f.clientServer.Addr(), "zone", f.opt.Zone, "version", f.opt.Version)
	return nil
}

// followSeeds reads the seeds anew: when the process is told that they changed, and now and again while no leader is
// found, for they may change without a word.
func (f *Front) followSeeds(ctx context.Context, changed <-chan os.Signal) {
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

func (f *Front) readSeeds() {
	seeds, err := f.opt.ReadSeeds()
	if err != nil {
		_ = level.Warn(f.opt.Logger).Log("msg", "the settings cannot be read; the old seeds stay", "err", err)
		return
	}
	f.client.SetSeeds(seeds)
}

// stop lets the node go: it is not ready any more, serves on while new clients may still come, then refuses new calls
// and answers those that run.
func (f *Front) stop() {
	clock := clock.Real{}
	begin := clock.Now()
	grace := f.opt.Grace
	if grace <= 0 {
		grace = defaultGrace
	}
	grace = max(grace-exitMargin, grace/2)
	f.readiness.drain()
	gone := make(chan struct{})
	clock.Set(min(drainDelay, grace/2), func() { close(gone) })
	<-gone
	if err := f.clientServer.Stop(max(grace-(clock.Now()-begin), 0)); err != nil {
		_ = level.Warn(f.opt.Logger).Log("msg", "calls were cut off", "err", err)
	}
	f.client.Stop()
	if f.readyServer != f.clientServer {
		if err := f.readyServer.Stop(0); err != nil {
			_ = level.Debug(f.opt.Logger).Log("msg", "a question for readiness was cut off", "err", err)
		}
	}
	_ = level.Info(f.opt.Logger).Log("msg", "end")
}
