package jobsworker

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/controller/scheduler"
	"crosstide/internal/errs"
	"crosstide/internal/httpapi/workerapi"
	"crosstide/internal/jobs"
)

const ms = time.Millisecond

func runOf(index, number int) workerapi.Run {
	return workerapi.Run{Job: "j", Index: index, Number: number}
}

// startOf is an order under token 2 with a lease until 1 s.
func startOf(index, number int, payload string) workerapi.StartCall {
	return workerapi.StartCall{Worker: "w", Run: runOf(index, number), Payload: payload, Deadline: time.Second, Token: 2,
		Needs: workerapi.Needs{MilliCPU: 400, MemoryMB: 10, GPUs: 1}}
}

func newTestCore() (*core, *[]Event) {
	var events []Event
	capacity := jobs.Resources{MilliCPU: 1000, MemoryMB: 25, GPUs: 2}
	return newCore("w", capacity, func(e Event) { events = append(events, e) }), &events
}

// refusal returns why a start was refused, empty if it was not.
func refusal(c *core, now time.Duration, call workerapi.StartCall) string {
	answer, err := c.Start(now, call)
	So(err, ShouldBeNil)
	return string(answer.Refused)
}

// ends returns how the listed runs ended.
func ends(c *core, now time.Duration) []jobs.EndReason {
	var reasons []jobs.EndReason
	for _, e := range c.Status(now).Ended {
		reasons = append(reasons, e.EndReason)
	}
	return reasons
}

func TestStart(t *testing.T) {
	Convey("A start is carried out once, or refused for the first reason there is", t, func() {
		worker, events := newTestCore()
		So(refusal(worker, 0, startOf(0, 3, `{"ms":100}`)), ShouldEqual, "")
		So(refusal(worker, 0, startOf(0, 3, `{"ms":100}`)), ShouldEqual, "") // it came twice
		So(len(*events), ShouldEqual, 1)
		change := func(of func(*workerapi.StartCall)) workerapi.StartCall {
			call := startOf(1, 1, `{"ms":100}`)
			of(&call)
			return call
		}
		for _, c := range []struct {
			call workerapi.StartCall
			want scheduler.Refusal
		}{
			{change(func(c *workerapi.StartCall) { c.Token = 1; c.Deadline = 0 }), scheduler.RefusedFenced},
			{change(func(c *workerapi.StartCall) { c.Deadline = 5 * ms; c.Payload = "" }), scheduler.RefusedExpired},
			{change(func(c *workerapi.StartCall) { c.Payload = "" }), scheduler.RefusedInvalid},
			{change(func(c *workerapi.StartCall) { c.Needs.MilliCPU = 601 }), scheduler.RefusedCapacity},
			{change(func(c *workerapi.StartCall) { c.Needs.MemoryMB = 16 }), scheduler.RefusedCapacity},
			{change(func(c *workerapi.StartCall) { c.Needs.GPUs = 2 }), scheduler.RefusedCapacity},
			{change(func(*workerapi.StartCall) {}), ""},
		} {
			So(refusal(worker, 5*ms, c.call), ShouldEqual, string(c.want))
		}
		So(refusal(worker, 300*ms, startOf(0, 3, `{"ms":1}`)), ShouldEqual, string(scheduler.RefusedStale)) // its run is over
		So(refusal(worker, 300*ms, startOf(0, 4, `{"ms":1}`)), ShouldEqual, "")
		worker.Drain()
		So(refusal(worker, 300*ms, startOf(5, 1, `{"ms":1}`)), ShouldEqual, string(scheduler.RefusedUnhealthy))
		_, err := worker.Start(0, workerapi.StartCall{Worker: "v"})
		So(errs.KindOf(err), ShouldEqual, errs.Unknown)
	})
}

