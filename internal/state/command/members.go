package command

import (
	"strings"

	"crosstide/internal/errs"
	"crosstide/internal/state"
)

// ReplaceMember allows the control-plane node New to join in the place of Old, whose machine is gone. The store removes
// Old from the members when New has caught up.
type ReplaceMember struct {
	Order string `json:"order"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// memberReplaced answers ReplaceMember. The answer is stored: its keys are in alphabetical order.
type memberReplaced struct {
	New string `json:"new"`
	Old string `json:"old"`
}

// Op returns "succeed".
func (*ReplaceMember) Op() string { return "succeed" }

func (c *ReplaceMember) apply(s *state.State, _ uint64) (any, error) {
	answer, err := applyOnce(s, c.Order, c)
	return answer, errs.Pass(err, "succeed")
}

func (c *ReplaceMember) check(s *state.State) error {
	switch {
	case c.Old == "" || c.New == "" || strings.Contains(c.Old+c.New, "~"):
		return errs.Field(errs.Invalid, "new", "the names of two machines are needed, without ~")
	case c.Old == c.New:
		return errs.Field(errs.Invalid, "new", "a machine of the same name joins by itself")
	}
	if old, ok := s.Successors[c.New]; ok && old != c.Old {
		return errs.Field(errs.Conflict, "new", "%q takes the place of %q already", c.New, old)
	}
	return nil
}

func (c *ReplaceMember) change(s *state.State) (any, error) {
	if s.Successors == nil {
		s.Successors = map[string]string{}
	}
	s.Successors[c.New] = c.Old
	return memberReplaced{New: c.New, Old: c.Old}, nil
}
