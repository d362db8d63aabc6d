package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"crosstide/internal/errs"
	"crosstide/internal/httpapi/operatorapi"
)

func addrFlags() []cli.Flag {
	return []cli.Flag{&cli.StringFlag{Name: "addr", Usage: "`IP:PORT` of any control-plane node", Required: true}}
}

// orderID returns the order's id: the flag's, or a random one that is printed on standard error, so that the order
// can be sent again.
func orderID(cmd *cli.Command) string {
	id := cmd.String("order")
	if id == "" {
		id = rand.Text()[:16]
		fmt.Fprintln(os.Stderr, "order", id)
	}
	return id
}

// orderCommand posts an order that needs no signature. Sent again with the same --order it is carried out once.
func orderCommand(name, usage, what, path string) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: what, Flags: append(addrFlags(), orderFlag()),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			a, err := exactArgs(cmd, strings.Fields(what)...)
			if err != nil {
				return errs.Pass(err, "%s", name)
			}
			id := orderID(cmd)
			body, err := json.Marshal(operatorapi.Order{Order: id})
			if err != nil {
				return errs.Wrap(err, errs.Internal, "encode the order")
			}
			raw, err := doRequest(ctx, http.MethodPost, cmd.String("addr"), fmt.Sprintf(path, escapePaths(a)...), body)
			if err != nil {
				return errs.Pass(err, "order %s", id)
			}
			fmt.Println(string(bytes.TrimSpace(raw)))
			return nil
		},
	}
}

// escapePaths makes words fit for a path.
func escapePaths(words []string) []any {
	out := make([]any, len(words))
	for i, w := range words {
		out[i] = url.PathEscape(w)
	}
	return out
}

func doRequest(ctx context.Context, method, addr, path string, body []byte) ([]byte, error) {
	ctx, over := context.WithTimeout(ctx, callTimeout)
	defer over()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "request")
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		var failed *url.Error // its text is the whole URL, whose query may hold a signature
		if errors.As(err, &failed) {
			err = failed.Err
		}
		return nil, errs.Wrap(err, errs.Unavailable, "ask %s", addr)
	}
	defer func() { _ = res.Body.Close() }() // all of it was read
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, errs.Wrap(err, errs.Unavailable, "answer of %s", addr)
	}
	if res.StatusCode != http.StatusOK {
		f := &errs.Error{Kind: errs.Unavailable, Message: res.Status}
		_ = json.Unmarshal(raw, f) // without an error body the status says enough
		return nil, errs.Field(f.Kind, f.Field, "%s", f.Message)
	}
	return raw, nil
}

func showRoles(ctx context.Context, cmd *cli.Command) error {
	var w operatorapi.Who
	return errs.Pass(printQuery(ctx, cmd, "/v1/who", &w, func(out io.Writer) {
		fmt.Fprintln(out, "store", w.Store)
		fmt.Fprintln(out, "sched", w.Scheduler)
		for _, m := range w.Members {
			kind := "voter"
			if m.Learner {
				kind = "learner"
			}
			fmt.Fprintln(out, kind, m.ID, m.Addr, m.Zone)
		}
		for _, n := range w.Nodes {
			fmt.Fprintln(out, "node", n.Name, n.Role, n.Zone, n.Addr, n.Age.Round(time.Millisecond))
		}
		for _, zone := range w.Evacuated {
			fmt.Fprintln(out, "evacuated", zone)
		}
	}), "who")
}

// listMembers prints the members of the store, with how far each has its log.
func listMembers(ctx context.Context, cmd *cli.Command) error {
	var w operatorapi.Who
	return errs.Pass(printQuery(ctx, cmd, "/v1/who", &w, func(out io.Writer) {
		fmt.Fprintln(out, "ID\tADDR\tZONE\tSTANDS\tMATCH")
		for _, m := range w.Members {
			stands := "voter"
			if m.Learner {
				stands = "learner"
			}
			match := "-"
			if w.Status != nil && w.Status.Raft.Match[m.ID] > 0 { // only the leader knows
				match = fmt.Sprint(w.Status.Raft.Match[m.ID])
			}
			if w.Store == m.ID || strings.HasPrefix(m.ID, w.Store+"~") {
				stands += ", leads"
			}
			fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\n", m.ID, m.Addr, m.Zone, stands, match)
		}
	}), "members")
}

func listWorkers(ctx context.Context, cmd *cli.Command) error {
	var list operatorapi.Workers
	return errs.Pass(printQuery(ctx, cmd, "/v1/minions", &list, func(out io.Writer) {
		fmt.Fprintln(out, "NAME\tADDR\tZONE\tKIND\tBOOT\tTICKETS\tCORES\tGPUS\tSTATE")
		for _, m := range list.Workers {
			state := "open"
			if m.Closed || m.Draining {
				state = "drain"
			}
			fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\t%d\t%d/%d\t%d/%d\t%s\n", m.Name, m.Addr, m.Zone, m.Kind, m.Incarnation, m.RunCount,
				m.UsedCores, m.Cores, m.UsedGPUs, m.GPUs, state)
		}
	}), "minions")
}
