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
	shortestHold = 5 * time.Second
	longestHold  = 24 * time.Hour
	longestWait  = 24 * time.Hour
	most         = 1 << 30
)

var nameForm = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

func named(value string) string {
	if nameForm.MatchString(value) {
		return ""
	}
	return "must be a name of 1 to 128 of A-Z a-z 0-9 . _ : -, is " + shown(value)
}

// worth is the rule for a label's value.
func worth(value string) string {
	if value == "" || len(value) > 256 {
		return "must be 1 to 256 bytes, is " + shown(value)
	}
	return ""
}

func shown(value string) string {
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
	err := config.Parse(data, func(r *config.Reader) { read(r, &b) })
	var wrong config.Mistakes
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

func read(r *config.Reader, b *state.Bundle) {
	r.Need("queues")
	r.Object("queues", func(r *config.Reader) {
		for _, name := range r.Names() {
			key(r, name)
			q := state.Queue{}
			r.Object(name, func(r *config.Reader) { queue(r, &q) })
			b.Queues[name] = q
		}
		if len(b.Queues) == 0 {
			r.Wrong("", "must hold at least one queue")
		}
	})
	b.Limits = counts(r, "limits", 0)
	b.Weights = counts(r, "weights", 1)
	b.Retries = retries(r)
	r.Object("backoff", func(r *config.Reader) {
		r.Duration("min", &b.Backoff.Min, time.Millisecond, longestWait)
		r.Duration("max", &b.Backoff.Max, time.Millisecond, longestWait)
		if b.Backoff.Min > b.Backoff.Max {
			r.Wrong("max", "must not be under min (%s), is %s", b.Backoff.Min, b.Backoff.Max)
		}
	})
	r.Duration("hold", &b.Hold, shortestHold, longestHold)
	operators(r, b)
	parties(r, b)
}

// key refuses a field name that is no valid name.
func key(r *config.Reader, name string) {
	if wrong := named(name); wrong != "" {
		r.Wrong(name, "%s", wrong)
	}
}

func queue(r *config.Reader, q *state.Queue) {
	list(r, "types", &q.Types)
	list(r, "teams", &q.Teams)
	q.Labels = labels(r, "labels")
	r.Bool("urgent", &q.Urgent)
	r.Duration("hold", &q.Hold, shortestHold, longestHold)
	q.Retries = retries(r)
	r.Renamed("charter", "placement")
	r.Object("placement", func(r *config.Reader) {
		list(r, "minions", &q.Minions)
		list(r, "zones", &q.Zones)
		list(r, "racks", &q.Racks)
		config.List(r, "near", &q.Near, func(r *config.Reader, n *state.Near) {
			r.Need("label", "value", "within")
			r.String("label", &n.Label, named)
			r.String("value", &n.Value, worth)
			r.String("within", &n.Within, config.OneOf("rack", "zone"))
		})
	})
}

// list reads names. An empty list is a mistake: it would allow any, and may be meant to allow none.
func list(r *config.Reader, field string, to *[]string) {
	got := []string{""} // stays when there is nothing, or a mistake
	switch r.Strings(field, &got, named); {
	case len(got) == 0:
		r.Wrong(field, "must not be empty; leave it out to allow any")
	case got[0] != "":
		slices.Sort(got)
		*to = slices.Compact(got)
	}
}

func labels(r *config.Reader, field string) map[string]string {
	var out map[string]string
	r.Object(field, func(r *config.Reader) {
		for _, name := range r.Names() {
			key(r, name)
			value := ""
			r.String(name, &value, worth)
			if out == nil {
				out = map[string]string{}
			}
			out[name] = value
		}
	})
	return out
}

func counts(r *config.Reader, field string, least int) map[string]int {
	var out map[string]int
	r.Object(field, func(r *config.Reader) {
		for _, name := range r.Names() {
			key(r, name)
			n := 0
			r.Int(name, &n, least, most)
			if out == nil {
				out = map[string]int{}
			}
			out[name] = n
		}
	})
	return out
}

func retries(r *config.Reader) *int {
	n := 0
	if r.Int("retries", &n, 0, most); r.Has("retries") {
		return &n
	}
	return nil
}

// operators reads who may sign from this version on: none listed leaves them as they are.
func operators(r *config.Reader, b *state.Bundle) {
	type operator struct{ name, key string }
	var list []operator
	config.List(r, "operators", &list, func(r *config.Reader, o *operator) {
		r.Need("name", "key")
		r.String("name", &o.name, named)
		r.String("key", &o.key, config.Base64(ed25519.PublicKeySize))
	})
	if !r.Has("operators") {
		return
	}
	b.Operators = map[string]string{}
	for _, o := range list {
		b.Operators[o.name] = o.key
	}
	if why := Quorate(b.Operators, len(list)); why != "" {
		r.Wrong("operators", "%s", why)
	}
}

// Quorate reports what is wrong with a set of operators that was listed in so many lines: two of them must be able
// to sign, and none may sign under two names. "" if it is well.
func Quorate(operators map[string]string, listed int) string {
	keys := slices.Sorted(maps.Values(operators))
	switch {
	case len(operators) < listed || len(slices.Compact(keys)) < listed:
		return "must have a name and a key each of their own"
	case listed < 2:
		return "must be at least two: two sign each version"
	}
	return ""
}
