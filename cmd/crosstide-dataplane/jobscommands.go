package main

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/urfave/cli/v3"

	"crosstide/internal/errs"
)

// jobsCommands returns the clients' commands of the jobs deployment.
func jobsCommands() []*cli.Command {
	addr := &cli.StringFlag{Name: "addr", Usage: "`IP:PORT` of any data-plane node", Required: true}
	queue, state := &cli.StringFlag{Name: "queue"}, &cli.StringFlag{Name: "state"}
	after := &cli.StringFlag{Name: "after", Usage: "only jobs after this `ID`"}
	limit := &cli.IntFlag{Name: "limit", Usage: "maximum number of jobs"}
	return []*cli.Command{
		{Name: "submit", Usage: "submit the job in FILE (- for standard input)", ArgsUsage: "FILE",
			Flags: []cli.Flag{addr}, Action: submitAction("/v2/jobs")},
		{Name: "show", Usage: "print the job ID", ArgsUsage: "ID", Flags: []cli.Flag{addr},
			Action: jobAction(http.MethodGet)},
		{Name: "cancel", Usage: "cancel the job ID", ArgsUsage: "ID", Flags: []cli.Flag{addr},
			Action: jobAction(http.MethodDelete)},
		{Name: "list", Usage: "print jobs, sorted by ID", Flags: []cli.Flag{addr, queue, state, after, limit},
			Action: listJobs},
		{Name: "queues", Usage: "print the queues and the number of waiting jobs in each",
			Flags: []cli.Flag{addr}, Action: listQueues},
	}
}

// jobAction returns the action that sends a request about the job named by the argument.
func jobAction(method string) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		id := cmd.Args().First()
		return errs.Pass(printResponse(ctx, cmd, method, "/v2/jobs/"+url.PathEscape(id), nil), "job %q", id)
	}
}

func listJobs(ctx context.Context, cmd *cli.Command) error {
	query := setFlags(cmd, "queue", "state", "after")
	if cmd.IsSet("limit") {
		query.Set("limit", strconv.Itoa(cmd.Int("limit")))
	}
	return errs.Pass(printResponse(ctx, cmd, http.MethodGet, "/v2/jobs?"+query.Encode(), nil), "list jobs")
}

func listQueues(ctx context.Context, cmd *cli.Command) error {
	return errs.Pass(printResponse(ctx, cmd, http.MethodGet, "/v2/queues", nil), "queues")
}
