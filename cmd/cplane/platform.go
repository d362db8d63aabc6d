package main

import (
	"context"
	"net"
	"os"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/urfave/cli/v3"

	"crosstide/internal/clock"
	"crosstide/internal/config"
	"crosstide/internal/controller"
	"crosstide/internal/daemon"
	"crosstide/internal/errs"
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

	// platformSnapshotEvery is the number of log entries between two snapshots: a restart replays no more than about twice as many.
	platformSnapshotEvery = 1000

	dialTimeout = 700 * time.Millisecond  // a connection to a machine that is gone hangs
	userTimeout = 1500 * time.Millisecond // how long the kernel resends bytes that nobody confirms
	exitMargin  = 500 * time.Millisecond  // left of the grace for the process's own end
	workerIdle  = 5                       // idle connections kept to each worker and node
)

// platformCommand runs a core node on the users' platform.
func platformCommand() *cli.Command {
	return daemon.Service[platform.Settings]{Name: "platform", Usage: "serve as a core node of the users' platform",
		Load: platform.LoadSettings, Serve: serveCore,
		NodeName: func(settings platform.Settings) string { return settings.IP }}.Command()
}

// coreNode is a core node: a member of the store, the leader's controller, and the servers for workers and operators.
type coreNode struct {
	settings platform.CoreSettings
	logger   log.Logger
	store    *store.Store
	leader   *controller.Leader
	client   *controller.Client // asks the leader where this node does not lead
	inner    *rpc.Server        // other nodes call it
	control  *rpc.Server        // workers and operators call it
}

// serveCore runs a core node until ctx ends, then hands the lead over and drains. changed has a value whenever the
// settings were changed.
func serveCore(ctx context.Context, settings platform.Settings, changed <-chan os.Signal, logger log.Logger) error {
	core := settings.Core()
	daemon.LimitMemory(core.MemoryBytes)
	caller := rpc.NewCaller(rpc.CallerOptions{DialTimeout: dialTimeout, UserTimeout: userTimeout, Idle: workerIdle,
		Logger: daemon.Part(logger, "caller")})
	defer caller.Close()
	node, err := newCoreNode(ctx, core, settings.Limits.FileDescriptors, caller, logger)
	if err != nil {
		return errs.Pass(err, "make the node")
	}
	if err := node.start(); err != nil {
		node.store.Stop()
		return errs.Pass(err, "start")
	}
	daemon.RunUntilDone(ctx, func(ctx context.Context) { node.followSettings(ctx, changed) })
	node.stop()
	return nil
}

// followSettings reads the seeds again whenever the settings were changed.
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

func newCoreNode(ctx context.Context, core platform.CoreSettings, descriptors int, caller *rpc.Caller, logger log.Logger) (*coreNode, error) {
	set := storeSettings(core)
	node := &coreNode{settings: core, logger: logger}
	var err error
	node.store, err = open(ctx, store.Options{Settings: set, Net: store.Wire(caller, set), Logger: daemon.Part(logger, "store"),
		Fatal: func(err error) {
			_ = level.Error(logger).Log("msg", "the process ends", "err", err)
			os.Exit(1)
		}}, logger)
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
	node.inner = rpc.NewServer(rpc.ServerOptions{Addr: core.InternalAddress, Loops: 1, Descriptors: descriptors, Logger: daemon.Part(logger, "rpc")})
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
		_ = n.inner.Stop(0) // the start has failed: no call is running yet
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
	set.SnapshotEvery = platformSnapshotEvery
	set.OpenMembership, set.Founding = true, core.Bootstrap
	if core.Grace > 0 {
		set.Grace = max(core.Grace-exitMargin, core.Grace/2)
	}
	for _, seed := range core.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			continue // the settings were checked when they were read
		}
		set.Members = append(set.Members, config.Member{ID: host, Addr: seed}) // the zones of seeds are not in the settings
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

// Exchange sends one request to addr and returns the answer.
func (e exchanger) Exchange(ctx context.Context, addr string, request platform.Request, within time.Duration) (platform.Response, error) {
	r, err := e.caller.Exchange(ctx, addr, rpc.Request(request), within)
	return platform.Response(r), errs.Pass(err, "exchange")
}
