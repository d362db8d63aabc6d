// Package bundle parses the operators' bundle of the policy deployment: one JSON document with queues, their placement
// policies, limits, retries, lease TTLs, weights, operators and parties. It also applies merge patches to bundles
// (Merge) and compares two bundles (Diff).
//
// The result depends on the text alone, because package command parses bundles while it applies the log: it uses no
// clock and no settings, and the meaning of an older text never changes. A text that was accepted once must be accepted
// by every later version of this package.
//
// Entry point: Parse.
package bundle

import (
	"errors"
	"time"
	"unicode/utf8"

	"crosstide/internal/config"
	"crosstide/internal/errs"
	"crosstide/internal/signature"
	"crosstide/internal/state"
)

// MaxBytes is the maximum size of a bundle and of a merge patch.
const MaxBytes = 256 << 10

// Bounds of durations. They catch wrong units, not unusual choices.
const (
	minLeaseTTL = 5 * time.Second
	maxLeaseTTL = 24 * time.Hour
	maxBackoff  = 24 * time.Hour
)

// Parse parses and validates a bundle. The Version of the result is 0. Failures: TooLarge (over MaxBytes), Invalid,
// whose message lists all validation errors with their paths, one per line, and whose field is the first path. Example:
//
//	b, err := bundle.Parse([]byte(`{"queues":{"scan":{"placement":{"zones":["z1"]}}}}`))
func Parse(data []byte) (state.Bundle, error) {
	if len(data) > MaxBytes {
		return state.Bundle{}, errs.New(errs.TooLarge, "the bundle has %d bytes, at most %d", len(data), MaxBytes)
	}
	if !utf8.Valid(data) {
		return state.Bundle{}, errs.New(errs.Invalid, "1 mistake in the bundle:\nmust be UTF-8")
	}
	b := state.Bundle{
		Queues:  map[string]state.Queue{},
		Backoff: state.Backoff{Min: 200 * time.Millisecond, Max: 30 * time.Second},
	}
	err := config.Parse(data, func(r *config.Reader) { readBundle(r, &b) })
	var invalid config.ValidationErrors
	if errors.As(err, &invalid) {
		noun := "mistakes"
		if len(invalid) == 1 {
			noun = "mistake"
		}
		return state.Bundle{}, errs.Field(errs.Invalid, invalid[0].Field,
			"%d %s in the bundle:\n%s", len(invalid), noun, invalid.Error())
	}
	return b, errs.Pass(err, "bundle")
}

// Digest returns the SHA-256 of a bundle's bytes, in hex.
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
			r.Reject("max", "must not be less than min (%s), is %s", b.Backoff.Min, b.Backoff.Max)
		}
	})
	r.Duration("hold", &b.LeaseTTL, minLeaseTTL, maxLeaseTTL)
	readOperators(r, b)
	readParties(r, b)
}

func readQueue(r *config.Reader, q *state.Queue) {
	readNames(r, "types", &q.Types)
	readNames(r, "teams", &q.Teams)
	q.Labels = readLabels(r, "labels")
	r.Bool("urgent", &q.Urgent)
	r.Duration("hold", &q.LeaseTTL, minLeaseTTL, maxLeaseTTL)
	q.Retries = readRetries(r)
	r.Renamed("charter", "placement")
	r.Object("placement", func(r *config.Reader) { readPlacementPolicy(r, q) })
}

func readPlacementPolicy(r *config.Reader, q *state.Queue) {
	readNames(r, "minions", &q.Workers)
	readNames(r, "zones", &q.Zones)
	readNames(r, "racks", &q.Racks)
	config.List(r, "near", &q.Near, func(r *config.Reader, n *state.Near) {
		r.Require("label", "value", "within")
		r.String("label", &n.Label, validateName)
		r.String("value", &n.Value, validateLabelValue)
		r.String("within", &n.Scope, config.OneOf("rack", "zone"))
	})
}