func TestEnds(t *testing.T) {
	Convey("Runs end by themselves, on an order, or with the lease, and are listed until that is acknowledged", t, func() {
		c, _ := newTestCore()
		So(refusal(c, 0, startOf(0, 1, `{"ms":100,"fails":1}`)), ShouldEqual, "")
		So(refusal(c, 0, startOf(1, 1, `{"ms":-1}`)), ShouldEqual, "")
		next, runs := c.NextDeadline()
		So([]any{next, runs}, ShouldResemble, []any{100 * ms, true})
		So(c.Advance(99*ms), ShouldBeFalse)
		So(c.Advance(100*ms), ShouldBeTrue)
		So(refusal(c, 200*ms, startOf(0, 2, `{"ms":100,"fails":1}`)), ShouldEqual, "")
		c.Advance(300 * ms)
		So(ends(c, 300*ms), ShouldResemble, []jobs.EndReason{jobs.EndFailed, jobs.EndDone})
		_, err := c.Stop(400*ms, workerapi.StopCall{Worker: "w", Run: runOf(1, 1), Token: 2})
		So(err, ShouldBeNil)
		So(ends(c, 400*ms), ShouldResemble, []jobs.EndReason{jobs.EndFailed, jobs.EndDone, jobs.EndStopped})
		So(c.RenewLease(400*ms, workerapi.RenewLeaseCall{Worker: "w", Token: 2, AcknowledgedUpTo: 2}), ShouldBeNil)
		So(ends(c, 400*ms), ShouldResemble, []jobs.EndReason{jobs.EndStopped})
		So(c.IsIdle(), ShouldBeFalse)
		So(c.RenewLease(400*ms, workerapi.RenewLeaseCall{Worker: "w", Token: 2, AcknowledgedUpTo: 3}), ShouldBeNil)
		So(c.IsIdle(), ShouldBeTrue)
	})
	Convey("A stop comes before its start: the run never starts", t, func() {
		c, _ := newTestCore()
		_, err := c.Stop(0, workerapi.StopCall{Worker: "w", Run: runOf(0, 2), Token: 2})
		So(err, ShouldBeNil)
		So(refusal(c, 0, startOf(0, 2, `{}`)), ShouldEqual, string(scheduler.RefusedStale))
	})
	Convey("The lease kills what runs at its end and no earlier; a run that was over by then has its own end", t, func() {
		c, _ := newTestCore()
		So(refusal(c, 0, startOf(0, 1, `{"ms":900}`)), ShouldEqual, "")
		So(refusal(c, 0, startOf(1, 1, `{"ms":5000,"save_ms":300}`)), ShouldEqual, "")
		c.Advance(2 * time.Second) // it was frozen
		So(ends(c, 2*time.Second), ShouldResemble, []jobs.EndReason{jobs.EndDone, jobs.EndLeaseExpired})
		So(c.Status(2 * time.Second).Ended[1].Checkpoint, ShouldEqual, "900")
	})
	Convey("A renewal extends the lease, a fenced one does nothing", t, func() {
		c, _ := newTestCore()
		So(refusal(c, 0, startOf(0, 1, `{"ms":-1}`)), ShouldEqual, "")
		So(c.RenewLease(900*ms, workerapi.RenewLeaseCall{Worker: "w", Token: 3, Deadline: 3 * time.Second}), ShouldBeNil)
		err := c.RenewLease(950*ms, workerapi.RenewLeaseCall{Worker: "w", Token: 2, Deadline: time.Hour, AcknowledgedUpTo: 9})
		So(errs.KindOf(err), ShouldEqual, errs.Stale)
		_, err = c.Stop(950*ms, workerapi.StopCall{Worker: "w", Run: runOf(0, 1), Token: 2})
		So(errs.KindOf(err), ShouldEqual, errs.Stale)
		So(c.Advance(2999*ms), ShouldBeFalse)
		So(c.Advance(3*time.Second), ShouldBeTrue)
		So(errs.KindOf(c.RenewLease(0, workerapi.RenewLeaseCall{Worker: "v"})), ShouldEqual, errs.Unknown)
	})
	Convey("A run goes on from its saved progress", t, func() {
		c, _ := newTestCore()
		call := startOf(0, 2, `{"ms":500,"save_ms":100}`)
		call.Checkpoint = "300"
		So(refusal(c, 0, call), ShouldEqual, "")
		listed := c.Status(100 * ms).Running[0]
		So([]any{listed.Checkpoint, listed.Percent}, ShouldResemble, []any{"400", 80})
		So(c.Advance(200*ms), ShouldBeTrue)
	})
	Convey("A worker that leaves stops all runs, and an answer lists no more than its limit of ends", t, func() {
		c, _ := newTestCore()
		for i := range maxEndsPerAnswer + 1 {
			call := startOf(i, 1, `{"ms":-1}`)
			call.Needs = workerapi.Needs{}
			So(refusal(c, 0, call), ShouldEqual, "")
		}
		c.StopAll(5 * ms)
		lists := c.Status(5 * ms)
		So([]any{len(lists.Running), len(lists.Ended), lists.More}, ShouldResemble, []any{0, maxEndsPerAnswer, true})
	})
}
