package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"crosstide/internal/errs"
)

// requestTimeout is how long a client's command waits for an answer.
const requestTimeout = 10 * time.Second

// printResponse sends one request to the node at --addr and prints the answer as it came; an answer that is no success
// is an error.
func printResponse(ctx context.Context, cmd *cli.Command, method, path string, body io.Reader) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	addr := cmd.String("addr")
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, body)
	if err != nil {
		return errs.Wrap(err, errs.Invalid, "request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errs.Wrap(err, errs.Unavailable, "%s", addr)
	}
	defer func() { _ = response.Body.Close() }() // all of it was read
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return errs.Wrap(err, errs.Unavailable, "answer of %s", addr)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return errs.New(errs.Invalid, "%s: %s", response.Status, bytes.TrimSpace(data))
	}
	fmt.Println(string(bytes.TrimSpace(data)))
	return nil
}

// submitAction posts the job in the file that the argument names; - is standard input.
func submitAction(path string) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		in := io.Reader(os.Stdin)
		if name := cmd.Args().First(); name != "-" {
			file, err := os.Open(name)
			if err != nil {
				return errs.Wrap(err, errs.Invalid, "job file")
			}
			defer func() { _ = file.Close() }() // it was only read
			in = file
		}
		return errs.Pass(printResponse(ctx, cmd, http.MethodPost, path, in), "hand in a job")
	}
}

// setFlags are the flags of these names that are set, as a query.
func setFlags(cmd *cli.Command, names ...string) url.Values {
	query := url.Values{}
	for _, name := range names {
		if cmd.IsSet(name) {
			query.Set(name, cmd.String(name))
		}
	}
	return query
}
