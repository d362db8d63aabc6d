package store

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
)

// TestStore_keepsAcknowledgedAcrossCrashes checks that no acknowledged job is lost when a leader crashes, a node
// catches up by a snapshot, or all nodes lose power at once, and that nothing is acknowledged without a majority.
func TestStore_keepsAcknowledgedAcrossCrashes(t *testing.T) {
	withFleet(t, 40, func(fleet *testFleet) {
		fleet.submitJobs("a", 100)
		lead := fleet.leader()
		fleet.kill(lead.settings.Name)
		fleet.submitJobs("b", 100) // after these the stopped node needs a snapshot to catch up
		fleet.start(lead.settings.Name)
		fleet.waitInSync()
		for round := range 3 {
			for _, m := range fleet.settings.Members {
				fleet.kill(m.ID)
			}
			for _, m := range fleet.settings.Members {
				fleet.start(m.ID)
			}
			So(fleet.submitJobs(fmt.Sprint("c", round), 70), ShouldBeEmpty)
		}
		fleet.waitInSync()
		So(len(fleet.acked), ShouldEqual, 410)

		// Without a majority no proposal is acknowledged: a proposal times out, with an unknown outcome.
		lead = fleet.leader()
		for _, m := range fleet.settings.Members {
			if m.ID != lead.settings.Name {
				fleet.kill(m.ID)
			}
		}
		var err error
		fleet.call(func(ctx context.Context) { _, _, err = lead.Propose(ctx, job("alone")) })
		So(errs.KindOf(err), ShouldEqual, errs.Timeout)
	})
}

// countingClock is the clock of one node and counts the timers that the node sets.
type countingClock struct {
	clock.Clock
	timersSet *atomic.Int64
}

func (c countingClock) Set(d time.Duration, call func()) clock.Stopper {
	c.timersSet.Add(1)
	return c.Clock.Set(d, call)
}

// TestIdle_timersPerSecond bounds the timers that an idle node sets, as each of them wakes the process.
func TestIdle_timersPerSecond(t *testing.T) {
	withOpenFleet(t, 3, func(fleet *testFleet) {
		timers := map[string]*atomic.Int64{}
		for i := range 3 {
			n := nodeName(i)
			settings := fleet.settings
			settings.Name, settings.Addr, settings.Zone = n, n, "z"
			timers[n] = &atomic.Int64{}
			s, err := Open(Options{
				Settings: settings,
				Disk:     fleet.disks[n],
				Net:      testNet{fleet, n},
				Clock:    countingClock{&fleet.clock, timers[n]},
				Seed:     uint64(i + 1),
				Fatal:    func(error) {},
			})
			So(err, ShouldBeNil)
			fleet.nodes[n] = s
		}
		for _, s := range fleet.nodes {
			s.Start()
		}
		fleet.waitVoters("c1", "c2", "c3")
		lead := fleet.leader()
		before := map[string]int64{}
		for n, c := range timers {
			before[n] = c.Load()
		}
		fleet.advance(10 * time.Second)
		for n, c := range timers {
			perSecond := (c.Load() - before[n]) / 10
			Printf("\n%s, leader=%v: %d timers per second", n, n == lead.settings.Name, perSecond)
			if n == lead.settings.Name {
				So(perSecond, ShouldBeLessThan, 90)
			} else {
				So(perSecond, ShouldBeLessThan, 30)
			}
		}
	})
}
