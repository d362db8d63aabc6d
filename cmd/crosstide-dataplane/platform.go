package main

import (
	"context"
	"os"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"

	"crosstide/internal/controller"
	"crosstide/internal/daemon"
	"crosstide/internal/errs"
	"crosstide/internal/jobsnode"
	"crosstide/internal/rpc"
	"crosstide/platform"
)

// platformCommand returns the command that runs a data-plane node on the users' platform.
func platformCommand() *cli.Command {
	return daemon.Service[platform.Settings]{Name: "platform", Usage: "run a data-plane node on the users' platform",
		Load: platform.LoadSettings, Serve: servePlatform,
		NodeName: func(settings platform.Settings) string { return settings.IP }}.Command()
}

// servePlatform runs a data-plane node until ctx ends, then drains it. changed receives a signal when the settings have
// changed; the node then reads its seeds again.
func servePlatform(ctx context.Context, settings platform.Settings, changed <-chan os.Signal, logger log.Logger) error {
	nodeSettings := settings.Node()
	daemon.LimitMemory(nodeSettings.MemoryBytes)
	node, err := jobsnode.NewDataPlaneNode(dataPlaneOptions(nodeSettings, logger))
	if err != nil {
		return errs.Pass(err, "create the node")
	}
	return errs.Pass(node.Run(ctx, changed), "serve")
}

// dataPlaneOptions maps the platform's settings to a data-plane node's options.
func dataPlaneOptions(node platform.NodeSettings, logger log.Logger) jobsnode.DataPlaneOptions {
	return jobsnode.DataPlaneOptions{
		ControlPlaneAddresses: node.Seeds, Address: node.ClientAddress, ReadyAddress: node.ReadyAddress,
		ServeClients: func(server *rpc.Server, client *controller.Client) {
			platform.NewIngress(client).Routes(server)
		},
		MaxClientBody: platform.MaxJobBody,
		RaiseLimits:   platform.RaiseLimits,
		ServeReady:    platform.Readiness,
		ReadSeeds: func() ([]string, error) {
			settings, err := platform.LoadSettings()
			return settings.Node().Seeds, errs.Pass(err, "seeds")
		},
		Descriptors: node.MaxDescriptors, MemoryBytes: node.MemoryBytes, Grace: node.StopGracePeriod, Logger: logger,
		Zone: node.Zone, Version: version,
	}
}
