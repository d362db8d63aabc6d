package main

import (
	"context"
	"os"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/urfave/cli/v3"

	"crosstide/internal/controller"
	"crosstide/internal/controller/scheduler"
	"crosstide/internal/daemon"
	"crosstide/internal/errs"
	"crosstide/internal/jobsnode"
	"crosstide/internal/rpc"
	"crosstide/platform"
)

// platformCommand runs a control-plane node on the users' platform.
func platformCommand() *cli.Command {
	return daemon.Service[platform.Settings]{Name: "platform", Usage: "serve as a core node of the users' platform",
		Load: platform.LoadSettings, Serve: servePlatform,
		NodeName: func(settings platform.Settings) string { return settings.IP }}.Command()
}

// servePlatform runs a control-plane node until ctx ends. changed has a value whenever the settings have changed; the
// seeds are then read again. All other settings are read again only by a new incarnation.
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
		served, err := jobsnode.NewControlPlaneNode(ctx, options)
		if err != nil {
			return errs.Pass(err, "make the node")
		}
		err = served.Run(ctx, func(ctx context.Context) { followSettings(ctx, served, changed, logger) })
		return errs.Pass(err, "incarnation")
	})
	return errs.Pass(err, "serve")
}

// newestSettings reads the settings again, for a new incarnation of the node. If they cannot be read the old ones stay.
func newestSettings(old platform.CoreSettings, logger log.Logger) platform.CoreSettings {
	settings, err := platform.LoadSettings()
	if err != nil {
		_ = level.Warn(logger).Log("msg", "settings reload failed, previous settings kept", "err", err)
		return old
	}
	core := settings.Core()
	core.Bootstrap = false // a node that was removed from the members knows that the store exists
	return core
}

// coreOptions maps the platform's settings to a control-plane node's options.
func coreOptions(core platform.CoreSettings, logger log.Logger) jobsnode.ControlPlaneOptions {
	return jobsnode.ControlPlaneOptions{
		Store: storeSettings(core), OpenStore: openStore,
		Scheduler:    schedulerSettings(core.Scheduler, core.ContactTimeout),
		JobRetention: 2 * core.Scheduler.JobRetention,
		Workers: func(renewals, starts *rpc.Client) scheduler.Workers {
			return platform.NewWorkers(exchanger{renewals}, exchanger{starts}, 0)
		},
		OrdersByHeartbeat: core.OrdersByHeartbeat,
		ControlAddress:    core.ControlAddress, ControlAddressOf: core.ControlAddressOf,
		ServeControl: func(control *rpc.Server, relay *controller.Relay) {
			platform.NewControlPlane(relay, core.ControlAddress).Routes(control)
		},
		Descriptors: core.Descriptors, Grace: core.Grace - exitMargin, Logger: logger, Version: version,
	}
}

// followSettings sets the node's seeds anew whenever the settings have changed, until ctx ends.
func followSettings(ctx context.Context, core *jobsnode.ControlPlaneNode, changed <-chan os.Signal, logger log.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		settings, err := platform.LoadSettings()
		if err != nil {
			_ = level.Warn(logger).Log("msg", "settings reload failed, previous seeds kept", "err", err)
			continue
		}
		core.SetSeeds(settings.Core().Seeds)
	}
}

// exchanger carries the platform's requests to workers over an rpc.Client.
type exchanger struct{ caller *rpc.Client }

var _ platform.Exchanger = exchanger{}

// Exchange sends one request to addr and returns the answer.
func (e exchanger) Exchange(ctx context.Context, addr string, request platform.Request, timeout time.Duration,
) (platform.Response, error) {
	response, err := e.caller.Do(ctx, addr, rpc.Request(request), timeout)
	return platform.Response(response), errs.Pass(err, "exchange")
}
