package scheduler

import (
	"maps"
	"time"
)

// Health is what an operator wants to know of the workers under the present term.
type Health struct {
	Silent  map[string]int // by zone: workers that were not heard for Config.SilenceTimeout; those that have left are not counted
	Workers int
	Counts  Counts
	// Discarded is the work thrown away since the core was made.
	Discarded map[Cause]Discarded
}

// Health tells how the workers are at now. The table must not change meanwhile.
func (c *Core) Health(now time.Duration) Health {
	health := Health{Silent: map[string]int{}, Counts: c.Counts, Discarded: maps.Clone(c.discarded)}
	for _, id := range c.workerIDs {
		w := c.workers[id]
		rec := w.record()
		if rec == nil || rec.Left {
			continue
		}
		health.Workers++
		if now-max(w.heardAt, c.leaderSince) > c.cfg.SilenceTimeout {
			health.Silent[rec.Zone]++
		}
	}
	return health
}
