package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"crosstide/internal/errs"
	"crosstide/internal/httpapi/operatorapi"
)

// requestTimeout is the timeout of a command's request to a node.
const requestTimeout = 10 * time.Second

// doRequest sends one request to the node at --addr and returns the body of the response. If the status is not 200, it
// returns the error in the body, or Unavailable if the body has none.
func doRequest(ctx context.Context, cmd *cli.Command, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	addr := cmd.String("addr")
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "invalid request to %s", addr)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		var failed *url.Error // its text contains the URL, whose query may have a signature
		if errors.As(err, &failed) {
			err = failed.Err
		}
		return nil, errs.Wrap(err, errs.Unavailable, "request to %s failed", addr)
	}
	defer func() { _ = response.Body.Close() }() // the body was read to its end, so a failure to close loses nothing
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, errs.Wrap(err, errs.Unavailable, "reading the response of %s failed", addr)
	}
	if response.StatusCode != http.StatusOK {
		failure := &errs.Error{Kind: errs.Unavailable, Message: response.Status}
		_ = json.Unmarshal(raw, failure) // without an error in the body the message is the status
		return nil, errs.Field(failure.Kind, failure.Field, "%s", failure.Message)
	}
	return raw, nil
}

// printResponse sends one request and prints the response unchanged.
func printResponse(ctx context.Context, cmd *cli.Command, method, path string, body []byte) error {
	raw, err := doRequest(ctx, cmd, method, path, body)
	if err != nil {
		return errs.Pass(err, "%s", path)
	}
	fmt.Println(string(bytes.TrimSpace(raw)))
	return nil
}

// printQuery gets path and prints the answer: unchanged with --json, else with render.
func printQuery[T any](ctx context.Context, cmd *cli.Command, path string, render func(t table, answer T)) error {
	raw, err := doRequest(ctx, cmd, http.MethodGet, path, nil)
	if err != nil {
		return errs.Pass(err, "%s", path)
	}
	return errs.Pass(printAnswer(cmd, raw, render), "%s", path)
}

// queryAction returns the action of a command without arguments, which calls printQuery with path.
func queryAction[T any](path string, render func(t table, answer T)) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		return errs.Pass(printQuery(ctx, cmd, path, render), "query")
	}
}

// printOrder posts an order and prints its outcome. An error names the order's ID, with which it can be sent again.
func printOrder[T any](ctx context.Context, cmd *cli.Command, id, path string, body []byte,
	render func(t table, outcome T)) error {
	raw, err := doRequest(ctx, cmd, http.MethodPost, path, body)
	if err != nil {
		return errs.Pass(err, "order %s", id)
	}
	return errs.Pass(printAnswer(cmd, raw, render), "order %s", id)
}

// printJSONOrder is like printOrder, with the JSON of order as the body.
func printJSONOrder[T any](ctx context.Context, cmd *cli.Command, id, path string, order any,
	render func(t table, outcome T)) error {
	body, err := json.Marshal(order)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "encode the order")
	}
	return errs.Pass(printOrder(ctx, cmd, id, path, body, render), "order")
}

// unsignedOrderCommand returns a command that posts an order without a signature and prints the response unchanged.
// args has the names of the arguments, separated by spaces. format is the path, with one %s per argument.
func unsignedOrderCommand(name, usage, args, format string) *cli.Command {
	action := func(ctx context.Context, cmd *cli.Command) error {
		values, err := exactArgs(cmd, strings.Fields(args)...)
		if err != nil {
			return errs.Pass(err, "%s", name)
		}
		id := orderID(cmd)
		body, err := json.Marshal(operatorapi.Order{Order: id})
		if err != nil {
			return errs.Wrap(err, errs.Internal, "encode the order")
		}
		path := fmt.Sprintf(format, escapePaths(values)...)
		return errs.Pass(printResponse(ctx, cmd, http.MethodPost, path, body), "order %s", id)
	}
	return &cli.Command{Name: name, Usage: usage, ArgsUsage: args, Flags: []cli.Flag{addrFlag(), orderFlag()},
		Action: action}
}

// escapePaths escapes path segments and returns them as arguments for Sprintf.
func escapePaths(segments []string) []any {
	escaped := make([]any, len(segments))
	for i, segment := range segments {
		escaped[i] = url.PathEscape(segment)
	}
	return escaped
}
