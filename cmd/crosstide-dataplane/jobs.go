package main

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"

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

// jobsCommand serves jobs as a front node, and has the clients' commands for such nodes.
func jobsCommand() *cli.Command {
	addr := &cli.StringFlag{Name: "addr", Usage: "`IP:PORT` of any front node", Required: true}
	program := daemon.Program[config.JobsDataPlane]{
		Version: version, Load: config.LoadJobsDataPlane, Check: config.CheckJobsDataPlane, Serve: serveJobs,
		Common: func(settings *config.JobsDataPlane) *config.Common { return &settings.Common },
	}
	calls := []*cli.Command{
		{Name: "submit", Usage: "hand in the job in FILE (- for standard input)", ArgsUsage: "FILE", Flags: []cli.Flag{addr}, Action: submitJob},
		{Name: "show", Usage: "print the job ID", ArgsUsage: "ID", Flags: []cli.Flag{addr}, Action: jobAction(http.MethodGet)},
		{Name: "cancel", Usage: "cancel the job ID", ArgsUsage: "ID", Flags: []cli.Flag{addr}, Action: jobAction(http.MethodDelete)},
		{Name: "list", Usage: "print jobs by ID", Flags: []cli.Flag{addr, &cli.StringFlag{Name: "queue"}, &cli.StringFlag{Name: "state"},
			&cli.StringFlag{Name: "after", Usage: "page on after this `ID`"}, &cli.IntFlag{Name: "limit", Usage: "most jobs of a page"}},
			Action: listJobs},
		{Name: "queues", Usage: "print the queues, and how many jobs wait in each", Flags: []cli.Flag{addr},
			Action: func(ctx context.Context, cmd *cli.Command) error {
				return errs.Pass(printResponse(ctx, http.MethodGet, cmd.String("addr"), "/v2/queues", nil), "queues")
			}},
	}
	return &cli.Command{Name: "jobs", Usage: "serve jobs as a front node; clients' commands for such nodes",
		Commands: append(program.Commands(), calls...)}
}

func serveJobs(ctx context.Context, settings config.JobsDataPlane, profiles bool, logger log.Logger) error {
	front, err := jobsnode.NewFront(jobsOptions(settings, profiles, logger))
	if err != nil {
		return errs.Pass(err, "make the node")
	}
	return errs.Pass(front.Run(ctx, nil), "serve")
}

// jobsOptions maps settings to a front node's options.
func jobsOptions(settings config.JobsDataPlane, profiles bool, logger log.Logger) jobsnode.FrontOptions {
	registry := daemon.Registry()
	return jobsnode.FrontOptions{
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

func submitJob(ctx context.Context, cmd *cli.Command) error {
	in := io.Reader(os.Stdin)
	if name := cmd.Args().First(); name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return errs.Wrap(err, errs.Invalid, "job file")
		}
		defer file.Close()
		in = file
	}
	return errs.Pass(printResponse(ctx, http.MethodPost, cmd.String("addr"), "/v2/jobs", in), "hand in a job")
}

func jobAction(method string) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		id := cmd.Args().First()
		return errs.Pass(printResponse(ctx, method, cmd.String("addr"), "/v2/jobs/"+url.PathEscape(id), nil), "job %q", id)
	}
}

func listJobs(ctx context.Context, cmd *cli.Command) error {
	query := url.Values{}
	for _, name := range []string{"queue", "state", "after"} {
		if cmd.IsSet(name) {
			query.Set(name, cmd.String(name))
		}
	}
	if cmd.IsSet("limit") {
		query.Set("limit", strconv.Itoa(cmd.Int("limit")))
	}
	return errs.Pass(printResponse(ctx, http.MethodGet, cmd.String("addr"), "/v2/jobs?"+query.Encode(), nil), "list jobs")
}
