package bundle

import (
	"crypto/ed25519"
	"maps"
	"slices"

	"crosstide/internal/config"
	"crosstide/internal/state"
)

// readOperators reads the operators who may sign from this version on. If the field is missing, Operators stays nil and
// the operators do not change.
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
	if invalid := ValidateOperators(b.Operators, len(list)); invalid != "" {
		r.Reject("operators", "%s", invalid)
	}
}

// ValidateOperators returns the error message for an invalid set of operators, or "" if it is valid. listed is the
// number of items that the set was read from: it exceeds the size of the set if a name is listed twice. At least two
// operators are required, and no two names may share a key, so that nobody can sign under two names.
func ValidateOperators(operators state.Operators, listed int) string {
	keys := slices.Sorted(maps.Values(operators))
	switch {
	case len(operators) < listed || len(slices.Compact(keys)) < listed:
		return "must have unique names and keys"
	case listed < 2:
		return "must be at least two: each version needs two signatures"
	}
	return ""
}
