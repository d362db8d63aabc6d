package scheduler

import (
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

// harness is a core with one worker of 4 cores, each of whose passes is committed at once.
type harness struct {
	core     *Core
	table    *jobs.Table
	now      time.Duration
	sent     []StartAction
	renewals []RenewalAction
	stops    []StopAction
}

const harnessTerm = 5

func newHarness() *harness {
	h := &harness{core: New(Defaults()), table: jobs.NewTable(), now: time.Second}
	So(h.table.Configure(harnessConfig(1)), ShouldBeNil)
	So(h.table.Register(jobs.Register{Workers: []jobs.Worker{{ID: "w", Service: "s", Capacity: jobs.Resources{MilliCPU: 4000}}}}), ShouldBeNil)
	h.table.OnEvent = h.core.TableChanged
	h.core.BecomeLeader(h.now, harnessTerm, h.table)
	h.pass()
	h.answer(RenewalAnswer{})
	return h
}

// harnessConfig has a queue q and a more urgent one.
func harnessConfig(version uint64) jobs.Configure {
	q := jobs.Queue{Name: "q", Service: "s", Priority: 1, MaxAttempts: 3, Stretch: 2, Target: time.Second, Timeout: time.Second}
	urgent := q
	urgent.Name, urgent.Prefix, urgent.Priority = "urgent", "/urgent/", 0
	return jobs.Configure{Base: version - 1, Version: version, Replace: true, Services: []jobs.Service{{Name: "s"}},
		Queues: []jobs.Queue{q, urgent}}
}

// submit accepts job j in queue q.
func (h *harness) submit(steps ...jobs.Step) { h.submitTo("q", "j", steps...) }

func (h *harness) submitTo(queue, id string, steps ...jobs.Step) {
	_, err := h.table.Submit(jobs.Submit{Spec: jobs.Spec{ID: id, Queue: queue, Steps: steps}, At: time.Time{}.Add(h.now)})
	So(err, ShouldBeNil)
}

// pass makes passes until nothing is to be committed any more.
func (h *harness) pass() {
	h.sent, h.stops = nil, nil
	for {
		h.now += 10 * time.Millisecond
		out := h.core.Pass(h.now, time.Time{}.Add(h.now))
		h.sent, h.renewals, h.stops = append(h.sent, out.Starts...), append(h.renewals, out.Renewals...), append(h.stops, out.Stops...)
		if out.Progress == nil {
			return
		}
		started, err := h.table.Progress(harnessTerm, *out.Progress)
		h.core.Committed(h.now, out.Progress, started, err)
	}
}

// answer answers the newest hold call that waits.
func (h *harness) answer(a RenewalAnswer) {
	So(h.renewals, ShouldNotBeEmpty)
	a.Clock = time.Minute + h.now
	h.core.RenewalAnswered(h.now, "w", h.renewals[len(h.renewals)-1].Number, a, RenewalOK)
	h.renewals = nil
}

func (h *harness) accept() {
	for _, s := range h.sent {
		h.core.StartAnswered(h.now, "w", s.Order.Key, StartAnswer{Clock: time.Minute + h.now}, StartOK)
	}
}

// stopOutcome is the outcome of a stop order that was answered, or was not.
func stopOutcome(answered bool) StopError {
	if answered {
		return StopOK
	}
	return StopFailed
}
