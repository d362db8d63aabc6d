package controller

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"crosstide/internal/controller/scheduler"
)

// healthInterval is the interval between reports of the workers' health.
const healthInterval = time.Second

// healthLog logs changes in the number of silent workers, and runs that were lost, refused or not confirmed by their
// worker. The leader's loop owns it.
type healthLog struct {
	log    log.Logger
	nextAt time.Duration
	last   scheduler.Health // as of the previous report
}

// isDue reports whether it is time for a report.
func (h *healthLog) isDue(now time.Duration) bool { return now >= h.nextAt }

// report logs the differences from the previous report.
func (h *healthLog) report(now time.Duration, health scheduler.Health) {
	h.nextAt = now + healthInterval
	last := h.last
	h.last = health
	if !maps.Equal(last.Silent, health.Silent) {
		_ = level.Warn(h.log).Log("msg", "silent workers", "of", health.Workers, "zones", zoneCounts(health.Silent))
	}
	lost, expired := health.Counts.Lost-last.Counts.Lost, health.Counts.Expired-last.Counts.Expired
	unconfirmed := health.Counts.Unconfirmed - last.Counts.Unconfirmed
	refused := health.Counts.Refused - last.Counts.Refused
	if lost+unconfirmed+refused > 0 {
		_ = level.Warn(h.log).Log("msg", "runs lost, unconfirmed or refused", "lost", lost, "lapsed", expired,
			"doubted", unconfirmed, "refused", refused)
	}
}

// zoneCounts formats the counts by zone, sorted by zone name.
func zoneCounts(counts map[string]int) string {
	parts := make([]string, 0, len(counts))
	for _, zone := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s:%d", zone, counts[zone]))
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ",")
}
