package main

import (
	"context"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/urfave/cli/v3"

	"crosstide/internal/clock"
	"crosstide/internal/config"
	"crosstide/internal/controller"
	"crosstide/internal/daemon"
	"crosstide/internal/errs"
	"crosstide/internal/routine"
	"crosstide/internal/rpc"
	"crosstide/internal/scheduler"
	"crosstide/internal/store"
	"crosstide/platform"
)

// Timings of the store on the platform, for a fail-over well under three seconds.
const (
	platformElection  = 350 * time.Millisecond
	platformHeartbeat = 70 * time.Millisecond
	platformLease     = 235 * time.Millisecond

	// platformSlotEvery is the number of log entries between two slots: a restart replays no more than about twice as many.
	platformSlotEvery = 1000

	dialTimeout = 700 * time.Millisecond  // a connection to a machine that is gone hangs
	userTimeout = 1500 * time.Millisecond // how long the kernel resends bytes that nobody confirms
	exitMargin  = 500 * time.Millisecond  // left of the grace for the process's own end
	workerIdle  = 4                       // idle connections kept to each worker and node
)

// platformCommand runs a core node on the users' platform.
func platformCommand() *cli.Command {
	return &cli.Command{Name: "platform", Usage: "serve as a core node of the users' platform",
		Action: func(ctx context.Context, _ *cli.Command) error {
			changed := make(chan os.Signal, 1) // SIGHUP would end the process else
			signal.Notify(changed, syscall.SIGHUP)
			defer signal.Stop(changed)
			settings, err := platform.LoadSettings()
			if err != nil {
				return errs.Pass(err, "platform")
			}
			ctx, stop := daemon.Signals(ctx)
			defer stop()
			logger := log.With(daemon.Logger("info", os.Stderr), "node", settings.IP)
			return errs.Pass(serveCore(ctx, settings, changed, logger), "platform")
		}}
}

// coreNode is a core node: a member of the store, the leader's controller, and the doors for workers and operators.
type coreNode struct {
	settings platform.CoreSettings
	logger   log.Logger
	store    *store.Store
	leader   *controller.Leader
	client   *controller.Client // asks the leader where this node does not lead
	inner    *rpc.Server        // other nodes call it
	control  *rpc.Server        // workers and operators call it
}

// serveCore runs a core node until ctx ends. changed tells that the settings have changed.
func serveCore(ctx context.Context, settings platform.Settings, changed <-chan os.Signal, logger log.Logger) error {
	daemon.LimitMemory(settings.Core().MemoryBytes)
	caller := rpc.NewCaller(rpc.CallerOptions{DialTimeout: dialTimeout, UserTimeout: userTimeout, Idle: workerIdle,
		Logger: daemon.Part(logger, "caller")})
	defer caller.Close()
	core, first := settings.Core(), true
	err := serveLives(ctx, func(ctx context.Context, removed func()) error {
		if !first {
			core = newestSettings(core, logger)
		}
		first = false
		err := serveCoreLife(ctx, core, settings.Limits.FileDescriptors, caller, changed, removed, logger)
		return errs.Pass(err, "a life")
	})
	return errs.Pass(err, "serve the core")
}

// newestSettings gives the settings as they are now, for a node that begins anew; the old ones if they cannot be read.
func newestSettings(old platform.CoreSettings, logger log.Logger) platform.CoreSettings {
	settings, err := platform.LoadSettings()
	if err != nil {
		_ = level.Warn(logger).Log("msg", "the settings cannot be read; the old ones stay", "err", err)
		return old
	}
	core := settings.Core()
	core.Bootstrap = false // whoever was removed knows that the fleet exists
	return core
}

// serveCoreLife runs one life of a core node until ctx ends, then hands the lead over and drains.
func serveCoreLife(ctx context.Context, core platform.CoreSettings, descriptors int, caller *rpc.Caller, changed <-chan os.Signal,
	removed func(), logger log.Logger) error {
	node, err := newCoreNode(core, descriptors, caller, removed, logger)
	if err != nil {
		return errs.Pass(err, "make the node")
	}
	if err := node.start(); err != nil {
		node.store.Stop()
		return errs.Pass(err, "start")
	}
	reload := routine.New(context.Background())
	reload.Go(func(ctx context.Context) { node.followSettings(ctx, changed) })
	<-ctx.Done()
	reload.Stop()
	node.stop()
	return nil
}

// followSettings takes new seeds from the settings whenever the process is told that they changed.
func (n *coreNode) followSettings(ctx context.Context, changed <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		settings, err := platform.LoadSettings()
		if err != nil {
			_ = level.Warn(n.logger).Log("msg", "the settings cannot be read; the old seeds stay", "err", err)
			continue
		}
		seeds := settings.Core().Seeds
		n.client.SetSeeds(seeds)
		n.store.LearnAddresses(seeds...)
	}
}

