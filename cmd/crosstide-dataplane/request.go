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

// requestTimeout is the timeout of a command's request to a node.
const requestTimeout = 10 * time.Second

// printResponse sends one request to the node at --addr and prints the response unchanged. A status of 300 or above is
// an error.
func printResponse(ctx context.Context, cmd *cli.Command, method, path string, body io.Reader) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	addr := cmd.String("addr")
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, body)
	if err != nil {
		return errs.Wrap(err, errs.Invalid, "invalid request to %s", addr)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errs.Wrap(err, errs.Unavailable, "request to %s failed", addr)
	}
	defer func() { _ = response.Body.Close() }() // the body was read to its end, so a failure to close loses nothing
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return errs.Wrap(err, errs.Unavailable, "reading the response of %s failed", addr)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return errs.New(errs.Invalid, "%s: %s", response.Status, bytes.TrimSpace(data))
	}
	fmt.Println(string(bytes.TrimSpace(data)))
	return nil
}

// submitAction returns the action that posts the job in the file named by the argument, where - is standard input.
func submitAction(path string) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		body := io.Reader(os.Stdin)
		if name := cmd.Args().First(); name != "-" {
			file, err := os.Open(name)
			if err != nil {
				return errs.Wrap(err, errs.Invalid, "job file")
			}
			defer func() { _ = file.Close() }() // the file is only read, so a failure to close loses nothing
			body = file
		}
		return errs.Pass(printResponse(ctx, cmd, http.MethodPost, path, body), "submit the job")
	}
}

// setFlags returns a query with those of the named flags that are set.
func setFlags(cmd *cli.Command, names ...string) url.Values {
	query := url.Values{}
	for _, name := range names {
		if cmd.IsSet(name) {
			query.Set(name, cmd.String(name))
		}
	}
	return query
}
