package query

import (
	"slices"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/state"
)

// Version words that stand for a number.
const (
	Current = "current" // the version in force
	Newest  = "newest"  // the head of the line, draft or not
)

// Revisions gives the line without bodies, newest first, at most limit.
func Revisions(s *state.State, limit int) []state.Revision {
	var out []state.Revision
	for _, r := range slices.Backward(s.Revisions) {
		if len(out) == limit {
			break
		}
		out = append(out, *withoutBody(r))
	}
	return out
}

// Revision gives a version without its body, and its exact bytes; those are nil if they were let go. Failure: Unknown.
func Revision(s *state.State, version uint64) (state.Revision, []byte, error) {
	r := s.Revision(version)
	if r == nil {
		return state.Revision{}, nil, errs.Field(errs.Unknown, "version", "no version %d", version)
	}
	return *withoutBody(r), r.Body, nil
}

func withoutBody(r *state.Revision) *state.Revision {
	out := *r
	out.Body, out.Signed = nil, slices.Clone(r.Signed)
	return &out
}

// ZoneView is an evacuated zone. Since stands in the text that lifts it (signature.Lift).
type ZoneView struct {
	Zone   string    `json:"zone"`
	Since  time.Time `json:"since"`
	Signed []string  `json:"signed,omitempty"` // operators who signed its lifting
}

// Zones gives the evacuated zones in order of names.
func Zones(s *state.State) []ZoneView {
	out := []ZoneView{}
	for zone, since := range s.Evacuated {
		out = append(out, ZoneView{zone, since, slices.Clone(s.LiftSignatures[zone])})
	}
	slices.SortFunc(out, func(a, b ZoneView) int {
		if a.Zone < b.Zone {
			return -1
		}
		return 1
	})
	return out
}
