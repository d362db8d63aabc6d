package main

import (
	"context"
	"os"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/urfave/cli/v3"

	"crosstide/internal/clock"
	"crosstide/internal/controller"
	"crosstide/internal/daemon"
	"crosstide/internal/errs"
	"crosstide/internal/rpc"
	"crosstide/platform"
)

const (
	coreDialTimeout = 700 * time.Millisecond // a connection to a machine that is gone hangs
	coreUserTimeout = 1500 * time.Millisecond
	coreIdle        = 64 // idle connections kept to each core node

	leaveFor      = 2500 * time.Millisecond // new clients still come so long after the node says that it is not ready
	exitMargin    = 500 * time.Millisecond  // left of the grace for the process's own end
	defaultGrace  = 5 * time.Second
	settingsEvery = 10 * time.Second // the settings are read again so often while no leader is found
)

// platformCommand runs a front node on the users' platform.
func platformCommand() *cli.Command {
	return daemon.Service[platform.Settings]{Name: "platform", Usage: "serve as a front node of the users' platform",
		Load: platform.LoadSettings, Serve: serveFront,
		NodeName: func(settings platform.Settings) string { return settings.IP }}.Command()
}

// front is a front node: it takes clients' calls and passes them to the core.
type front struct {
	settings  platform.CoreSettings
	logger    log.Logger
	load      func() (platform.Settings, error) // reads the settings anew
	client    *controller.Client
	clients   *rpc.Server // clients call it
	readiness readiness
	probes    *rpc.Server // load balancers ask it for readiness
}

// serveFront runs a front node until ctx ends, then drains it. changed has a value whenever the settings were changed.
func serveFront(ctx context.Context, settings platform.Settings, changed <-chan os.Signal, logger log.Logger) error {
	core := settings.Core()
	daemon.LimitMemory(core.MemoryBytes)
	caller := rpc.NewCaller(rpc.CallerOptions{DialTimeout: coreDialTimeout, UserTimeout: coreUserTimeout, Idle: coreIdle,
		Logger: daemon.Part(logger, "caller")})
	defer caller.Close()
	f := newFront(core, settings.Limits.FileDescriptors, caller, logger)
	if err := f.start(); err != nil {
		return errs.Pass(err, "start")
	}
	daemon.RunUntilDone(ctx, func(ctx context.Context) { f.followSettings(ctx, changed) })
	f.stop()
	return nil
}

func newFront(core platform.CoreSettings, descriptors int, caller *rpc.Caller, logger log.Logger) *front {
	f := &front{settings: core, logger: logger, load: platform.LoadSettings}
	f.client = controller.NewClient(controller.ClientOptions{Caller: caller, Seeds: core.Seeds,
		Logger: daemon.Part(logger, "client")})
	f.readiness.fresh, f.readiness.within = f.client.Ready, f.client.ReadyWithin
	f.clients = rpc.NewServer(rpc.ServerOptions{Addr: core.ClientAddress, Loops: 1, Descriptors: descriptors,
		Logger: daemon.Part(logger, "rpc")})
	platform.NewIngress(f.client).Routes(f.clients)
	f.probes = rpc.NewServer(rpc.ServerOptions{Addr: core.ReadyAddress, Loops: 1, Descriptors: descriptors,
		Logger: daemon.Part(logger, "rpc")})
	platform.Readiness(f.probes, f.readiness.check)
	return f
}

func (f *front) start() error {
	if err := f.clients.Start(); err != nil {
		return errs.Pass(err, "serve clients")
	}
	if err := f.probes.Start(); err != nil {
		_ = f.clients.Stop(0) // the start has failed: no call is running yet
		return errs.Pass(err, "serve readiness")
	}
	f.client.Start()
	_ = level.Info(f.logger).Log("msg", "serving", "addr", f.clients.Addr(), "zone", f.settings.Zone, "version", version)
	return nil
}

// followSettings reads the seeds again: when the settings were changed, and every settingsEvery while no leader is
// found, as a change may not be signalled.
func (f *front) followSettings(ctx context.Context, changed <-chan os.Signal) {
	for {
		due := make(chan struct{})
		timer := clock.Real{}.Set(settingsEvery, func() { close(due) })
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

func (f *front) readSeeds() {
	settings, err := f.load()
	if err != nil {
		_ = level.Warn(f.logger).Log("msg", "the settings cannot be read; the old seeds stay", "err", err)
		return
	}
	f.client.SetSeeds(settings.Core().Seeds)
}

// stop ends the node: it becomes not ready, serves on while new clients may still come, then refuses new calls and
// answers those that run.
func (f *front) stop() {
	clock := clock.Real{}
	begin := clock.Now()
	grace := f.settings.Grace
	if grace <= 0 {
		grace = defaultGrace
	}
	grace = max(grace-exitMargin, grace/2)
	f.readiness.drain()
	gone := make(chan struct{})
	clock.Set(min(leaveFor, grace/2), func() { close(gone) })
	<-gone
	if err := f.clients.Stop(max(grace-(clock.Now()-begin), 0)); err != nil {
		_ = level.Warn(f.logger).Log("msg", "calls were cut off", "err", err)
	}
	f.client.Stop()
	if err := f.probes.Stop(0); err != nil {
		_ = level.Debug(f.logger).Log("msg", "a question for readiness was cut off", "err", err)
	}
	_ = level.Info(f.logger).Log("msg", "end")
}
