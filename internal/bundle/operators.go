package bundle

import (
	"crypto/ed25519"
	"maps"
	"slices"

	"crosstide/internal/config"
	"crosstide/internal/state"
)

// readOperators reads who may sign from this version on. Without the field they stay as they are.
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
	if why := OperatorsError(b.Operators, len(list)); why != "" {
		r.Reject("operators", "%s", why)
	}
}

// OperatorsError is what is wrong with a set of operators that was listed in so many lines: two of them must be able to
// sign, and none may sign under two names. "" if nothing is.
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
