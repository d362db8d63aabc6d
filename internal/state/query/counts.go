package query

import "crosstide/internal/state"

// Counts holds the number of records of each kind in the state.
type Counts struct {
	Jobs, Inbox, Tombstones, Handles, Workers int
	HandlesByType                             map[string]int // handles by task type
}

// Count returns the Counts of s.
func Count(s *state.State) Counts {
	return Counts{
		Jobs: len(s.Jobs), Inbox: len(s.Inbox), Tombstones: len(s.Tombstones), Handles: len(s.Handles),
		Workers: len(s.Workers), HandlesByType: s.HandlesByType(),
	}
}
