package scheduler

import (
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

// harness is a core with one worker of 4 cores, each of whose passes is committed at once.
type harness struct {
	core  *Core
	table *jobs.Table
	now   time.Duration
	sent  []StartOut
	holds []HoldOut
	stops []StopOut
}

const harnessTerm = 5

func newHarness() *harness {
	h := &harness{core: New(Defaults()), table: jobs.NewTable(), now: time.Second}
	So(h.table.Configure(harnessConfig(1)), ShouldBeNil)
	So(h.table.Register(jobs.Register{Workers: []jobs.Worker{{ID: "w", Service: "s", Capacity: jobs.Resources{MilliCPU: 4000}}}}), ShouldBeNil)
	h.table.Watch = h.core.Note
	h.core.Lead(h.now, harnessTerm, h.table)
	h.pass()
	h.answer(HoldAnswer{})
	return h
}

func harnessConfig(version uint64) jobs.Configure {
	return jobs.Configure{Base: version - 1, Version: version, Replace: true, Services: []jobs.Service{{Name: "s"}},
		Queues: []jobs.Queue{{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 2, Target: time.Second, Timeout: time.Second}}}
}

func (h *harness) submit(steps ...jobs.Step) {
	_, err := h.table.Submit(jobs.Submit{Spec: jobs.Spec{ID: "j", Queue: "q", Steps: steps}})
	So(err, ShouldBeNil)
}

// pass makes passes until nothing is to be committed any more.
func (h *harness) pass() {
	h.sent, h.holds, h.stops = nil, nil, nil
	for {
		h.now += 10 * time.Millisecond
		out := h.core.Pass(h.now, time.Time{}.Add(h.now))
		h.sent, h.holds, h.stops = append(h.sent, out.Starts...), append(h.holds, out.Holds...), append(h.stops, out.Stops...)
		if out.Progress == nil {
			return
		}
		started, err := h.table.Progress(harnessTerm, *out.Progress)
		h.core.Committed(h.now, out.Progress, started, err)
	}
}

// answer answers the newest hold call.
func (h *harness) answer(a HoldAnswer) {
	So(h.holds, ShouldNotBeEmpty)
	a.Clock = time.Minute + h.now
	h.core.HoldAnswered(h.now, "w", h.holds[len(h.holds)-1].Number, a, HoldOK)
}

func (h *harness) accept() {
	for _, s := range h.sent {
		h.core.StartAnswered(h.now, "w", s.Order.Key, StartAnswer{Clock: time.Minute + h.now}, StartOK)
	}
}