func newCoreNode(core platform.CoreSettings, descriptors int, caller *rpc.Caller, removed func(), logger log.Logger) (*coreNode, error) {
	set := storeSettings(core)
	node := &coreNode{settings: core, logger: logger}
	var err error
	node.store, err = open(store.Options{Settings: set, Net: store.Wire(caller, set), Logger: daemon.Part(logger, "store"),
		Fatal: func(err error) {
			_ = level.Error(logger).Log("msg", "the process ends", "err", err)
			os.Exit(1)
		}, Removed: removed}, logger)
	if err != nil {
		return nil, errs.Pass(err, "open the store")
	}
	options := controller.LeaderOptions{Store: node.store,
		Workers: platform.NewWorkers(exchanger{caller}, 0), Config: schedulerSettings(core.Scheduler),
		Control: core.ControlAddress, KeepOver: 2 * core.Scheduler.KeepStateFor, Clock: clock.Real{}, Logger: daemon.Part(logger, "controller")}
	if core.OrdersByBeat {
		options.Mailboxes = controller.NewMailboxes()
		options.Workers = options.Mailboxes
	}
	node.leader = controller.NewLeader(options)
	node.client = controller.NewClient(controller.ClientOptions{Caller: caller, Seeds: core.Seeds, Self: core.InternalAddress,
		Logger: daemon.Part(logger, "client")})
	node.inner = rpc.NewServer(rpc.ServerOptions{Addr: core.InternalAddress, Loops: 1, Descriptors: descriptors, Logger: daemon.Part(logger, "wire")})
	node.store.Serve(node.inner)
	controller.Serve(node.inner, node.leader)
	node.control = rpc.NewServer(rpc.ServerOptions{Addr: core.ControlAddress, Loops: 1, Descriptors: descriptors, Logger: daemon.Part(logger, "control")})
	relay := controller.NewRelay(node.leader, node.client, core.InternalAddress)
	platform.NewControlPlane(relay, core.ControlAddress).Routes(node.control)
	return node, nil
}

func (n *coreNode) start() error {
	if err := n.inner.Start(); err != nil {
		return errs.Pass(err, "serve other nodes")
	}
	if err := n.control.Start(); err != nil {
		_ = n.inner.Stop(0) // the start is given up: nobody has called yet
		return errs.Pass(err, "serve workers and operators")
	}
	n.store.Start()
	n.leader.Start()
	n.client.Start()
	_ = level.Info(n.logger).Log("msg", "serving", "addr", n.inner.Addr(), "zone", n.settings.Zone, "version", version)
	return nil
}

// stop hands the lead over first, so that the next leader begins while this one still answers.
func (n *coreNode) stop() {
	leave, over := context.WithTimeout(context.Background(), n.grace())
	defer over()
	n.store.Handover(leave)
	if err := n.control.Stop(time.Second); err != nil {
		_ = level.Warn(n.logger).Log("msg", "calls were cut off", "err", err)
	}
	n.client.Stop()
	n.leader.Stop()
	if err := n.inner.Stop(time.Second); err != nil {
		_ = level.Debug(n.logger).Log("msg", "calls of nodes were cut off", "err", err)
	}
	n.store.Stop()
}

func (n *coreNode) grace() time.Duration { return max(n.settings.Grace-exitMargin, time.Second) }

// storeSettings maps the platform's settings of a core node to the store's. The founders are the seeds.
func storeSettings(core platform.CoreSettings) config.Cplane {
	set := config.DefaultCplane()
	set.Name, set.Zone, set.Region = core.Name, core.Zone, core.Region
	set.Addr, set.Seeds, set.Data = core.InternalAddress, core.Seeds, core.DataFolder
	set.Election, set.Heartbeat, set.Lease = platformElection, platformHeartbeat, platformLease
	set.SlotEvery = platformSlotEvery
	set.OpenMembership, set.Founding = true, core.Bootstrap
	if core.Grace > 0 {
		set.Grace = max(core.Grace-exitMargin, core.Grace/2)
	}
	for _, seed := range core.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			continue // the settings were checked when they were read
		}
		set.Members = append(set.Members, config.Member{ID: host, Addr: seed}) // zones of seeds are not told
	}
	return set
}

// leaseShare is the lease of workers as a share of the longest one.
const leaseShare = 0.35

// leastLease is the shortest lease, unless the longest one is shorter. After a loss of power at all core nodes nothing is
// renewed for a second and a half, and a worker's last renewal may be a hold call ago: shorter leases end all work then.
const leastLease = 3 * time.Second

// schedulerSettings maps the platform's bounds to the scheduler's settings.
func schedulerSettings(bounds platform.SchedulerSettings) scheduler.Config {
	config := scheduler.Defaults()
	if bounds.LongestLease > 0 {
		share := time.Duration(float64(bounds.LongestLease) * leaseShare)
		config.Lease = min(max(share, leastLease), bounds.LongestLease)
	}
	config.HoldWait = min(config.HoldWait, config.Lease/3)
	if bounds.StopTime > 0 {
		config.LapseMargin = bounds.StopTime/2 + 200*time.Millisecond
	}
	if bounds.SpreadFactor > 0 {
		config.SpreadFactor = bounds.SpreadFactor
	}
	if bounds.HeartbeatInterval > 0 {
		config.Silence = bounds.HeartbeatInterval*5/2 + 250*time.Millisecond
	}
	return config
}

// exchanger carries the platform's requests to workers over a Caller.
type exchanger struct{ caller *rpc.Caller }

var _ platform.Exchanger = exchanger{}

// Exchange sends one request to addr and gives the answer.
func (e exchanger) Exchange(ctx context.Context, addr string, request platform.Request, within time.Duration) (platform.Response, error) {
	r, err := e.caller.Exchange(ctx, addr, rpc.Request(request), within)
	return platform.Response(r), errs.Pass(err, "exchange")
}
