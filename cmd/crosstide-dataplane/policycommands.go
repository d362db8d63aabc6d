package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/urfave/cli/v3"

	"crosstide/internal/errs"
	"crosstide/internal/state/command"
)

// policyJobCommand returns the clients' command of the policy deployment.
func policyJobCommand() *cli.Command {
	addr := &cli.StringFlag{Name: "addr", Usage: "`IP:PORT` of any data-plane node", Required: true}
	team, queue := &cli.StringFlag{Name: "team"}, &cli.StringFlag{Name: "queue"}
	state := &cli.StringFlag{Name: "state"}
	after := &cli.StringFlag{Name: "after", Usage: "only jobs after this `KEY`"}
	return &cli.Command{Name: "job", Usage: "submit, show, list and cancel jobs", Commands: []*cli.Command{
		{Name: "submit", Usage: "submit the job in FILE (- for standard input)", ArgsUsage: "FILE",
			Flags: []cli.Flag{addr}, Action: submitAction("/v1/jobs")},
		{Name: "show", Usage: "print the job KEY", ArgsUsage: "KEY", Flags: []cli.Flag{addr}, Action: showPolicyJob},
		{Name: "cancel", Usage: "cancel the jobs KEY…, or all jobs of a team or queue", ArgsUsage: "[KEY…]",
			Flags: []cli.Flag{addr, team, queue}, Action: cancelPolicyJobs},
		{Name: "list", Usage: "print jobs", Flags: []cli.Flag{addr, team, state, after}, Action: listPolicyJobs},
	}}
}

func policyJobPath(key string) string { return "/v1/jobs/" + url.PathEscape(key) }

func showPolicyJob(ctx context.Context, cmd *cli.Command) error {
	key := cmd.Args().First()
	return errs.Pass(printResponse(ctx, cmd, http.MethodGet, policyJobPath(key), nil), "show job %q", key)
}

// cancelPolicyJobs cancels one job by its key, or, with one order, all jobs selected by keys, team and queue.
func cancelPolicyJobs(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() == 1 && !cmd.IsSet("team") && !cmd.IsSet("queue") {
		key := cmd.Args().First()
		return errs.Pass(printResponse(ctx, cmd, http.MethodDelete, policyJobPath(key), nil), "cancel job %q", key)
	}
	body, err := json.Marshal(command.CancelMany{Keys: cmd.Args().Slice(), Team: cmd.String("team"),
		Queue: cmd.String("queue")})
	if err != nil {
		return errs.Wrap(err, errs.Internal, "encode the order")
	}
	return errs.Pass(printResponse(ctx, cmd, http.MethodPost, "/v1/jobs/cancel", bytes.NewReader(body)), "cancel")
}

func listPolicyJobs(ctx context.Context, cmd *cli.Command) error {
	query := setFlags(cmd, "team", "state", "after")
	return errs.Pass(printResponse(ctx, cmd, http.MethodGet, "/v1/jobs?"+query.Encode(), nil), "list jobs")
}
