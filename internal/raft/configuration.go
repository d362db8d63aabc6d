package raft

import (
	"encoding/json"
	"slices"

	"crosstide/internal/errs"
)

// configuration is the member set an entry (or snapshot) at Index brought.
type configuration struct {
	index   uint64
	members []Member
}

// configurationOf decodes and checks the set of a Members entry.
func configurationOf(e Entry) (configuration, error) {
	c := configuration{index: e.Index}
	if err := json.Unmarshal(e.Data, &c.members); err != nil {
		return c, errs.Wrap(err, errs.Damaged, "members at index %d", e.Index)
	}
	return c, errs.Pass(validateMembers(c.members), "members at index %d", e.Index)
}

// DecodeMembers returns the member set that a Members entry brings.
func DecodeMembers(e Entry) ([]Member, error) {
	c, err := configurationOf(e)
	return c.members, errs.Pass(err, "decode")
}

// validateMembers checks a member set by itself.
func validateMembers(ms []Member) error {
	seen := make(map[string]bool, len(ms))
	voters := 0
	for _, m := range ms {
		if m.ID == "" || seen[m.ID] {
			return errs.Field(errs.Invalid, "members", "ID %q is empty or doubled", m.ID)
		}
		seen[m.ID] = true
		if !m.Learner {
			voters++
		}
	}
	if voters == 0 {
		return errs.Field(errs.Invalid, "members", "no voter is left")
	}
	return nil
}

// findMember returns the member with the ID.
func findMember(ms []Member, id string) (Member, bool) {
	if i := slices.IndexFunc(ms, func(m Member) bool { return m.ID == id }); i >= 0 {
		return ms[i], true
	}
	return Member{}, false
}

func isVoter(ms []Member, id string) bool {
	m, ok := findMember(ms, id)
	return ok && !m.Learner
}

// configurationsOf collects the member sets among entries.
func configurationsOf(es []Entry) (out []configuration, err error) {
	for _, e := range es {
		if e.Kind == Members {
			f, err := configurationOf(e)
			if err != nil {
				return nil, errs.Pass(err, "entries")
			}
			out = append(out, f)
		}
	}
	return out, nil
}
