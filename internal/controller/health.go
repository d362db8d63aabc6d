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

// healthInterval is the least pause between looks at the workers' health.
const healthInterval = time.Second

// healthLog writes a line when workers fall silent or come back, and when runs end that no worker has reported.
type healthLog struct {
	log  log.Logger
	next time.Duration
	last scheduler.Health
}

// isDue tells whether it is time for a look.
func (h *healthLog) isDue(now time.Duration) bool { return now >= h.next }

// change writes what has changed since the last look.
func (h *healthLog) report(now time.Duration, health scheduler.Health) {
	h.next = now + healthInterval
	last := h.last
	h.last = health
	if !maps.Equal(last.Silent, health.Silent) {
		_ = level.Warn(h.log).Log("msg", "silent workers", "of", health.Workers, "zones", zoneCounts(health.Silent))
	}
	lost, lapsed := health.Counts.Lost-last.Counts.Lost, health.Counts.Expired-last.Counts.Expired
	unconfirmed, refused := health.Counts.Unconfirmed-last.Counts.Unconfirmed, health.Counts.Refused-last.Counts.Refused
	if lost+unconfirmed+refused > 0 {
		_ = level.Warn(h.log).Log("msg", "runs without an end", "lost", lost, "lapsed", lapsed, "doubted", unconfirmed, "refused", refused)
	}
}

// zoneCounts writes counts by zone in one order.
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
