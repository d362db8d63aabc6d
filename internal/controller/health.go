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

// healthEvery is the least pause between looks at the workers' health.
const healthEvery = time.Second

// healthLog writes a line when workers fall silent or come back, and when runs end that no worker has reported.
type healthLog struct {
	log  log.Logger
	next time.Duration
	last scheduler.Health
}

// due tells whether it is time for a look.
func (h *healthLog) due(now time.Duration) bool { return now >= h.next }

// note writes what has changed since the last look.
func (h *healthLog) note(now time.Duration, health scheduler.Health) {
	h.next = now + healthEvery
	last := h.last
	h.last = health
	if !maps.Equal(last.Silent, health.Silent) {
		_ = level.Warn(h.log).Log("msg", "silent workers", "of", health.Workers, "zones", zoneCounts(health.Silent))
	}
	lost, lapsed := health.Counts.Lost-last.Counts.Lost, health.Counts.Expired-last.Counts.Expired
	doubted, refused := health.Counts.Unconfirmed-last.Counts.Unconfirmed, health.Counts.Refused-last.Counts.Refused
	if lost+doubted+refused > 0 {
		_ = level.Warn(h.log).Log("msg", "runs without an end", "lost", lost, "lapsed", lapsed, "doubted", doubted, "refused", refused)
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
