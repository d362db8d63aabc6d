package query

import (
	"slices"

	"crosstide/internal/errs"
	"crosstide/internal/state"
)

// The names that the API accepts in place of a version number.
const (
	Current = "current" // the version in force
	Newest  = "newest"  // the newest, in force or not
)

// Revisions returns at most limit versions of the bundle without their bodies, newest first.
func Revisions(s *state.State, limit int) []state.Revision {
	var revisions []state.Revision
	for _, r := range slices.Backward(s.Revisions) {
		if len(revisions) == limit {
			break
		}
		revisions = append(revisions, withoutBody(r))
	}
	return revisions
}

// Revision returns a version without its body, and separately its exact text, nil if it was trimmed. Failure: Unknown.
func Revision(s *state.State, version uint64) (state.Revision, []byte, error) {
	r := s.Revision(version)
	if r == nil {
		return state.Revision{}, nil, errs.Field(errs.Unknown, "version", "version %d does not exist", version)
	}
	return withoutBody(r), r.Body, nil
}

// withoutBody returns a copy of a revision without its body, which shares nothing with the state.
func withoutBody(r *state.Revision) state.Revision {
	revision := *r
	revision.Body, revision.Signed = nil, slices.Clone(r.Signed)
	return revision
}
