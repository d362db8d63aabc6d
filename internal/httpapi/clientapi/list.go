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
	DefaultListLimit = 200
	MaxListLimit     = 1000
)

// Listing is the response to GET /v1/jobs. Next is the value of `after` for the next page, empty on the last page.
type Listing struct {
	Jobs []query.JobView `json:"jobs"`
	Next string          `json:"next,omitempty"`
}

// listJobs handles GET /v1/jobs.
func (a *api) listJobs(ctx context.Context, r *http.Request) (int, any, error) {
	f, err := parseFilter(r)
	if err != nil {
		return 0, nil, errs.Pass(err, "list")
	}
	listing := Listing{Jobs: []query.JobView{}}
	err = a.read(ctx, func(s *state.State) {
		jobs, more := query.Jobs(s, f.team, f.phase, f.after, f.limit)
		listing.Jobs = append(listing.Jobs, jobs...)
		if more {
			listing.Next = jobs[len(jobs)-1].Key
		}
	})
	if err != nil {
		return 0, nil, errs.Pass(err, "list")
	}
	return http.StatusOK, listing, nil
}

// filter is the parsed query of GET /v1/jobs. Empty fields match all jobs.
type filter struct {
	team, after string
	phase       state.JobPhase
	limit       int
}

// phases are the valid values of the query parameter state.
var phases = map[state.JobPhase]bool{
	state.JobAccepted: true, state.JobRunning: true, state.JobStopping: true,
	state.JobDone: true, state.JobFailed: true, state.JobCancelled: true,
}

// parseFilter parses the query of GET /v1/jobs.
func parseFilter(r *http.Request) (filter, error) {
	f := filter{limit: DefaultListLimit}
	values, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		return f, errs.Wrap(err, errs.Malformed, "invalid query")
	}
	for name, list := range values {
		value := list[0]
		switch {
		case len(list) > 1:
			return f, errs.Field(errs.Invalid, name, "is given twice")
		case name == "team" && nameForm.MatchString(value):
			f.team = value
		case name == "after" && nameForm.MatchString(value):
			f.after = value
		case name == "team", name == "after":
			return f, errs.Field(errs.Invalid, name, nameRule)
		case name == "state":
			if f.phase = state.JobPhase(value); !phases[f.phase] {
				return f, errs.Field(errs.Invalid, name, "is not a job state")
			}
		case name == "limit":
			if f.limit, err = strconv.Atoi(value); err != nil || f.limit < 1 || f.limit > MaxListLimit {
				return f, errs.Field(errs.Invalid, name, "must be a whole number from 1 to %d", MaxListLimit)
			}
		default:
			return f, errs.Field(errs.Invalid, join("", name), "is not a known parameter")
		}
	}
	return f, nil
}
