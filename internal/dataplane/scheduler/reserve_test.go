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

// loadedCluster is a harness whose workers of 4 cores are full of tasks of one core, with more of them always due.
type loadedCluster struct {
	*harness
	workers []string
	runs    map[uint64]time.Duration // when a run ends
	began   map[string]time.Duration // when a job got its first run ID
	serial  int
	// length is how long the run of a run ID takes.
	length func(runID uint64) time.Duration
}

const (
	runLengthStep = 50 * time.Millisecond
	shortestRun   = time.Second // of a narrow task, spread a little so that they end one by one
	tasksDue      = 8           // narrow tasks that are always due
)

func newLoadedCluster(workers ...string) *loadedCluster {
	return newLoadedClusterOf(newHarness("check", workers...), workers)
}

func newLoadedClusterOf(h *harness, workers []string) *loadedCluster {
	c := &loadedCluster{harness: h, workers: workers, runs: map[uint64]time.Duration{},
		began: map[string]time.Duration{}, length: similarLength}
	c.greetWorkers("check")
	for range 4 * len(workers) {
		c.narrow()
	}
	return c
}

// similarLength returns run lengths that are nearly the same.
func similarLength(runID uint64) time.Duration {
	return shortestRun + time.Duration(runID*7%10)*runLengthStep
}

func (c *loadedCluster) narrow() {
	c.serial++
	c.submit(fmt.Sprintf("n%04d", c.serial), state.StepSpec{})
}

// step lets time pass: new tasks are submitted, runs end, workers answer their calls, plans are committed and starts
// ordered.
func (c *loadedCluster) step() {
	c.now += runLengthStep
	for range tasksDue - c.core.QueueLength() {
		c.narrow()
	}
	for _, name := range c.workers {
		if call, ok := c.wait[name]; ok {
			delete(c.wait, name)
			c.answer(call, "check", c.list(name))
		}
	}
	for calls := c.commitPlans(); len(calls) > 0; calls = c.commitPlans() {
		for _, call := range calls {
			if call.IsOrder {
				c.start(call)
			}
		}
	}
}

// start carries out an order call as a worker does.
func (c *loadedCluster) start(call OutgoingCall) {
	for _, s := range call.Call.Starts {
		if c.began[s.Job] == 0 {
			c.began[s.Job] = c.now
		}
		c.runs[s.RunID] = c.now + c.length(s.RunID)
	}
	c.answer(call, "check", c.list(call.Worker))
}

// list returns the answer of a worker: what runs on it, and the first run that has ended.
func (c *loadedCluster) list(name string) (a internalapi.LeaseAnswer) {
	for _, t := range slices.Sorted(maps.Keys(c.runs)) {
		switch h := c.st.Handles[t]; {
		case h == nil:
			delete(c.runs, t)
		case h.Worker != name:
		case c.runs[t] <= c.now && len(a.Ended) == 0:
			a.Ended = append(a.Ended, internalapi.RunEnd{RunID: t, Outcome: internalapi.OutcomeOK})
		default:
			a.Running = append(a.Running, t)
		}
	}
	return a
}

// serve lets time pass, with narrow tasks always due, until a job has its first run ID, and reports whether it got it
// before the timeout.
func (c *loadedCluster) serve(job string, timeout time.Duration) bool {
	for end := c.now + timeout; c.now < end && c.began[job] == 0; {
		c.step()
	}
	return c.began[job] > 0
}

func TestReservation_largeTaskIsNotPassedOverForEver(t *testing.T) {
	Convey("A cluster is full of narrow tasks, and more of them are due all the time", t, func() {
		c := newLoadedCluster("m1", "m2", "m3")
		for range 40 {
			c.step()
		}
		Convey("a task of two cores gets a run ID", func() {
			c.submit("wide", state.StepSpec{Cores: 2})
			So(c.serve("wide", 20*time.Second), ShouldBeTrue)
		})
		Convey("but waits for ever where there are no reservations", func() {
			c.core.cfg.ReserveAfter = time.Hour
			c.submit("wide", state.StepSpec{Cores: 2})
			So(c.serve("wide", time.Minute), ShouldBeFalse)
		})
		Convey("so does one of a whole worker", func() {
			c.submit("wide", state.StepSpec{Cores: 4})
			So(c.serve("wide", time.Minute), ShouldBeTrue)
		})
		Convey("so does a gang", func() {
			c.submit("gang", state.StepSpec{Cores: 2, Tasks: 3, Gang: true})
			So(c.serve("gang", time.Minute), ShouldBeTrue)
			So(c.st.Jobs["gang"].HandleCount(), ShouldEqual, 3)
		})
	})
}

func TestReservation_isShort(t *testing.T) {
	Convey("A task that fits nowhere waits, and nothing else ends but one run", t, func() {
		c := newLoadedCluster("m1")
		for range 20 {
			c.step()
		}
		c.submit("wide", state.StepSpec{Cores: 3})
		So(c.serve("wide", DefaultConfig().ReserveAfter+time.Second), ShouldBeFalse)
		for runID := range c.runs {
			c.runs[runID] = c.now + time.Hour
		}
		c.runs[slices.Min(slices.Collect(maps.Keys(c.runs)))] = c.now
		longest := c.longestFree("m1", c.now+5*time.Second)
		Convey("the free core is left for it, but not for long", func() {
			So(longest, ShouldBeGreaterThan, 3*runLengthStep)
			So(longest, ShouldBeLessThanOrEqualTo, DefaultConfig().ReserveFor+4*runLengthStep)
		})
		Convey("nor for much longer once it has waited for ReserveLongAfter", func() {
			c.longestFree("m1", c.now+DefaultConfig().ReserveLongAfter)
			longest := c.longestFree("m1", c.now+20*time.Second)
			So(longest, ShouldBeGreaterThan, DefaultConfig().ReserveFor)
			So(longest, ShouldBeLessThanOrEqualTo, DefaultConfig().ReserveLong+4*runLengthStep)
		})
	})
}

// longestFree lets time pass until then, and returns the longest time for which a core of a worker was free without a
// break.
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
