package clientapi

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"crosstide/internal/errs"
	"crosstide/internal/state"
	"crosstide/internal/state/query"
)

// Bounds of a list.
const (
	DefaultList = 200
	MaxList     = 1000
)

// Listing answers GET /v1/jobs. Next, if there is one, is the `after` of the next page.
type Listing struct {
	Jobs []query.JobView `json:"jobs"`
	Next string          `json:"next,omitempty"`
}

func (a *api) listJobs(ctx context.Context, r *http.Request) (int, any, error) {
	q, err := parseFilter(r)
	if err != nil {
		return 0, nil, errs.Pass(err, "list")
	}
	out := Listing{Jobs: []query.JobView{}}
	err = a.read(ctx, func(s *state.State) {
		jobs, more := query.Jobs(s, q.team, q.phase, q.after, q.limit)
		out.Jobs = append(out.Jobs, jobs...)
		if more {
			out.Next = jobs[len(jobs)-1].Key
		}
	})
	if err != nil {
		return 0, nil, errs.Pass(err, "list")
	}
	return http.StatusOK, out, nil
}

// filter is the query of GET /v1/jobs.
type filter struct {
	team, after string
	phase       state.JobPhase
	limit       int
}

// phases are the states that a job can be listed by.
var phases = map[state.JobPhase]bool{
	state.JobAccepted: true, state.JobRunning: true, state.JobStopping: true,
	state.JobDone: true, state.JobFailed: true, state.JobCancelled: true,
}

func parseFilter(r *http.Request) (filter, error) {
	out := filter{limit: DefaultList}
	values, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		return out, errs.Wrap(err, errs.Malformed, "the query")
	}
	for name, list := range values {
		value := list[0]
		switch {
		case len(list) > 1:
			return out, errs.Field(errs.Invalid, name, "is given twice")
		case name == "team" && nameForm.MatchString(value):
			out.team = value
		case name == "after" && nameForm.MatchString(value):
			out.after = value
		case name == "team", name == "after":
			return out, errs.Field(errs.Invalid, name, nameRule)
		case name == "state":
			if out.phase = state.JobPhase(value); !phases[out.phase] {
				return out, errs.Field(errs.Invalid, name, "is no state of a job")
			}
		case name == "limit":
			if out.limit, err = strconv.Atoi(value); err != nil || out.limit < 1 || out.limit > MaxList {
				return out, errs.Field(errs.Invalid, name, "must be a whole number of 1 to %d", MaxList)
			}
		default:
			return out, errs.Field(errs.Invalid, join("", name), "there is no such parameter")
		}
	}
	return out, nil
}
