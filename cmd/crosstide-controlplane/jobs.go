package main

import (
	"context"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"

	"crosstide/internal/config"
	"crosstide/internal/controller"
	"crosstide/internal/controller/scheduler"
	"crosstide/internal/daemon"
	"crosstide/internal/errs"
	"crosstide/internal/httpapi/jobsapi"
	"crosstide/internal/httpapi/operatorapi"
	"crosstide/internal/httpapi/workerapi"
	"crosstide/internal/jobsnode"
	"crosstide/internal/membership"
	"crosstide/internal/rpc"
	"crosstide/internal/store"
)

// jobsCommand returns the command for the jobs deployment: a control-plane node's daemon and the operators' commands.
func jobsCommand() *cli.Command {
	return &cli.Command{Name: "jobs", Usage: "run a control-plane node of the jobs deployment; its operators' commands",
		Commands: append(jobsProgram().Commands(), withExitCodes(jobsCommands()...)...)}
}

// jobsProgram returns the daemon's commands in the jobs deployment.
func jobsProgram() daemon.Program[config.JobsControlPlane] {
	return daemon.Program[config.JobsControlPlane]{
		Version: version, Load: config.LoadJobsControlPlane, Check: config.CheckJobsControlPlane, Serve: serveJobs,
		Common: func(settings *config.JobsControlPlane) *config.Common { return &settings.Common },
		StringFlags: map[string]func(*config.JobsControlPlane) *string{
			"data": func(settings *config.JobsControlPlane) *string { return &settings.Data },
		},
		Flags: []cli.Flag{dataFlag()},
	}
}

// serveJobs runs a control-plane node until ctx ends.
func serveJobs(ctx context.Context, settings config.JobsControlPlane, profiles bool, logger log.Logger) error {
	daemon.LimitMemory(int64(settings.MemoryMB) << 20)
	err := runIncarnations(ctx, func(ctx context.Context, removed func()) error {
		options := jobsOptions(settings, profiles, logger)
		options.OnRemoved = removed
		node, err := jobsnode.NewControlPlaneNode(ctx, options)
		if err != nil {
			return errs.Pass(err, "create the node")
		}
		return errs.Pass(node.Run(ctx), "incarnation")
	})
	return errs.Pass(err, "serve")
}

// jobsOptions maps settings to a control-plane node's options.
func jobsOptions(settings config.JobsControlPlane, profiles bool, logger log.Logger) jobsnode.ControlPlaneOptions {
	registry := daemon.Registry()
	return jobsnode.ControlPlaneOptions{
		Store: settings.ControlPlane, OpenStore: openStore,
		Scheduler: jobsScheduler(settings.Scheduler), JobRetention: settings.KeepFinished,
		Workers: func(renewals, starts *rpc.Client) scheduler.Workers {
			return workerapi.NewClient(renewals, starts, 0)
		},
		ControlAddress: settings.Control, MemoryBytes: int64(settings.MemoryMB) << 20,
		ServeControl: func(control *rpc.Server, relay *controller.Relay) {
			jobsapi.RegisterControl(control, relay, settings.CallTimeout)
		},
		ServeNodes: func(server *rpc.Server, store *store.Store) {
			serveOperators(server, store)
			daemon.Routes(server, registry, store.Ready)
			if profiles {
				daemon.Profiles(server)
			}
		},
		Grace: settings.Grace, Registry: registry, Logger: logger, Version: version,
	}
}

// serveOperators registers the operators' calls about the members of the store. A control-plane node of the jobs
// deployment has no membership list, so these calls list no other nodes.
func serveOperators(server *rpc.Server, members *store.Store) {
	operatorapi.Register(server, members, store.NameOf, func() []membership.MemberStatus { return nil })
}

// jobsScheduler maps the settings of the jobs deployment to the scheduler's settings.
func jobsScheduler(settings config.JobsScheduler) scheduler.Config {
	config := scheduler.Defaults()
	config.Lease, config.RenewalWait, config.SilenceTimeout = settings.Lease, settings.PollWait, settings.Silence
	config.ExpiryMargin, config.EarlyStart = settings.LapseMargin, settings.EarlyStart
	config.RemoteDataFactor, config.ForgetAfter = settings.RemoteFactor, settings.ForgetAfter
	return config
}
