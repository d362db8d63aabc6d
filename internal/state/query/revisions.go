package query

import (
	"slices"

	"crosstide/internal/errs"
	"crosstide/internal/state"
)

// Words of the API that stand for a version number.
const (
	Current = "current" // the version in force
	Newest  = "newest"  // the newest, in force or not
)

// Revisions returns the versions of the bundle without bodies, newest first, at most limit.
func Revisions(s *state.State, limit int) []state.Revision {
	var out []state.Revision
	for _, r := range slices.Backward(s.Revisions) {
		if len(out) == limit {
			break
		}
		out = append(out, withoutBody(r))
	}
	return out
}

// Revision returns a version without its body, and its exact text, nil if that was trimmed. Failure: Unknown.
func Revision(s *state.State, version uint64) (state.Revision, []byte, error) {
	r := s.Revision(version)
	if r == nil {
		return state.Revision{}, nil, errs.Field(errs.Unknown, "version", "no version %d", version)
	}
	return withoutBody(r), r.Body, nil
}

func withoutBody(r *state.Revision) state.Revision {
	out := *r
	out.Body, out.Signed = nil, slices.Clone(r.Signed)
	return out
}
