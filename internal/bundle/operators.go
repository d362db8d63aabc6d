package bundle

import (
	"crypto/ed25519"
	"maps"
	"slices"

	"crosstide/internal/config"
	"crosstide/internal/state"
)

// readOperators reads the operators who may sign from this version on. Without the field they do not change.
func readOperators(r *config.Reader, b *state.Bundle) {
	type operator struct{ name, key string }
	var list []operator
	config.List(r, "operators", &list, func(r *config.Reader, o *operator) {
		r.Require("name", "key")
		r.String("name", &o.name, validateName)
		r.String("key", &o.key, config.Base64(ed25519.PublicKeySize))
	})
	if !r.Has("operators") {
		return
	}
	b.Operators = state.Operators{}
	for _, o := range list {
		b.Operators[o.name] = o.key
	}
	if wrong := OperatorsError(b.Operators, len(list)); wrong != "" {
		r.Reject("operators", "%s", wrong)
	}
}

// OperatorsError returns what is wrong with a set of operators that was listed in that many lines; "" if nothing is.
// Two of them must be able to sign, and none may sign under two names.
func OperatorsError(operators state.Operators, listed int) string {
	keys := slices.Sorted(maps.Values(operators))
	switch {
	case len(operators) < listed || len(slices.Compact(keys)) < listed:
		return "must have a name and a key each of their own"
	case listed < 2:
		return "must be at least two: two sign each version"
	}
	return ""
}
