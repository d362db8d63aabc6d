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

// platformCommand returns the command that runs a control-plane node on the users' platform.
func platformCommand() *cli.Command {
	return daemon.Service[platform.Settings]{Name: "platform", Usage: "run a control-plane node on the users' platform",
		Load: platform.LoadSettings, Serve: servePlatform,
		NodeName: func(settings platform.Settings) string { return settings.IP }}.Command()
}

// servePlatform runs a control-plane node until ctx ends. changed receives a signal when the settings have changed;
// only the seeds are then read again. A new incarnation of the node reads all settings again.
func servePlatform(ctx context.Context, settings platform.Settings, changed <-chan os.Signal, logger log.Logger) error {
	nodeSettings, first := settings.Node(), true
	daemon.LimitMemory(nodeSettings.MemoryBytes)
	err := runIncarnations(ctx, func(ctx context.Context, removed func()) error {
		if !first {
			nodeSettings = newestSettings(nodeSettings, logger)
		}
		first = false
		options := controlPlaneOptions(nodeSettings, logger)
		options.OnRemoved = removed
		node, err := jobsnode.NewControlPlaneNode(ctx, options)
		if err != nil {
			return errs.Pass(err, "create the node")
		}
		err = node.Run(ctx, func(ctx context.Context) { followSettings(ctx, node, changed, logger) })
		return errs.Pass(err, "incarnation")
	})
	return errs.Pass(err, "serve")
}

// newestSettings reads the settings again for a new incarnation of the node. If that fails, it returns the old ones.
func newestSettings(old platform.NodeSettings, logger log.Logger) platform.NodeSettings {
	settings, err := platform.LoadSettings()
	if err != nil {
		_ = level.Warn(logger).Log("msg", "settings reload failed, previous settings kept", "err", err)
		return old
	}
	node := settings.Node()
	node.Bootstrap = false // a node that was removed from the members knows that the store exists
	return node
}

// controlPlaneOptions maps the platform's settings to a control-plane node's options.
func controlPlaneOptions(node platform.NodeSettings, logger log.Logger) jobsnode.ControlPlaneOptions {
	return jobsnode.ControlPlaneOptions{
		Store: storeSettings(node), OpenStore: openStore,
		Scheduler:    schedulerSettings(node.Scheduler, node.ContactTimeout),
		JobRetention: 2 * node.Scheduler.JobRetention,
		Workers: func(renewals, starts *rpc.Client) scheduler.Workers {
			return platform.NewWorkers(exchanger{renewals}, exchanger{starts}, 0)
		},
		OrdersByHeartbeat: node.OrdersByHeartbeat,
		MaxControlBody:    platform.MaxConfigBody,
		ControlAddress:    node.ControlAddress, ControlAddressOf: node.ControlAddressOf,
		ServeControl: func(control *rpc.Server, relay *controller.Relay) {
			platform.NewControlPlane(relay, node.ControlAddress).Routes(control)
		},
		Descriptors: node.MaxDescriptors, MemoryBytes: node.MemoryBytes, Grace: node.StopGracePeriod - exitMargin,
		Logger: logger, Version: version,
	}
}

// followSettings updates the node's seeds whenever the settings have changed, until ctx ends.
func followSettings(ctx context.Context, node *jobsnode.ControlPlaneNode, changed <-chan os.Signal, logger log.Logger) {
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
		node.SetSeeds(settings.Node().Seeds)
	}
}

// exchanger sends the platform's requests to workers through an rpc.Client.
type exchanger struct{ caller *rpc.Client }

var _ platform.Exchanger = exchanger{}

// Exchange sends one request to addr and returns the response.
func (e exchanger) Exchange(ctx context.Context, addr string, request platform.Request, timeout time.Duration,
) (platform.Response, error) {
	response, err := e.caller.Do(ctx, addr, rpc.Request(request), timeout)
	return platform.Response(response), errs.Pass(err, "exchange")
}
