package scheduler

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/internalapi"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

func TestLeaseExpiryAndNewIncarnation(t *testing.T) {
	Convey("given a running task on a minion that falls silent", t, func() {
		d := newHarness("check", "m1", "m2")
		d.greetWorkers("check")
		d.submit("j", state.StepSpec{Run: json.RawMessage(`{}`)})
		o := findOrder(d.commitPlans())
		d.answer(*o, "check", internalapi.LeaseAnswer{Running: []uint64{1}})
		d.commitPlans()
		Convey("its task is due again only when the hold told last has run out on its clock", func() {
			end := o.Call.Starts[0].LeaseUntil
			tick := func() {
				for _, c := range d.commitPlans() {
					So(c.Call.Starts, ShouldBeEmpty)
				}
				if c, ok := d.wait[o.Worker]; ok { // no renewal may go to a minion that does not answer
					end = max(end, c.Call.RenewUntil)
					delete(d.wait, o.Worker)
					d.core.CallFailed(d.now, c.Worker, false, c.Call, true)
				}
				d.reply("check", o.Worker, internalapi.LeaseAnswer{})
			}
			for tick(); d.now+500*time.Millisecond < end+200*time.Millisecond; tick() {
				d.now += 500 * time.Millisecond
			}
			So(taskOf(d, "j").RunID, ShouldEqual, 1)
			So(end, ShouldBeLessThanOrEqualTo, o.Call.Starts[0].LeaseUntil+DefaultConfig().RunLease)
			d.now += time.Second
			d.commitPlans()
			d.commitPlans()
			So(taskOf(d, "j").RunID, ShouldEqual, 2)
			So(d.core.Counts.ProvedDead[command.ProofLeaseExpired], ShouldEqual, 1)
		})
		Convey("a new boot proves it dead at once", func() {
			for range 2 { // the first one is older than the order's answer and tells nothing
				d.reply("check", "", internalapi.LeaseAnswer{Incarnation: "b2"})
				d.commitPlans()
			}
			So(d.st.Handles[1], ShouldBeNil)
			So(taskOf(d, "j").Lost, ShouldEqual, 1)
		})
	})
}

// lapsed is a desk with a run that ended while its holder, which had no lease, asked nobody. At the holder's return
// the hold has lapsed by the clock.
func lapsed() *harness {
	d := newHarness("check", "m1")
	d.greetWorkers("check")
	d.submit("j1", state.StepSpec{})
	d.answer(*findOrder(d.commitPlans()), "check", internalapi.LeaseAnswer{Running: []uint64{1}})
	d.commitPlans()
	d.core.SetRoleLease(d.now)
	d.core.Pass(d.now)
	d.core.CallFailed(d.now, "m1", false, d.wait["m1"].Call, true)
	d.now += 30 * time.Second
	d.core.Pass(d.now)
	d.core.SetRoleLease(d.now + time.Hour)
	return d
}

func TestWorkerAskedBeforeLeaseExpires(t *testing.T) {
	ended := internalapi.LeaseAnswer{Ended: []internalapi.RunEnd{{RunID: 1, Outcome: internalapi.OutcomeOK}}}
	Convey("A holder whose lease was gone for longer than a hold asks the minion before it lets its runs go", t, func() {
		d := lapsed()
		d.commitPlans()
		So(d.st.Handles[1], ShouldNotBeNil)
		d.answer(d.wait["m1"], "check", ended)
		d.commitPlans()
		So(d.st.Jobs["j1"].Phase, ShouldEqual, state.JobDone)
		So(d.st.LastRunID, ShouldEqual, 1)
	})
	Convey("It lets them go once the minion was asked in vain", t, func() {
		d := lapsed()
		d.commitPlans()
		d.core.CallFailed(d.now, "m1", false, d.wait["m1"].Call, true)
		d.now += time.Second
		d.commitPlans()
		So(d.st.Handles[1], ShouldBeNil)
	})
}
