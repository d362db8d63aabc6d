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

// crowd is a desk whose minions of 4 cores are full of tasks of one core, with more of them always due.
type crowd struct {
	*desk
	minions []string
	runs    map[uint64]time.Duration // when a run ends
	began   map[string]time.Duration // when a job got its first run ID
	serial  int
	// length gives how long the run of a run ID takes.
	length func(runID uint64) time.Duration
}

const (
	crowdStep = 50 * time.Millisecond
	crowdRun  = time.Second // of a narrow task, spread a little so that they end one by one
	crowdDue  = 8           // narrow tasks that are always due
)

func newCrowd(minions ...string) *crowd {
	return newCrowdOf(newDesk("check", minions...), minions)
}

func newCrowdOf(d *desk, minions []string) *crowd {
	c := &crowd{desk: d, minions: minions, runs: map[uint64]time.Duration{}, began: map[string]time.Duration{}, length: alike}
	c.greet("check")
	for range 4 * len(minions) {
		c.narrow()
	}
	return c
}

// alike gives lengths that are nearly the same.
func alike(runID uint64) time.Duration { return crowdRun + time.Duration(runID*7%10)*crowdStep }

func (c *crowd) narrow() {
	c.serial++
	c.submit(fmt.Sprintf("n%04d", c.serial), state.StepSpec{})
}

// step lets time pass: fresh tasks come, runs end, each minion answers its calls, run IDs are given and ordered.
func (c *crowd) step() {
	c.now += crowdStep
	for range crowdDue - c.core.QueueLength() {
		c.narrow()
	}
	for _, name := range c.minions {
		if call, ok := c.wait[name]; ok {
			delete(c.wait, name)
			c.answer(call, "check", c.list(name))
		}
	}
	for calls := c.settle(); len(calls) > 0; calls = c.settle() {
		for _, call := range calls {
			if call.Order {
				c.start(call)
			}
		}
	}
}

// start lets a minion carry out an order call.
func (c *crowd) start(call CallOut) {
	for _, s := range call.Call.Starts {
		if c.began[s.Job] == 0 {
			c.began[s.Job] = c.now
		}
		c.runs[s.RunID] = c.now + c.length(s.RunID)
	}
	c.answer(call, "check", c.list(call.Minion))
}

// list is what runs and what has ended on a minion; its runs end one by one.
func (c *crowd) list(name string) (a internalapi.HoldAnswer) {
	for _, t := range slices.Sorted(maps.Keys(c.runs)) {
		switch h := c.st.Handles[t]; {
		case h == nil:
			delete(c.runs, t)
		case h.Worker != name:
		case c.runs[t] <= c.now && len(a.Ended) == 0:
			a.Ended = append(a.Ended, internalapi.EndNote{RunID: t, How: internalapi.EndWell})
		default:
			a.Running = append(a.Running, t)
		}
	}
	return a
}

// serve lets time pass, with narrow tasks always due, until a job has its first run ID or a time is over.
func (c *crowd) serve(job string, within time.Duration) bool {
	for end := c.now + within; c.now < end && c.began[job] == 0; {
		c.step()
	}
	return c.began[job] > 0
}

func TestNotPassedOverForEver(t *testing.T) {
	Convey("A fleet is full of narrow tasks, and more of them are due all the time", t, func() {
		c := newCrowd("m1", "m2", "m3")
		for range 40 {
			c.step()
		}
		Convey("a task of two cores gets a ticket", func() {
			c.submit("wide", state.StepSpec{Cores: 2})
			So(c.serve("wide", 20*time.Second), ShouldBeTrue)
		})
		Convey("but waits for ever where there are no reservations", func() {
			c.core.cfg.ReserveAfter = time.Hour
			c.submit("wide", state.StepSpec{Cores: 2})
			So(c.serve("wide", time.Minute), ShouldBeFalse)
		})
		Convey("so does one of a whole minion", func() {
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

func TestReservationIsShort(t *testing.T) {
	Convey("A task that fits nowhere waits, and nothing else ends but one run", t, func() {
		c := newCrowd("m1")
		for range 20 {
			c.step()
		}
		c.submit("wide", state.StepSpec{Cores: 3})
		So(c.serve("wide", Defaults().ReserveAfter+time.Second), ShouldBeFalse)
		for runID := range c.runs {
			c.runs[runID] = c.now + time.Hour
		}
		c.runs[slices.Min(slices.Collect(maps.Keys(c.runs)))] = c.now
		longest := c.longestFree("m1", c.now+5*time.Second)
		Convey("the free core is left for it, but not for long", func() {
			So(longest, ShouldBeGreaterThan, 3*crowdStep)
			So(longest, ShouldBeLessThanOrEqualTo, Defaults().ReserveFor+4*crowdStep)
		})
		Convey("nor for much longer once it has waited for ReserveLongAfter", func() {
			c.longestFree("m1", c.now+Defaults().ReserveLongAfter)
			longest := c.longestFree("m1", c.now+20*time.Second)
			So(longest, ShouldBeGreaterThan, Defaults().ReserveFor)
			So(longest, ShouldBeLessThanOrEqualTo, Defaults().ReserveLong+4*crowdStep)
		})
	})
}

// longestFree lets time pass and gives the longest time for which a core of a minion stood free without a break.
func (c *crowd) longestFree(minion string, until time.Duration) (longest time.Duration) {
	var free time.Duration
	for c.now < until {
		c.step()
		if c.st.UsageOf(minion).Cores < 4 {
			free += crowdStep
		} else {
			free = 0
		}
		longest = max(longest, free)
	}
	return longest
}
