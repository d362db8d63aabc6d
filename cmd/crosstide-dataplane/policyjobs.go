package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"crosstide/internal/errs"
	"crosstide/internal/state/command"
)

// policyJobCommands are the clients' commands: they ask a dplane's API and print its answer.
func policyJobCommands() []*cli.Command {
	addr := &cli.StringFlag{Name: "addr", Usage: "`IP:PORT` of any data-plane node", Required: true}
	return []*cli.Command{{Name: "job", Usage: "hand in, show, list and cancel jobs", Commands: []*cli.Command{
		{Name: "submit", Usage: "hand in the job in FILE (- for standard input)", ArgsUsage: "FILE", Flags: []cli.Flag{addr},
			Action: func(ctx context.Context, cmd *cli.Command) error {
				in := io.Reader(os.Stdin)
				if name := cmd.Args().First(); name != "-" {
					f, err := os.Open(name)
					if err != nil {
						return errs.Wrap(err, errs.Invalid, "job file")
					}
					defer f.Close()
					in = f
				}
				return errs.Pass(printResponse(ctx, http.MethodPost, cmd.String("addr"), "/v1/jobs", in), "hand in a job")
			}},
		{Name: "show", Usage: "print the job KEY", ArgsUsage: "KEY", Flags: []cli.Flag{addr},
			Action: func(ctx context.Context, cmd *cli.Command) error {
				key := cmd.Args().First()
				return errs.Pass(printResponse(ctx, http.MethodGet, cmd.String("addr"), "/v1/jobs/"+url.PathEscape(key), nil), "show job %q", key)
			}},
		{Name: "cancel", Usage: "cancel the jobs KEY…, or all of a team or queue", ArgsUsage: "[KEY…]",
			Flags: []cli.Flag{addr, &cli.StringFlag{Name: "team"}, &cli.StringFlag{Name: "queue"}},
			Action: func(ctx context.Context, cmd *cli.Command) error {
				if cmd.Args().Len() != 1 || cmd.IsSet("team") || cmd.IsSet("queue") {
					body, err := json.Marshal(command.CancelMany{Keys: cmd.Args().Slice(), Team: cmd.String("team"), Queue: cmd.String("queue")})
					if err != nil {
						return errs.Wrap(err, errs.Internal, "encode")
					}
					return errs.Pass(printResponse(ctx, http.MethodPost, cmd.String("addr"), "/v1/jobs/cancel", bytes.NewReader(body)), "cancel")
				}
				key := cmd.Args().First()
				return errs.Pass(printResponse(ctx, http.MethodDelete, cmd.String("addr"), "/v1/jobs/"+url.PathEscape(key), nil), "cancel job %q", key)
			}},
		{Name: "list", Usage: "print jobs", Flags: []cli.Flag{addr, &cli.StringFlag{Name: "team"}, &cli.StringFlag{Name: "state"},
			&cli.StringFlag{Name: "after", Usage: "page on after this `KEY`"}},
			Action: func(ctx context.Context, cmd *cli.Command) error {
				q := url.Values{}
				for _, name := range []string{"team", "state", "after"} {
					if cmd.IsSet(name) {
						q.Set(name, cmd.String(name))
					}
				}
				return errs.Pass(printResponse(ctx, http.MethodGet, cmd.String("addr"), "/v1/jobs?"+q.Encode(), nil), "list jobs")
			}},
	}}}
}

// printResponse makes one request and prints the answer; a failure answer is an error.
func printResponse(ctx context.Context, method, addr, path string, body io.Reader) error {
	ctx, stop := context.WithTimeout(ctx, 10*time.Second)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, body)
	if err != nil {
		return errs.Wrap(err, errs.Invalid, "request")
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return errs.Wrap(err, errs.Unavailable, "%s", addr)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return errs.Wrap(err, errs.Unavailable, "answer of %s", addr)
	}
	if res.StatusCode >= 300 {
		return errs.New(errs.Invalid, "%s: %s", res.Status, bytes.TrimSpace(data))
	}
	fmt.Println(string(bytes.TrimSpace(data)))
	return nil
}
