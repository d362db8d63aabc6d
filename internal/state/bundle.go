package state

import (
	"cmp"
	"time"
)

// Bundle is a version of the operators' configuration of the policy deployment, as package bundle reads it from its
// text. State.Bundle is the one in force.
type Bundle struct {
	Version uint64           `json:"version"`
	Queues  map[string]Queue `json:"queues"`
	Limits  map[string]int   `json:"limits,omitempty"` // by task type: running tasks; they only order the queue
	Backoff Backoff          `json:"backoff"`
	// Retries bounds the retries that steps may ask for; nil: no bound.
	Retries *int `json:"retries,omitempty"`
	// LeaseTTL is the time for which a run continues without a renewal; 0: the scheduler's setting.
	LeaseTTL time.Duration `json:"hold,omitempty"`
	// Weights are the teams' shares under contention; a team that is not listed has 1.
	Weights map[string]int `json:"weights,omitempty"`
	// Operators replace State.Operators when this version is put in force; empty: they stay.
	Operators Operators `json:"operators,omitempty"`
	// Parties pay for runs, by name. SetParties derives the other two: queue and team to the party's name.
	Parties      map[string]Party  `json:"parties,omitempty"`
	PartyByQueue map[string]string `json:"paying_queues,omitempty"`
	PartyByTeam  map[string]string `json:"paying_teams,omitempty"`
}

// Queue is an operators' queue with its placement policy. An empty list allows any.
type Queue struct {
	Types    []string      `json:"types,omitempty"`
	Teams    []string      `json:"teams,omitempty"`
	Labels   Labels        `json:"labels,omitempty"` // a worker must have them
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

// Backoff bounds the pause before a task that ended in failure is due again.
type Backoff struct {
	Min time.Duration `json:"min"`
	Max time.Duration `json:"max"`
}

// After returns the pause after a number of failures, at least 1: Min, doubled with each failure after the first, at
// most Max.
func (b Backoff) After(failures int) time.Duration {
	// Doubling so often overflows for no Min within the bounds of a bundle. After more failures the pause is Max.
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

// RetriesFor returns the number of retries of a task in a queue: asked, which its step has, within the bundle's bounds.
func (b *Bundle) RetriesFor(queue string, asked int) int {
	for _, bound := range []*int{b.Queues[queue].Retries, b.Retries} {
		if bound != nil {
			return min(asked, *bound)
		}
	}
	return asked
}
