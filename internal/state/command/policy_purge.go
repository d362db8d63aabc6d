package command

import (
	"time"

	"crosstide/internal/state"
)

// Purge replaces old terminal jobs by tombstones, and drops old tombstones and answered orders. A job is replaced if it
// ended before JobsBefore or is not among the newest JobsKeep; the same holds for tombstones. An order is dropped if it
// was answered before OrdersBefore.
type Purge struct {
	JobsBefore       time.Time `json:"jobs_before"`
	JobsKeep         int       `json:"jobs_keep"`
	TombstonesBefore time.Time `json:"tombs_before"`
	TombstonesKeep   int       `json:"tombs_keep"`
	OrdersBefore     time.Time `json:"orders_before"`
}

// Op returns "tidy".
func (*Purge) Op() string { return "tidy" }

func (c *Purge) apply(s *state.State, _ uint64) (any, error) {
	for len(s.EndedJobs) > 0 {
		if len(s.EndedJobs) <= c.JobsKeep && !s.Jobs[s.EndedJobs[0]].EndedAt.Before(c.JobsBefore) {
			break
		}
		s.ReplaceOldestJobByTombstone()
	}
	for len(s.TombstoneOrder) > 0 {
		oldest := s.Tombstones[s.TombstoneOrder[0]]
		if len(s.TombstoneOrder) <= c.TombstonesKeep && !oldest.EndedAt.Before(c.TombstonesBefore) {
			break
		}
		s.DropOldestTombstone()
	}
	for len(s.OrderKeys) > 0 && s.Orders[s.OrderKeys[0]].At.Before(c.OrdersBefore) {
		s.DropOldestOrder()
	}
	return nil, nil
}
