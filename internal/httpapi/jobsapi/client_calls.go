package jobsapi

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"crosstide/internal/controller"
	"crosstide/internal/errs"
	"crosstide/internal/jobs"
	"crosstide/internal/rpc"
)

const (
	maxJobBody      = 4 << 20 // bytes
	defaultPageSize = 200     // jobs
	maxPageSize     = 1000
)

// Jobs executes the clients' calls. Its methods are safe for concurrent use and return when their ctx ends. A call that
// fails with errs.Unavailable, errs.Stopped, errs.NotLeader or errs.Overloaded was certainly not executed; one that
// fails with errs.Timeout may have been.
type Jobs interface {
	Submit(ctx context.Context, call controller.SubmitCall) (controller.SubmitAnswer, error)
	Show(ctx context.Context, call controller.ShowCall) (controller.JobView, error)
	Cancel(ctx context.Context, call controller.CancelCall) (controller.JobAnswer, error)
	List(ctx context.Context, call controller.ListCall) (controller.ListAnswer, error)
	Queues(ctx context.Context, call controller.QueuesCall) (controller.QueuesAnswer, error)
}

// JobState is the response to a submission or a cancellation.
type JobState struct {
	ID    string        `json:"id"`
	State jobs.JobState `json:"state"`
}

// Page is the response to GET /v2/jobs. Next is the value of `after` for the next page, empty on the last page.
type Page struct {
	Jobs []controller.JobSummary `json:"jobs"`
	Next string                  `json:"next,omitempty"`
}

// RegisterClients registers the routes of the clients' calls, which backend executes. timeout bounds each call; 0 means
// defaultTimeout. It must be called before the server starts.
//
//	POST   /v2/jobs       200 JobState; idempotent by the job's ID and content
//	GET    /v2/jobs/{id}  200 controller.JobView
//	DELETE /v2/jobs/{id}  200 JobState
//	GET    /v2/jobs       200 Page; ?queue= &state= &after= &limit= (1 to 1000, 200 if not given)
//	GET    /v2/queues     200 controller.QueuesAnswer
func RegisterClients(server Router, backend Jobs, timeout time.Duration) {
	c := clientCalls{backend: backend}
	route(server, "POST /v2/jobs", timeout, c.submit)
	route(server, "GET /v2/jobs", timeout, c.list)
	route(server, "GET /v2/jobs/{id}", timeout, c.show)
	route(server, "DELETE /v2/jobs/{id}", timeout, c.cancel)
	route(server, "GET /v2/queues", timeout, c.queues)
}

// clientCalls has the handlers of the clients' calls.
type clientCalls struct{ backend Jobs }

func (c clientCalls) submit(ctx context.Context, r *http.Request) (any, error) {
	body, err := rpc.ReadBody(r, maxJobBody)
	if err != nil {
		return nil, errs.Pass(err, "submit")
	}
	call, err := rpc.DecodeBody(ctx, body, func(body []byte) (controller.SubmitCall, error) {
		spec, digest, err := ParseJob(body)
		return controller.SubmitCall{Spec: spec, Digest: digest}, errs.Pass(err, "job")
	})
	if err != nil {
		return nil, errs.Pass(err, "submit")
	}
	answer, err := c.backend.Submit(ctx, call)
	return JobState{ID: call.Spec.ID, State: answer.State}, errs.Pass(err, "submit")
}

// jobID returns the job ID in the path of a request.
func jobID(r *http.Request) (string, error) {
	id := r.PathValue("id")
	if problem := checkName(id); problem != "" {
		return "", errs.Field(errs.Invalid, "id", "%s", problem)
	}
	return id, nil
}

func (c clientCalls) show(ctx context.Context, r *http.Request) (any, error) {
	id, err := jobID(r)
	if err != nil {
		return nil, errs.Pass(err, "show")
	}
	answer, err := c.backend.Show(ctx, controller.ShowCall{ID: id})
	return answer, errs.Pass(err, "show")
}

func (c clientCalls) cancel(ctx context.Context, r *http.Request) (any, error) {
	id, err := jobID(r)
	if err != nil {
		return nil, errs.Pass(err, "cancel")
	}
	answer, err := c.backend.Cancel(ctx, controller.CancelCall{ID: id})
	return JobState{ID: id, State: answer.State}, errs.Pass(err, "cancel")
}

func (c clientCalls) list(ctx context.Context, r *http.Request) (any, error) {
	call, err := parseList(r)
	if err != nil {
		return nil, errs.Pass(err, "list")
	}
	answer, err := c.backend.List(ctx, call)
	if err != nil {
		return nil, errs.Pass(err, "list")
	}
	page := Page{Jobs: answer.Jobs}
	if answer.More && len(answer.Jobs) > 0 {
		page.Next = answer.Jobs[len(answer.Jobs)-1].ID
	}
	return page, nil
}

func (c clientCalls) queues(ctx context.Context, _ *http.Request) (any, error) {
	answer, err := c.backend.Queues(ctx, controller.QueuesCall{})
	return answer, errs.Pass(err, "queues")
}

// jobStates are the states by which a list may be filtered.
var jobStates = []jobs.JobState{jobs.Queued, jobs.Running, jobs.Succeeded, jobs.Failed, jobs.Cancelled}

// parseList parses the query of GET /v2/jobs.
func parseList(r *http.Request) (controller.ListCall, error) {
	call := controller.ListCall{Limit: defaultPageSize}
	for field, values := range r.URL.Query() {
		if len(values) != 1 {
			return call, errs.Field(errs.Invalid, field, "is given more than once")
		}
		if err := setListField(&call, field, values[0]); err != nil {
			return call, errs.Pass(err, "query")
		}
	}
	return call, nil
}

// setListField sets the field of call for the query parameter named field.
func setListField(call *controller.ListCall, field, value string) error {
	switch field {
	case "queue":
		call.Queue = value
	case "after":
		call.After = value
	case "state":
		call.State = jobs.JobState(value)
		if !slices.Contains(jobStates, call.State) {
			return errs.Field(errs.Invalid, field, "must be one of %v, is %q", jobStates, value)
		}
		return nil
	case "limit":
		limit, err := strconv.Atoi(value)
		if err != nil || limit < 1 || limit > maxPageSize {
			return errs.Field(errs.Invalid, field, "must be from 1 to %d, is %q", maxPageSize, value)
		}
		call.Limit = limit
		return nil
	default:
		return errs.Field(errs.Invalid, field, "is not a known field")
	}
	if problem := checkName(value); problem != "" {
		return errs.Field(errs.Invalid, field, "%s", problem)
	}
	return nil
}
