package clientapi

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"crosstide/internal/errs"
	"crosstide/internal/rpc"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
	"crosstide/internal/state/query"
)

// MaxBody is the maximum size of a job's body, in bytes.
const MaxBody = 1 << 20

// Accepted is the response to POST /v1/jobs and DELETE /v1/jobs/{key}.
type Accepted struct {
	Key    string         `json:"key"`
	State  state.JobPhase `json:"state"`
	Reason string         `json:"reason,omitempty"`
}

// submit handles POST /v1/jobs.
func (a *api) submit(ctx context.Context, r *http.Request) (int, any, error) {
	defer a.submits.Add(-1)
	if inFlight := a.submits.Add(1); inFlight > int64(a.opt.MaxSubmits) {
		return 0, nil, errs.New(errs.Overloaded, "the limit of %d submissions in flight is reached", a.opt.MaxSubmits)
	}
	data, err := rpc.ReadBody(r, MaxBody)
	if err != nil {
		return 0, nil, errs.Pass(err, "submit")
	}
	spec, digest, err := Parse(data)
	if err != nil {
		return 0, nil, errs.Pass(err, "submit")
	}
	var answer command.Submitted
	submit := &command.Submit{Spec: spec, Digest: digest, Bound: a.store.QueueLimit()}
	if err := a.propose(ctx, submit, &answer); err != nil {
		return 0, nil, errs.Pass(err, "submit %s", spec.Key)
	}
	status := http.StatusOK
	if answer.Fresh {
		status = http.StatusAccepted
	}
	return status, Accepted{answer.Key, answer.Phase, answer.Reason}, nil
}

// cancelJob handles DELETE /v1/jobs/{key}.
func (a *api) cancelJob(ctx context.Context, r *http.Request) (int, any, error) {
	key, err := jobKey(r)
	if err != nil {
		return 0, nil, errs.Pass(err, "cancel")
	}
	var answer command.Cancelled
	if err := a.propose(ctx, &command.Cancel{Key: key}, &answer); err != nil {
		return 0, nil, errs.Pass(err, "cancel %s", key)
	}
	status := http.StatusAccepted
	if answer.Phase.IsTerminal() {
		status = http.StatusOK
	}
	return status, Accepted{Key: answer.Key, State: answer.Phase}, nil
}

// cancelJobs handles POST /v1/jobs/cancel: it cancels the listed jobs, or all jobs of a team, a queue or both.
func (a *api) cancelJobs(ctx context.Context, r *http.Request) (int, any, error) {
	data, err := rpc.ReadBody(r, MaxBody)
	if err != nil {
		return 0, nil, errs.Pass(err, "cancels")
	}
	var cancel command.CancelMany
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&cancel); err != nil {
		return 0, nil, errs.Wrap(err, errs.Malformed, "the body must have keys, or team, queue or both: %s", err)
	}
	var answer command.CancelledMany
	if err := a.propose(ctx, &cancel, &answer); err != nil {
		return 0, nil, errs.Pass(err, "cancels")
	}
	return http.StatusAccepted, answer, nil
}

// getJob handles GET /v1/jobs/{key}.
func (a *api) getJob(ctx context.Context, r *http.Request) (int, any, error) {
	key, err := jobKey(r)
	if err != nil {
		return 0, nil, errs.Pass(err, "job")
	}
	var view query.JobView
	var missing error // separate from read's error: a confirmed state may answer 404
	if err := a.read(ctx, func(s *state.State) { view, missing = query.Job(s, key) }); err != nil {
		return 0, nil, errs.Pass(err, "job %s", key)
	}
	if missing != nil {
		return 0, nil, errs.Pass(missing, "job %s", key)
	}
	return http.StatusOK, view, nil
}

// jobKey returns the key of a job in the path, or errs.Invalid.
func jobKey(r *http.Request) (string, error) {
	key := r.PathValue("key")
	if !nameForm.MatchString(key) {
		return "", errs.Field(errs.Invalid, "key", nameRule)
	}
	return key, nil
}
