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

// startOf returns a start order under token 2 with a lease until 1 s.
func startOf(index, number int, payload string) workerapi.StartCall {
	return workerapi.StartCall{Worker: "w", Run: runOf(index, number), Payload: payload, Deadline: time.Second, Token: 2,
		Needs: workerapi.Needs{MilliCPU: 400, MemoryMB: 10, GPUs: 1}}
}

func newTestCore() (*core, *[]Event) {
	var events []Event
	capacity := jobs.Resources{MilliCPU: 1000, MemoryMB: 25, GPUs: 2}
	return newCore("w", capacity, func(e Event) { events = append(events, e) }), &events
}

// refusal returns why a start was refused, or "" if it was carried out.
func refusal(c *core, now time.Duration, call workerapi.StartCall) string {
	answer, err := c.Start(now, call)
	So(err, ShouldBeNil)
	return string(answer.Refused)
}

// ends returns the end reasons that the worker lists.
func ends(c *core, now time.Duration) []jobs.EndReason {
	var reasons []jobs.EndReason
	for _, e := range c.Status(now).Ended {
		reasons = append(reasons, e.EndReason)
	}
	return reasons
}

func TestStart(t *testing.T) {
	Convey("A start is carried out once, or refused for the first reason that applies", t, func() {
		worker, events := newTestCore()
		So(refusal(worker, 0, startOf(0, 3, `{"ms":100}`)), ShouldEqual, "")
		So(refusal(worker, 0, startOf(0, 3, `{"ms":100}`)), ShouldEqual, "") // a duplicate
		So(len(*events), ShouldEqual, 1)
		changed := func(change func(*workerapi.StartCall)) workerapi.StartCall {
			call := startOf(1, 1, `{"ms":100}`)
			change(&call)
			return call
		}
		for _, c := range []struct {
			call workerapi.StartCall
			want scheduler.Refusal
		}{
			{changed(func(c *workerapi.StartCall) { c.Token = 1; c.Deadline = 0 }), scheduler.RefusedFenced},
			{changed(func(c *workerapi.StartCall) { c.Deadline = 5 * ms; c.Payload = "" }), scheduler.RefusedExpired},
			{changed(func(c *workerapi.StartCall) { c.Payload = "" }), scheduler.RefusedInvalid},
			{changed(func(c *workerapi.StartCall) { c.Needs.MilliCPU = 601 }), scheduler.RefusedCapacity},
			{changed(func(c *workerapi.StartCall) { c.Needs.MemoryMB = 16 }), scheduler.RefusedCapacity},
			{changed(func(c *workerapi.StartCall) { c.Needs.GPUs = 2 }), scheduler.RefusedCapacity},
			{changed(func(*workerapi.StartCall) {}), ""},
		} {
			So(refusal(worker, 5*ms, c.call), ShouldEqual, string(c.want))
		}
		So(refusal(worker, 300*ms, startOf(0, 3, `{"ms":1}`)), ShouldEqual, string(scheduler.RefusedStale)) // has ended
		So(refusal(worker, 300*ms, startOf(0, 4, `{"ms":1}`)), ShouldEqual, "")
		worker.Drain()
		So(refusal(worker, 300*ms, startOf(5, 1, `{"ms":1}`)), ShouldEqual, string(scheduler.RefusedUnhealthy))
		_, err := worker.Start(0, workerapi.StartCall{Worker: "v"})
		So(errs.KindOf(err), ShouldEqual, errs.Unknown)
	})
}

func TestEnds(t *testing.T) {
	Convey("Runs end with their program, a stop or the lease, and are listed until the end is acknowledged", t, func() {
		c, _ := newTestCore()
		So(refusal(c, 0, startOf(0, 1, `{"ms":100,"fails":1}`)), ShouldEqual, "")
		So(refusal(c, 0, startOf(1, 1, `{"ms":-1}`)), ShouldEqual, "")
		next, hasDeadline := c.NextDeadline()
		So([]any{next, hasDeadline}, ShouldResemble, []any{100 * ms, true})
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
	Convey("A run whose stop arrives before its start never starts", t, func() {
		c, _ := newTestCore()
		_, err := c.Stop(0, workerapi.StopCall{Worker: "w", Run: runOf(0, 2), Token: 2})
		So(err, ShouldBeNil)
		So(refusal(c, 0, startOf(0, 2, `{}`)), ShouldEqual, string(scheduler.RefusedStale))
	})
	Convey("Lease expiry ends a run at that time; a run that was complete before keeps its end reason", t, func() {
		c, _ := newTestCore()
		So(refusal(c, 0, startOf(0, 1, `{"ms":900}`)), ShouldEqual, "")
		So(refusal(c, 0, startOf(1, 1, `{"ms":5000,"save_ms":300}`)), ShouldEqual, "")
		c.Advance(2 * time.Second) // the worker was frozen
		So(ends(c, 2*time.Second), ShouldResemble, []jobs.EndReason{jobs.EndDone, jobs.EndLeaseExpired})
		So(c.Status(2 * time.Second).Ended[1].Checkpoint, ShouldEqual, "900")
	})
	Convey("A renewal extends the lease, a fenced one has no effect", t, func() {
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
	Convey("A run resumes from its checkpoint", t, func() {
		c, _ := newTestCore()
		call := startOf(0, 2, `{"ms":500,"save_ms":100}`)
		call.Checkpoint = "300"
		So(refusal(c, 0, call), ShouldEqual, "")
		listed := c.Status(100 * ms).Running[0]
		So([]any{listed.Checkpoint, listed.Percent}, ShouldResemble, []any{"400", 80})
		So(c.Advance(200*ms), ShouldBeTrue)
	})
	Convey("A leaving worker stops all runs, and an answer lists at most maxEndsPerAnswer ends", t, func() {
		c, _ := newTestCore()
		for i := range maxEndsPerAnswer + 1 {
			call := startOf(i, 1, `{"ms":-1}`)
			call.Needs = workerapi.Needs{}
			So(refusal(c, 0, call), ShouldEqual, "")
		}
		c.StopAll(5 * ms)
		status := c.Status(5 * ms)
		So([]any{len(status.Running), len(status.Ended), status.More}, ShouldResemble, []any{0, maxEndsPerAnswer, true})
	})
}
