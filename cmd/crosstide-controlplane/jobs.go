package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

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

// jobsCommand serves jobs as a core node, and has the operators' commands for such nodes.
func jobsCommand() *cli.Command {
	control := []cli.Flag{&cli.StringFlag{Name: "addr", Usage: "`IP:PORT` where any core node takes workers and operators", Required: true}}
	orders := []*cli.Command{
		{Name: "config", Usage: "read or change the configuration of queues and services", Commands: []*cli.Command{
			{Name: "get", Usage: "print the configuration in force", Flags: control, Action: showConfig},
			{Name: "put", Usage: "put the whole configuration in FILE (- for standard input) in force", ArgsUsage: "FILE", Flags: control,
				Action: configAction(http.MethodPut)},
			{Name: "patch", Usage: "put and remove the items in FILE (- for standard input)", ArgsUsage: "FILE", Flags: control,
				Action: configAction(http.MethodPatch)},
		}},
		{Name: "evacuate", Usage: "no new starts in ZONE; what runs there ends there", ArgsUsage: "ZONE", Flags: control,
			Action: zoneOrderAction("evacuate")},
		{Name: "restore", Usage: "ZONE may be used again", ArgsUsage: "ZONE", Flags: control, Action: zoneOrderAction("restore")},
		{Name: "topology", Usage: "print the leader and the members of the core", Flags: append(control, jsonFlag()), Action: showTopology},
		{Name: "workers", Usage: "print every worker", Flags: append(control, jsonFlag()), Action: listJobsWorkers},
	}
	return &cli.Command{Name: "jobs", Usage: "serve jobs as a core node; operators' commands for such nodes",
		Commands: append(jobsProgram().Commands(), withExitCodes(orders...)...)}
}

// jobsProgram is the daemon's own part of the command line.
func jobsProgram() daemon.Program[config.JobsControlPlane] {
	return daemon.Program[config.JobsControlPlane]{
		Version: version, Load: config.LoadJobsControlPlane, Check: config.CheckJobsControlPlane, Serve: serveJobs,
		Common:      func(settings *config.JobsControlPlane) *config.Common { return &settings.Common },
		StringFlags: map[string]func(*config.JobsControlPlane) *string{"data": func(settings *config.JobsControlPlane) *string { return &settings.Data }},
		Flags:       []cli.Flag{&cli.StringFlag{Name: "data", Usage: "`FOLDER` of the store, over the settings"}},
	}
}

func serveJobs(ctx context.Context, settings config.JobsControlPlane, profiles bool, logger log.Logger) error {
	err := runIncarnations(ctx, func(ctx context.Context, removed func()) error {
		options := jobsOptions(settings, profiles, logger)
		options.OnRemoved = removed
		core, err := jobsnode.NewCore(ctx, options)
		if err != nil {
			return errs.Pass(err, "make the node")
		}
		return errs.Pass(core.Run(ctx), "a life")
	})
	return errs.Pass(err, "serve")
}

// jobsOptions maps settings to a core node's options.
func jobsOptions(settings config.JobsControlPlane, profiles bool, logger log.Logger) jobsnode.CoreOptions {
	registry := daemon.Registry()
	return jobsnode.CoreOptions{
		Store: settings.ControlPlane, OpenStore: openStore, Scheduler: jobsScheduler(settings.Scheduler), JobRetention: settings.KeepFinished,
		Workers:        func(renewals, starts *rpc.Client) scheduler.Workers { return workerapi.NewClient(renewals, starts, 0) },
		ControlAddress: settings.Control,
		ServeControl: func(control *rpc.Server, relay *controller.Relay) {
			jobsapi.ServeControl(control, relay, settings.CallTimeout)
		},
		ServeNodes: func(inner *rpc.Server, store *store.Store) {
			serveOperators(inner, store)
			daemon.Routes(inner, registry, store.Ready)
			if profiles {
				daemon.Profiles(inner)
			}
		},
		Grace: settings.Grace, Registry: registry, Logger: logger, Version: version,
	}
}

// serveOperators adds the operators' calls for the members of the store. No view of the fleet is kept here.
func serveOperators(inner *rpc.Server, members *store.Store) {
	operatorapi.Serve(inner, members, store.NameOf, func() []membership.MemberStatus { return nil })
}

// jobsScheduler maps settings to the scheduler's.
func jobsScheduler(settings config.JobsScheduler) scheduler.Config {
	cfg := scheduler.Defaults()
	cfg.Lease, cfg.RenewalWait, cfg.SilenceTimeout = settings.Lease, settings.PollWait, settings.Silence
	cfg.ExpiryMargin, cfg.EarlyStart = settings.LapseMargin, settings.EarlyStart
	cfg.RemoteDataFactor, cfg.ForgetAfter = settings.RemoteFactor, settings.ForgetAfter
	return cfg
}

// printResponse sends one call to a core node and prints its answer.
func printResponse(ctx context.Context, cmd *cli.Command, method, path string, body []byte) error {
	raw, err := doRequest(ctx, method, cmd.String("addr"), path, body)
	if err != nil {
		return errs.Pass(err, "order")
	}
	fmt.Println(string(bytes.TrimSpace(raw)))
	return nil
}

func showConfig(ctx context.Context, cmd *cli.Command) error {
	return errs.Pass(printResponse(ctx, cmd, http.MethodGet, "/v2/config", nil), "config get")
}

func configAction(method string) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		body, err := readFileArg(cmd)
		if err != nil {
			return errs.Pass(err, "configuration")
		}
		return errs.Pass(printResponse(ctx, cmd, method, "/v2/config", body), "configuration")
	}
}

func zoneOrderAction(verb string) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		zone, err := exactArgs(cmd, "ZONE")
		if err != nil {
			return errs.Pass(err, "%s", verb)
		}
		return errs.Pass(printResponse(ctx, cmd, http.MethodPost, "/v2/zones/"+url.PathEscape(zone[0])+"/"+verb, nil), "%s", verb)
	}
}

func showTopology(ctx context.Context, cmd *cli.Command) error {
	var answer controller.TopologyAnswer
	return errs.Pass(printQuery(ctx, cmd, "/v2/topology", &answer, func(out io.Writer) {
		fmt.Fprintln(out, "leader", orDash(answer.Leader))
		for _, member := range answer.Members {
			fmt.Fprintln(out, "member", member)
		}
	}), "topology")
}

func listJobsWorkers(ctx context.Context, cmd *cli.Command) error {
	var list jobsapi.Workers
	return errs.Pass(printQuery(ctx, cmd, "/v2/workers", &list, func(out io.Writer) {
		fmt.Fprintln(out, "ID\tADDRESS\tSERVICE\tZONE\tRACK\tLABELS\tMILLI_CPU\tMEMORY_MB\tGPUS\tRUNS\tSTATE")
		for _, w := range list.Workers {
			fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\t%s\t%d/%d\t%d/%d\t%d/%d\t%d\t%s\n", w.ID, w.Address, w.Service, w.Zone, orDash(w.Rack),
				orDash(strings.Join(w.Labels, ",")), w.Used.MilliCPU, w.Capacity.MilliCPU, w.Used.MemoryMB, w.Capacity.MemoryMB,
				w.Used.GPUs, w.Capacity.GPUs, w.Runs, w.State)
		}
		for _, zone := range list.Evacuated {
			fmt.Fprintln(out, "evacuated", zone)
		}
	}), "workers")
}
