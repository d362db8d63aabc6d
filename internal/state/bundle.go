package state

import (
	"cmp"
	"time"
)

// Bundle is one version of the operators' configuration of the policy deployment, as parsed by package bundle.
// State.Bundle is the version in force.
type Bundle struct {
	Version uint64           `json:"version"`
	Queues  map[string]Queue `json:"queues"`
	Limits  map[string]int   `json:"limits,omitempty"` // running tasks by type; types at their limit start last
	Backoff Backoff          `json:"backoff"`
	// Retries is the upper limit of StepSpec.Retries; nil means no limit.
	Retries *int `json:"retries,omitempty"`
	// LeaseTTL is how long a run may continue without a lease renewal; 0 selects the scheduler's setting.
	LeaseTTL time.Duration `json:"hold,omitempty"`
	// Weights are the teams' shares under contention; an unlisted team has weight 1.
	Weights map[string]int `json:"weights,omitempty"`
	// Operators, unless empty, replaces State.Operators when this version is put in force.
	Operators Operators `json:"operators,omitempty"`
	// Parties are the payers of runs, by name. SetParties derives PartyByQueue and PartyByTeam, which map queues and
	// teams to party names.
	Parties      map[string]Party  `json:"parties,omitempty"`
	PartyByQueue map[string]string `json:"paying_queues,omitempty"`
	PartyByTeam  map[string]string `json:"paying_teams,omitempty"`
}

// Queue is a queue that the operators configured, with its placement policy. An empty list allows any value.
type Queue struct {
	Types    []string      `json:"types,omitempty"`
	Teams    []string      `json:"teams,omitempty"`
	Labels   Labels        `json:"labels,omitempty"` // that a worker must have
	Workers  []string      `json:"minions,omitempty"`
	Zones    []string      `json:"zones,omitempty"`
	Racks    []string      `json:"racks,omitempty"`
	Urgent   bool          `json:"urgent,omitempty"`  // its tasks go first; see OverloadReason too
	Near     []Near        `json:"near,omitempty"`    // all must be satisfied
	LeaseTTL time.Duration `json:"hold,omitempty"`    // overrides Bundle.LeaseTTL unless 0
	Retries  *int          `json:"retries,omitempty"` // overrides Bundle.Retries unless nil
}

// Near requires that some worker in the same zone or rack has Label with Value, for example one with a data set.
type Near struct {
	Label string `json:"label"`
	Value string `json:"value"`
	Scope string `json:"within"` // ScopeZone or ScopeRack
}

// Backoff bounds the delay before a failed task is due again.
type Backoff struct {
	Min time.Duration `json:"min"`
	Max time.Duration `json:"max"`
}

// After returns the delay after the given number of failures, which must be at least 1. It is Min, doubled with each
// failure after the first, and at most Max.
func (b Backoff) After(failures int) time.Duration {
	// Up to this number of failures no Min that package bundle accepts overflows when doubled. After more failures the
	// delay is Max.
	const maxDoubled = 15
	if failures > maxDoubled {
		return b.Max
	}
	return min(b.Max, b.Min<<(failures-1))
}

// LeaseTTLFor returns the lease TTL of a queue's runs; fallback is the scheduler's setting.
func (b *Bundle) LeaseTTLFor(queue string, fallback time.Duration) time.Duration {
	return cmp.Or(b.Queues[queue].LeaseTTL, b.LeaseTTL, fallback)
}

// RetriesFor returns the number of retries of a task in a queue: requested, the value of its step, capped by the limit
// of the queue or else of the bundle.
func (b *Bundle) RetriesFor(queue string, requested int) int {
	for _, limit := range []*int{b.Queues[queue].Retries, b.Retries} {
		if limit != nil {
			return min(requested, *limit)
		}
	}
	return requested
}
