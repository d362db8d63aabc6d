package command

import (
	"strings"

	"crosstide/internal/errs"
	"crosstide/internal/state"
)

// ReplaceMember allows the control-plane node New to replace Old, whose machine is lost. The store removes Old from the
// members when New has caught up.
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
		return errs.Field(errs.Invalid, "new", "the old and the new name must not be empty and must not contain ~")
	case c.Old == c.New:
		return errs.Field(errs.Invalid, "new", "a machine with the same name joins without an order")
	}
	if old, ok := s.Successors[c.New]; ok && old != c.Old {
		return errs.Field(errs.Conflict, "new", "%q already replaces %q", c.New, old)
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
