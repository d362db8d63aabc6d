package command

import (
	"crosstide/internal/bundle"
	"crosstide/internal/errs"
	"crosstide/internal/signature"
	"crosstide/internal/state"
)

// SetOperators sets the operators, once: the first leader whose settings list them proposes it. Afterwards they change
// only with a bundle that two of them have signed.
type SetOperators struct {
	Operators state.Operators `json:"operators"`
}

// Op returns "keys".
func (*SetOperators) Op() string { return "keys" }

func (c *SetOperators) apply(s *state.State, _ uint64) (any, error) {
	if len(s.Operators) > 0 {
		return nil, errs.New(errs.Conflict, "the operators are already set")
	}
	if wrong := bundle.ValidateOperators(c.Operators, len(c.Operators)); wrong != "" {
		return nil, errs.Field(errs.Invalid, "operators", "%s", wrong)
	}
	s.Operators = c.Operators
	return nil, nil
}

// verifySignature returns nil if sig is a valid signature of text by the operator named by. Failure: Forbidden.
func verifySignature(s *state.State, by, sig, text string) error {
	key, ok := s.Operators[by]
	switch {
	case len(s.Operators) == 0:
		return errs.Field(errs.Forbidden, "by",
			"no operators are set; list operator_keys in the settings of the cplanes")
	case by == "":
		return errs.Field(errs.Forbidden, "by", "an operator must sign this order")
	case !ok:
		return errs.Field(errs.Forbidden, "by", "unknown operator %q", by)
	case !signature.Verify(key, text, sig):
		return errs.Field(errs.Forbidden, "sig", "is not a valid signature of this order by %s", by)
	}
	return nil
}

// verifyIfOperatorsKnown is like verifySignature, but returns nil if the state has no operators.
func verifyIfOperatorsKnown(s *state.State, by, sig, text string) error {
	if len(s.Operators) == 0 {
		return nil
	}
	return errs.Pass(verifySignature(s, by, sig, text), "operator")
}
