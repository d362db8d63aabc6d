// Package bundle reads the operators' bundle: one JSON document with queues, their placement policies, limits, retries,
// holds and weights. What it says of a text depends on the text alone, for the store asks it while it applies.
package bundle

import (
	"crypto/ed25519"
	"errors"
	"maps"
	"regexp"
	"slices"
	"time"
	"unicode/utf8"

	"crosstide/internal/config"
	"crosstide/internal/errs"
	"crosstide/internal/signature"
	"crosstide/internal/state"
)

// MaxBytes bounds the text of a bundle and of a merge patch.
const MaxBytes = 256 << 10

// Bounds of what may be set; they catch slips of the unit, not odd choices.
const (
	minLeaseTTL = 5 * time.Second
	maxLeaseTTL = 24 * time.Hour
	maxBackoff  = 24 * time.Hour
	maxCount    = 1 << 30
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

func validateName(value string) string {
	if namePattern.MatchString(value) {
		return ""
	}
	return "must be a name of 1 to 128 of A-Z a-z 0-9 . _ : -, is " + quoteShort(value)
}

// validateLabelValue is the rule for a label's value.
func validateLabelValue(value string) string {
	if value == "" || len(value) > 256 {
		return "must be 1 to 256 bytes, is " + quoteShort(value)
	}
	return ""
}

func quoteShort(value string) string {
	if r := []rune(value); len(r) > 40 {
		value = string(r[:40]) + "…"
	}
	return `"` + value + `"`
}

// Parse reads a bundle. The Version of its result is 0. All mistakes are reported at once, one a line with its
// path, in the message of one errs.Invalid (Field: the first path); a text over MaxBytes is errs.TooLarge.
// Example:
//
//	b, err := bundle.Parse([]byte(`{"queues":{"scan":{"placement":{"zones":["z1"]}}}}`))
func Parse(data []byte) (state.Bundle, error) {
	if len(data) > MaxBytes {
		return state.Bundle{}, errs.New(errs.TooLarge, "the bundle has %d bytes, at most %d", len(data), MaxBytes)
	}
	if !utf8.Valid(data) {
		return state.Bundle{}, errs.New(errs.Invalid, "1 mistake in the bundle:\nmust be UTF-8")
	}
	b := state.Bundle{Queues: map[string]state.Queue{}, Backoff: state.Backoff{Min: 200 * time.Millisecond, Max: 30 * time.Second}}
	err := config.Parse(data, func(r *config.Reader) { readBundle(r, &b) })
	var wrong config.ValidationErrors
	if errors.As(err, &wrong) {
		noun := "mistakes"
		if len(wrong) == 1 {
			noun = "mistake"
		}
		return state.Bundle{}, errs.Field(errs.Invalid, wrong[0].Field, "%d %s in the bundle:\n%s", len(wrong), noun, wrong.Error())
	}
	return b, errs.Pass(err, "bundle")
}

// Digest is the SHA-256 of the exact bytes, in hex.
func Digest(data []byte) string { return signature.Digest(data) }

func readBundle(r *config.Reader, b *state.Bundle) {
	r.Require("queues")
	r.Object("queues", func(r *config.Reader) {
		for _, name := range r.Names() {
			checkName(r, name)
			q := state.Queue{}
			r.Object(name, func(r *config.Reader) { readQueue(r, &q) })
			b.Queues[name] = q
		}
		if len(b.Queues) == 0 {
			r.Reject("", "must hold at least one queue")
		}
	})
	b.Limits = readCounts(r, "limits", 0)
	b.Weights = readCounts(r, "weights", 1)
	b.Retries = readRetries(r)
	r.Object("backoff", func(r *config.Reader) {
		r.Duration("min", &b.Backoff.Min, time.Millisecond, maxBackoff)
		r.Duration("max", &b.Backoff.Max, time.Millisecond, maxBackoff)
		if b.Backoff.Min > b.Backoff.Max {
			r.Reject("max", "must not be under min (%s), is %s", b.Backoff.Min, b.Backoff.Max)
		}
	})
	r.Duration("hold", &b.LeaseTTL, minLeaseTTL, maxLeaseTTL)
	readOperators(r, b)
	readParties(r, b)
}

// checkName refuses a field name that is no valid name.
func checkName(r *config.Reader, name string) {
	if wrong := validateName(name); wrong != "" {
		r.Reject(name, "%s", wrong)
	}
}

func readQueue(r *config.Reader, q *state.Queue) {
	readNames(r, "types", &q.Types)
	readNames(r, "teams", &q.Teams)
	q.Labels = readLabels(r, "labels")
	r.Bool("urgent", &q.Urgent)
	r.Duration("hold", &q.LeaseTTL, minLeaseTTL, maxLeaseTTL)
	q.Retries = readRetries(r)
	r.Renamed("charter", "placement")
	r.Object("placement", func(r *config.Reader) {
		readNames(r, "minions", &q.Workers)
		readNames(r, "zones", &q.Zones)
		readNames(r, "racks", &q.Racks)
		config.List(r, "near", &q.Near, func(r *config.Reader, n *state.Near) {
			r.Require("label", "value", "within")
			r.String("label", &n.Label, validateName)
			r.String("value", &n.Value, validateLabelValue)
			r.String("within", &n.Scope, config.OneOf("rack", "zone"))
		})
	})
}

// readNames reads names. An empty list is a mistake: it would allow any, and may be meant to allow none.
func readNames(r *config.Reader, field string, to *[]string) {
	got := []string{""} // stays when there is nothing, or a mistake
	switch r.Strings(field, &got, validateName); {
	case len(got) == 0:
		r.Reject(field, "must not be empty; leave it out to allow any")
	case got[0] != "":
		slices.Sort(got)
		*to = slices.Compact(got)
	}
}

func readLabels(r *config.Reader, field string) map[string]string {
	var out map[string]string
	r.Object(field, func(r *config.Reader) {
		for _, name := range r.Names() {
			checkName(r, name)
			value := ""
			r.String(name, &value, validateLabelValue)
			if out == nil {
				out = map[string]string{}
			}
			out[name] = value
		}
	})
	return out
}

func readCounts(r *config.Reader, field string, least int) map[string]int {
	var out map[string]int
	r.Object(field, func(r *config.Reader) {
		for _, name := range r.Names() {
			checkName(r, name)
			n := 0
			r.Int(name, &n, least, maxCount)
			if out == nil {
				out = map[string]int{}
			}
			out[name] = n
		}
	})
	return out
}

func readRetries(r *config.Reader) *int {
	n := 0
	if r.Int("retries", &n, 0, maxCount); r.Has("retries") {
		return &n
	}
	return nil
}

// readOperators reads who may sign from this version on: none listed leaves them as they are.
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
	b.Operators = map[string]string{}
	for _, o := range list {
		b.Operators[o.name] = o.key
	}
	if why := OperatorsError(b.Operators, len(list)); why != "" {
		r.Reject("operators", "%s", why)
	}
}

// OperatorsError reports what is wrong with a set of operators that was listed in so many lines: two of them must be able
// to sign, and none may sign under two names. "" if it is well.
func OperatorsError(operators map[string]string, listed int) string {
	keys := slices.Sorted(maps.Values(operators))
	switch {
	case len(operators) < listed || len(slices.Compact(keys)) < listed:
		return "must have a name and a key each of their own"
	case listed < 2:
		return "must be at least two: two sign each version"
	}
	return ""
}
