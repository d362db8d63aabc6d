package main

import (
	"context"
	"net"
	"os"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/urfave/cli/v3"

	"crosstide/internal/config"
	"crosstide/internal/controller"
	"crosstide/internal/controller/scheduler"
	"crosstide/internal/daemon"
	"crosstide/internal/errs"
	"crosstide/internal/jobsnode"
	"crosstide/internal/rpc"
	"crosstide/platform"
)

// Timings of the store on the platform, for a fail-over well under three seconds.
const (
	platformElection  = 350 * time.Millisecond
	platformHeartbeat = 70 * time.Millisecond
	platformLease     = 235 * time.Millisecond

	// platformSnapshotEvery is the number of log entries between two snapshots: a restart replays no more than about twice as many.
	platformSnapshotEvery = 1000

	exitMargin = 500 * time.Millisecond // left of the grace for the process's own end
)

// platformCommand runs a core node on the users' platform.
func platformCommand() *cli.Command {
	return daemon.Service[platform.Settings]{Name: "platform", Usage: "serve as a core node of the users' platform",
		Load: platform.LoadSettings, Serve: servePlatform,
		NodeName: func(settings platform.Settings) string { return settings.IP }}.Command()
}

// servePlatform runs a core node until ctx ends. changed tells that the settings have changed.
func servePlatform(ctx context.Context, settings platform.Settings, changed <-chan os.Signal, logger log.Logger) error {
	core, first := settings.Core(), true
	daemon.LimitMemory(core.MemoryBytes)
	err := runIncarnations(ctx, func(ctx context.Context, removed func()) error {
		if !first {
			core = newestSettings(core, logger)
		}
		first = false
		options := coreOptions(core, logger)
		options.OnRemoved = removed
		served, err := jobsnode.NewCore(ctx, options)
		if err != nil {
			return errs.Pass(err, "make the node")
		}
		err = served.Run(ctx, func(ctx context.Context) { followSettings(ctx, served, changed, logger) })
		return errs.Pass(err, "a life")
	})
	return errs.Pass(err, "serve")
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

// coreOptions maps the platform's settings to a core node's options.
func coreOptions(core platform.CoreSettings, logger log.Logger) jobsnode.CoreOptions {
	return jobsnode.CoreOptions{
		Store: storeSettings(core), OpenStore: openStore,
		Scheduler: schedulerSettings(core.Scheduler, core.ContactTimeout), JobRetention: 2 * core.Scheduler.JobRetention,
		Workers: func(renewals, starts *rpc.Client) scheduler.Workers {
			return platform.NewWorkers(exchanger{renewals}, exchanger{starts}, 0)
		},
		OrdersByHeartbeat: core.OrdersByHeartbeat, ControlAddress: core.ControlAddress, ControlAddressOf: core.ControlAddressOf,
		ServeControl: func(control *rpc.Server, relay *controller.Relay) {
			platform.NewControlPlane(relay, core.ControlAddress).Routes(control)
		},
		Descriptors: core.Descriptors, Grace: core.Grace - exitMargin, Logger: logger, Version: version,
	}
}

// followSettings takes new seeds from the settings whenever the process is told that they changed.
func followSettings(ctx context.Context, core *jobsnode.Core, changed <-chan os.Signal, logger log.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		settings, err := platform.LoadSettings()
		if err != nil {
			_ = level.Warn(logger).Log("msg", "the settings cannot be read; the old seeds stay", "err", err)
			continue
		}
		core.SetSeeds(settings.Core().Seeds)
	}
}

// storeSettings maps the platform's settings of a core node to the store's. The founders are the seeds.
func storeSettings(core platform.CoreSettings) config.ControlPlane {
	settings := config.DefaultControlPlane()
	settings.Name, settings.Zone, settings.Region = core.Name, core.Zone, core.Region
	settings.Addr, settings.Seeds, settings.Data = core.InternalAddress, core.Seeds, core.DataFolder
	settings.Election, settings.Heartbeat, settings.Lease = platformElection, platformHeartbeat, platformLease
	settings.SnapshotEvery = platformSnapshotEvery
	settings.OpenMembership, settings.Bootstrap = true, core.Bootstrap
	if core.Grace > 0 {
		settings.Grace = max(core.Grace-exitMargin, core.Grace/2)
	}
	for _, seed := range core.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			continue // the settings were checked when they were read
		}
		settings.Members = append(settings.Members, config.Member{ID: host, Addr: seed}) // the zones of seeds are not in the settings
	}
	return settings
}

// minLease is the shortest lease, unless the longest one is shorter. After a loss of power at all core nodes nothing is
// renewed for a second and a half, and a worker's last renewal may be a hold call ago: shorter leases end all work then.
const minLease = 3 * time.Second

// workerLease gives the lease of workers. It rides out a loss of contact that is as long as the operators count a machine
// as out of touch, plus the hold call that may have been under way when contact was lost and the pause before the next
// call after it: what runs on a worker that is back within that time goes on. Longer ones would keep back the tasks of
// workers that are gone for good.
func workerLease(contactTimeout, longest time.Duration, config scheduler.Config) time.Duration {
	return min(max(contactTimeout+config.RenewalWait+config.RetryMax, minLease), longest)
}

// schedulerSettings maps the platform's bounds to the scheduler's settings.
func schedulerSettings(bounds platform.SchedulerSettings, contactTimeout time.Duration) scheduler.Config {
	config := scheduler.Defaults()
	if bounds.MaxLease > 0 {
		config.Lease = workerLease(contactTimeout, bounds.MaxLease, config)
	}
	config.RenewalWait = min(config.RenewalWait, config.Lease/3)
	if bounds.StopTimeout > 0 {
		config.ExpiryMargin = bounds.StopTimeout/2 + 200*time.Millisecond
	}
	if bounds.SpreadFactor > 0 {
		config.RemoteDataFactor = bounds.SpreadFactor
	}
	if bounds.HeartbeatInterval > 0 {
		config.SilenceTimeout = bounds.HeartbeatInterval*5/2 + 250*time.Millisecond
	}
	return config
}

// exchanger carries the platform's requests to workers over a Caller.
type exchanger struct{ caller *rpc.Client }

var _ platform.Exchanger = exchanger{}

// Exchange sends one request to addr and returns the answer.
func (e exchanger) Exchange(ctx context.Context, addr string, request platform.Request, timeout time.Duration) (platform.Response, error) {
	r, err := e.caller.Do(ctx, addr, rpc.Request(request), timeout)
	return platform.Response(r), errs.Pass(err, "exchange")
}
