package scheduler

import (
	"maps"
	"time"
)

// Health summarizes the workers under the current term, for logs and metrics.
type Health struct {
	// Silent is the number of silent workers by zone, see Config.SilenceTimeout. It excludes deregistered ones.
	Silent  map[string]int
	Workers int // workers that have not deregistered
	Counts  Counts
	// Discarded is the work discarded since New, by cause.
	Discarded map[Cause]Discarded
}

// Health returns the state of the workers at now. The table must not change during the call.
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
