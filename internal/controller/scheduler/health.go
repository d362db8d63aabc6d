package scheduler

import (
	"maps"
	"time"
)

// Health is what operators are shown of the workers under the present term.
type Health struct {
	// Silent counts, by zone, the workers that were not heard for Config.SilenceTimeout. Deregistered ones don't count.
	Silent  map[string]int
	Workers int
	Counts  Counts
	// Discarded is the work discarded since New.
	Discarded map[Cause]Discarded
}

// Health returns the state of the workers at now. The table must not change meanwhile.
func (c *Core) Health(now time.Duration) Health {
	health := Health{Silent: map[string]int{}, Counts: c.Counts, Discarded: maps.Clone(c.discarded)}
	for _, w := range c.workerList {
		rec := w.record()
		if rec == nil || rec.Left {
			continue
		}
		health.Workers++
		if now-max(w.contact.heardAt, c.leaderSince) > c.cfg.SilenceTimeout {
			health.Silent[rec.Zone]++
		}
	}
	return health
}
