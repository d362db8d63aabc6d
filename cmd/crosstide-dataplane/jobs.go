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

// jobsCommand returns the command for the jobs deployment: the daemon of a data-plane node, and clients' commands.
func jobsCommand() *cli.Command {
	return &cli.Command{Name: "jobs", Usage: "serve jobs as a front node; clients' commands for such nodes",
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
	front, err := jobsnode.NewDataPlaneNode(jobsOptions(settings, profiles, logger))
	if err != nil {
		return errs.Pass(err, "make the node")
	}
	return errs.Pass(front.Run(ctx, nil), "serve")
}

// jobsOptions maps settings to a data-plane node's options.
func jobsOptions(settings config.JobsDataPlane, profiles bool, logger log.Logger) jobsnode.DataPlaneOptions {
	registry := daemon.Registry()
	return jobsnode.DataPlaneOptions{
		CoreAddresses: settings.ControlPlaneAddresses(), Via: settings.Via, Address: settings.Addr,
		ServeClients: func(clients *rpc.Server, client *controller.Client) {
			jobsapi.ServeClients(clients, client, settings.CallTimeout)
			if profiles {
				daemon.Profiles(clients)
			}
		},
		ServeReady: func(asked *rpc.Server, check func() error) { daemon.Routes(asked, registry, check) },
		Grace:      settings.Grace, Registry: registry, Logger: logger, Zone: settings.Zone, Version: version,
	}
}
