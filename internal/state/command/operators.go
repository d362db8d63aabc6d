package command

import (
	"crosstide/internal/bundle"
	"crosstide/internal/errs"
	"crosstide/internal/signature"
	"crosstide/internal/state"
)

// SetOperators sets the operators, once: the first leader whose settings list them proposes it. From then on they
// change only with a bundle that two of them signed.
type SetOperators struct {
	Operators state.Operators `json:"operators"`
}

// Op returns "keys".
func (*SetOperators) Op() string { return "keys" }

func (c *SetOperators) apply(s *state.State, _ uint64) (any, error) {
	if len(s.Operators) > 0 {
		return nil, errs.New(errs.Conflict, "the store knows its operators already")
	}
	if wrong := bundle.OperatorsError(c.Operators, len(c.Operators)); wrong != "" {
		return nil, errs.Field(errs.Invalid, "operators", "%s", wrong)
	}
	s.Operators = c.Operators
	return nil, nil
}

// verifySignature returns nil if sig is the signature of text by the operator by. Failure: Forbidden.
func verifySignature(s *state.State, by, sig, text string) error {
	key, ok := s.Operators[by]
	switch {
	case len(s.Operators) == 0:
		return errs.Field(errs.Forbidden, "by",
			"the store knows no operators; list operator_keys in the cplanes' settings")
	case by == "":
		return errs.Field(errs.Forbidden, "by", "an operator must sign this")
	case !ok:
		return errs.Field(errs.Forbidden, "by", "%q is no operator", by)
	case !signature.Verify(key, text, sig):
		return errs.Field(errs.Forbidden, "sig", "is not %s's signature of this", by)
	}
	return nil
}

// verifyIfOperatorsKnown is like verifySignature, but returns nil as long as the state has no operators.
func verifyIfOperatorsKnown(s *state.State, by, sig, text string) error {
	if len(s.Operators) == 0 {
		return nil
	}
	return errs.Pass(verifySignature(s, by, sig, text), "operator")
}
