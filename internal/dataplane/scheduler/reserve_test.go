package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/internalapi"
	"crosstide/internal/state"
)

// loadedCluster is a harness whose workers, by default of 4 cores, are full of narrow tasks, which need one core each.
// More narrow tasks are always due.
type loadedCluster struct {
	*harness
	workers []string
	runs    map[uint64]time.Duration // end time by run ID
	// startedAt is the time at which a job got its first run ID, by key.
	startedAt map[string]time.Duration
	submitted int // number of narrow tasks submitted
	// runLength returns the duration of a run.
	runLength func(runID uint64) time.Duration
}

const (
	runLengthStep = 50 * time.Millisecond // difference between run lengths, and the time that step advances
	shortestRun   = time.Second           // of a narrow task; lengths vary slightly, so that runs end one by one
	tasksDue      = 8                     // number of narrow tasks that are always due
)

// newLoadedCluster returns a loadedCluster of workers with 4 cores each.
func newLoadedCluster(workers ...string) *loadedCluster {
	return newLoadedClusterOf(newHarness("check", workers...), workers)
}

// newLoadedClusterOf returns a loadedCluster on an existing harness.
func newLoadedClusterOf(h *harness, workers []string) *loadedCluster {
	c := &loadedCluster{harness: h, workers: workers, runs: map[uint64]time.Duration{},
		startedAt: map[string]time.Duration{}, runLength: similarLength}
	c.registerWorkers("check")
	for range 4 * len(workers) {
		c.submitNarrow()
	}
	return c
}

// similarLength returns nearly equal run lengths.
func similarLength(runID uint64) time.Duration {
	return shortestRun + time.Duration(runID*7%10)*runLengthStep
}

// submitNarrow submits a job with one narrow task.
func (c *loadedCluster) submitNarrow() {
	c.submitted++
	c.submit(fmt.Sprintf("n%04d", c.submitted), state.StepSpec{})
}

// step advances the time by runLengthStep: it submits narrow tasks, ends runs, answers calls, commits plans and
// executes start orders.
func (c *loadedCluster) step() {
	c.now += runLengthStep
	for range tasksDue - c.core.QueueLength() {
		c.submitNarrow()
	}
	for _, name := range c.workers {
		if call, ok := c.polls[name]; ok {
			delete(c.polls, name)
			c.answer(call, "check", c.listRuns(name))
		}
	}
	for calls := c.commitPlans(); len(calls) > 0; calls = c.commitPlans() {
		for _, call := range calls {
			if call.IsOrder {
				c.executeOrder(call)
			}
		}
	}
}

// executeOrder executes the start orders of a call as a worker does, and answers it.
func (c *loadedCluster) executeOrder(call OutgoingCall) {
	for _, s := range call.Call.Starts {
		if c.startedAt[s.Job] == 0 {
			c.startedAt[s.Job] = c.now
		}
		c.runs[s.RunID] = c.now + c.runLength(s.RunID)
	}
	c.answer(call, "check", c.listRuns(call.Worker))
}

// listRuns returns the answer of a worker: the runs on it, and the end of the first one that has ended.
func (c *loadedCluster) listRuns(name string) (a internalapi.LeaseAnswer) {
	for _, runID := range slices.Sorted(maps.Keys(c.runs)) {
		switch handle := c.st.Handles[runID]; {
		case handle == nil:
			delete(c.runs, runID)
		case handle.Worker != name:
		case c.runs[runID] <= c.now && len(a.Ended) == 0:
			a.Ended = append(a.Ended, internalapi.RunEnd{RunID: runID, Outcome: internalapi.OutcomeOK})
		default:
			a.Running = append(a.Running, runID)
		}
	}
	return a
}

// awaitStart advances the time, with narrow tasks always due, until a job has its first run ID. It reports whether the
// job got one before the timeout.
func (c *loadedCluster) awaitStart(job string, timeout time.Duration) bool {
	for end := c.now + timeout; c.now < end && c.startedAt[job] == 0; {
		c.step()
	}
	return c.startedAt[job] > 0
}

func TestReservation_largeTaskIsNotPassedOverForEver(t *testing.T) {
	Convey("Given a cluster that is full of narrow tasks, with more of them always due", t, func() {
		c := newLoadedCluster("m1", "m2", "m3")
		for range 40 {
			c.step()
		}
		Convey("a task of two cores gets a run ID", func() {
			c.submit("wide", state.StepSpec{Cores: 2})
			So(c.awaitStart("wide", 20*time.Second), ShouldBeTrue)
		})
		Convey("but still waits after a minute without reservations", func() {
			c.core.cfg.ReserveAfter = time.Hour
			c.submit("wide", state.StepSpec{Cores: 2})
			So(c.awaitStart("wide", time.Minute), ShouldBeFalse)
		})
		Convey("a task that needs a whole worker gets a run ID", func() {
			c.submit("wide", state.StepSpec{Cores: 4})
			So(c.awaitStart("wide", time.Minute), ShouldBeTrue)
		})
		Convey("a gang gets run IDs", func() {
			c.submit("gang", state.StepSpec{Cores: 2, Tasks: 3, Gang: true})
			So(c.awaitStart("gang", time.Minute), ShouldBeTrue)
			So(c.st.Jobs["gang"].HandleCount(), ShouldEqual, 3)
		})
	})
}

func TestReservation_isShort(t *testing.T) {
	Convey("Given a task that fits on no worker, while only one run ends", t, func() {
		c := newLoadedCluster("m1")
		for range 20 {
			c.step()
		}
		c.submit("wide", state.StepSpec{Cores: 3})
		So(c.awaitStart("wide", DefaultConfig().ReserveAfter+time.Second), ShouldBeFalse)
		for runID := range c.runs {
			c.runs[runID] = c.now + time.Hour
		}
		c.runs[slices.Min(slices.Collect(maps.Keys(c.runs)))] = c.now
		longest := c.longestFree("m1", c.now+5*time.Second)
		Convey("the free core is reserved for it, but not for long", func() {
			So(longest, ShouldBeGreaterThan, 3*runLengthStep)
			So(longest, ShouldBeLessThanOrEqualTo, DefaultConfig().ReservationDuration+4*runLengthStep)
		})
		Convey("and is reserved for a bounded time, longer than before, once it has waited for LongReservationAfter", func() {
			c.longestFree("m1", c.now+DefaultConfig().LongReservationAfter)
			longest := c.longestFree("m1", c.now+20*time.Second)
			So(longest, ShouldBeGreaterThan, DefaultConfig().ReservationDuration)
			So(longest, ShouldBeLessThanOrEqualTo, DefaultConfig().LongReservationDuration+4*runLengthStep)
		})
	})
}

// longestFree advances the time to until, and returns the longest uninterrupted time for which a worker had a free
// core.
func (c *loadedCluster) longestFree(worker string, until time.Duration) (longest time.Duration) {
	var free time.Duration
	for c.now < until {
		c.step()
		if c.st.UsageOf(worker).Cores < 4 {
			free += runLengthStep
		} else {
			free = 0
		}
		longest = max(longest, free)
	}
	return longest
}
