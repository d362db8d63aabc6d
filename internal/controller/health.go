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

// healthInterval is how often the workers' health is reported.
const healthInterval = time.Second

// healthLog writes a line when workers fall silent or come back, and when runs end that no worker has reported. The
// leader's loop owns it.
type healthLog struct {
	log    log.Logger
	nextAt time.Duration
	last   scheduler.Health // as of the last report
}

// isDue reports whether it is time for a report.
func (h *healthLog) isDue(now time.Duration) bool { return now >= h.nextAt }

// report logs what changed since the last report.
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
		_ = level.Warn(h.log).Log("msg", "runs without an end", "lost", lost, "lapsed", expired,
			"doubted", unconfirmed, "refused", refused)
	}
}

// zoneCounts formats counts by zone, in the zones' order.
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
