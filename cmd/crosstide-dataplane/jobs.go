package main

import (
	"context"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"

	"crosstide/internal/config"
	"crosstide/internal/controller"
	"crosstide/internal/daemon"
	"crosstide/internal/errs"
	"crosstide/internal/httpapi/jobsapi"
	"crosstide/internal/jobsnode"
	"crosstide/internal/rpc"
)

// jobsCommand returns the command for the jobs deployment: a data-plane node's daemon and the clients' commands.
func jobsCommand() *cli.Command {
	return &cli.Command{Name: "jobs", Usage: "run a data-plane node of the jobs deployment; its clients' commands",
		Commands: append(jobsProgram().Commands(), jobsCommands()...)}
}

// jobsProgram returns the daemon's commands in the jobs deployment.
func jobsProgram() daemon.Program[config.JobsDataPlane] {
	return daemon.Program[config.JobsDataPlane]{
		Version: version, Load: config.LoadJobsDataPlane, Check: config.CheckJobsDataPlane, Serve: serveJobs,
		Common: func(settings *config.JobsDataPlane) *config.Common { return &settings.Common },
	}
}

// serveJobs runs a data-plane node until ctx ends.
func serveJobs(ctx context.Context, settings config.JobsDataPlane, profiles bool, logger log.Logger) error {
	daemon.LimitMemory(int64(settings.MemoryMB) << 20)
	node, err := jobsnode.NewDataPlaneNode(jobsOptions(settings, profiles, logger))
	if err != nil {
		return errs.Pass(err, "create the node")
	}
	return errs.Pass(node.Run(ctx, nil), "serve")
}

// jobsOptions maps settings to a data-plane node's options.
func jobsOptions(settings config.JobsDataPlane, profiles bool, logger log.Logger) jobsnode.DataPlaneOptions {
	registry := daemon.Registry()
	return jobsnode.DataPlaneOptions{
		ControlPlaneAddresses: settings.ControlPlaneAddresses(), Via: settings.Via, Address: settings.Addr,
		ServeClients: func(server *rpc.Server, client *controller.Client) {
			jobsapi.RegisterClients(server, client, settings.CallTimeout)
			if profiles {
				daemon.Profiles(server)
			}
		},
		ServeReady:  func(server *rpc.Server, check func() error) { daemon.Routes(server, registry, check) },
		MemoryBytes: int64(settings.MemoryMB) << 20,
		Grace:       settings.Grace, Registry: registry, Logger: logger, Zone: settings.Zone, Version: version,
	}
}
