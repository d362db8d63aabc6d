package endtoend

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"crosstide/internal/clock"
	"crosstide/internal/controller"
	"crosstide/internal/errs"
	"crosstide/internal/httpapi/jobsapi"
	"crosstide/internal/jobs"
	"crosstide/internal/rpc"
)

const (
	callTimeout   = 4 * time.Second
	retryInterval = 50 * time.Millisecond
)

// client sends the requests of a scenario's clients and operators. A request that failed with a retryable error is sent
// again, to the next node, until its ctx ends.
type client struct {
	caller       *rpc.Client
	clock        clock.Clock
	frontAddrs   []string // of the data planes
	controlAddrs []string // of the control planes
}

// newClient returns a client of the data planes at frontAddrs and the control planes at controlAddrs.
func newClient(caller *rpc.Client, clock clock.Clock, frontAddrs, controlAddrs []string) *client {
	return &client{caller: caller, clock: clock, frontAddrs: frontAddrs, controlAddrs: controlAddrs}
}

// Submit submits a job.
func (c *client) Submit(ctx context.Context, job any) error {
	return errs.Pass(c.call(ctx, c.frontAddrs, http.MethodPost, "/v2/jobs", job, nil), "submit")
}

// Show reads a job.
func (c *client) Show(ctx context.Context, id string) (view controller.JobView, err error) {
	err = c.call(ctx, c.frontAddrs, http.MethodGet, "/v2/jobs/"+url.PathEscape(id), nil, &view)
	return view, errs.Pass(err, "show %s", id)
}

// Cancel cancels a job.
func (c *client) Cancel(ctx context.Context, id string) error {
	err := c.call(ctx, c.frontAddrs, http.MethodDelete, "/v2/jobs/"+url.PathEscape(id), nil, nil)
	return errs.Pass(err, "cancel %s", id)
}

// AwaitState polls a job until it is in a state. Failures: Conflict if it ended in another state, Timeout if ctx ends
// first, those of Show.
func (c *client) AwaitState(ctx context.Context, id string, state jobs.JobState) error {
	for {
		view, err := c.Show(ctx, id)
		if err != nil {
			return errs.Pass(err, "await state %s", state)
		}
		if view.State == state {
			return nil
		}
		if view.State.IsTerminal() {
			return errs.New(errs.Conflict, "job %s ended as %s, expected %s", id, view.State, state)
		}
		if !c.sleep(ctx) {
			return errs.New(errs.Timeout, "job %s was still %s, expected %s", id, view.State, state)
		}
	}
}

// Config reads the current configuration.
func (c *client) Config(ctx context.Context) (config jobsapi.Configuration, err error) {
	err = c.call(ctx, c.controlAddrs, http.MethodGet, "/v2/config", nil, &config)
	return config, errs.Pass(err, "configuration")
}

// Configure replaces the configuration (PUT) or patches it (PATCH).
func (c *client) Configure(ctx context.Context, method string, order any) error {
	return errs.Pass(c.call(ctx, c.controlAddrs, method, "/v2/config", order, nil), "configure")
}

// Zone sends an operator's request about a zone; verb is "evacuate" or "restore".
func (c *client) Zone(ctx context.Context, zone, verb string) error {
	err := c.call(ctx, c.controlAddrs, http.MethodPost, "/v2/zones/"+url.PathEscape(zone)+"/"+verb, nil, nil)
	return errs.Pass(err, "%s", verb)
}

// Workers lists the workers.
func (c *client) Workers(ctx context.Context) (workers jobsapi.Workers, err error) {
	err = c.call(ctx, c.controlAddrs, http.MethodGet, "/v2/workers", nil, &workers)
	return workers, errs.Pass(err, "workers")
}

// Topology reads the leader and the members.
func (c *client) Topology(ctx context.Context) (topology controller.TopologyAnswer, err error) {
	err = c.call(ctx, c.controlAddrs, http.MethodGet, "/v2/topology", nil, &topology)
	return topology, errs.Pass(err, "topology")
}

// call sends a request to addrs, round-robin, until one answers with success or an error that is not retryable. It
// decodes the body of a success into answer, unless answer is nil. If ctx ends, it returns the last attempt's error.
func (c *client) call(ctx context.Context, addrs []string, method, path string, body, answer any) error {
	request := rpc.Request{Method: method, Path: path, Header: map[string]string{"Content-Type": "application/json"}}
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return errs.Wrap(err, errs.Internal, "encode")
		}
		request.Body = data
	}
	for i := 0; ; i++ {
		isRetryable, err := c.attempt(ctx, addrs[i%len(addrs)], request, answer)
		if err == nil {
			return nil
		}
		if !isRetryable || !c.sleep(ctx) {
			return errs.Pass(err, "%s %s", method, path)
		}
	}
}

// attempt sends a request once. isRetryable reports whether it may be sent again.
func (c *client) attempt(ctx context.Context, addr string, request rpc.Request,
	answer any) (isRetryable bool, err error) {
	response, err := c.caller.Do(ctx, addr, request, callTimeout)
	if err != nil {
		return true, errs.Pass(err, "%s", addr)
	}
	if response.Status != http.StatusOK {
		failure := errs.Error{Kind: errs.Internal}
		if err := json.Unmarshal(response.Body, &failure); err != nil {
			return false, errs.Wrap(err, errs.Malformed, "decode error of status %d from %s", response.Status, addr)
		}
		return errs.ReplyOf(failure.Kind).Retryable, errs.Field(failure.Kind, failure.Field, "%s", failure.Message)
	}
	if answer == nil {
		return false, nil
	}
	return false, errs.Wrap(json.Unmarshal(response.Body, answer), errs.Malformed, "decode answer of %s", addr)
}

// sleep waits before another attempt. It returns false if ctx ends first.
func (c *client) sleep(ctx context.Context) bool {
	return clock.Sleep(ctx.Done(), c.clock, retryInterval)
}
