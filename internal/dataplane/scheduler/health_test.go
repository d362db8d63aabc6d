package scheduler

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/internalapi"
	"crosstide/internal/state"
)

// work runs the fleet of a desk for some rounds: every start ends at once, as ends says. It gives the starts by minion.
func (d *harness) work(rounds int, ends func(worker string, s internalapi.StartOrder) bool) map[string]int {
	starts := map[string]int{}
	left := map[string][]internalapi.RunEnd{}
	for range rounds {
		d.now += 100 * time.Millisecond
		for _, c := range d.commitPlans() {
			if !c.IsOrder {
				continue
			}
			for _, s := range c.Call.Starts {
				starts[c.Worker]++
				outcome := internalapi.OutcomeFailed
				if ends(c.Worker, s) {
					outcome = internalapi.OutcomeOK
				}
				left[c.Worker] = append(left[c.Worker], internalapi.RunEnd{RunID: s.RunID, Outcome: outcome, Reason: "x"})
			}
			d.answer(c, "check", internalapi.LeaseAnswer{Ended: left[c.Worker]})
		}
		for name, c := range d.wait {
			delete(d.wait, name)
			d.answer(c, "check", internalapi.LeaseAnswer{Ended: left[name]})
		}
		for name, notes := range left {
			kept := notes[:0:0]
			for _, n := range notes {
				if d.st.Handles[n.RunID] != nil {
					kept = append(kept, n)
				}
			}
			left[name] = kept
		}
	}
	return starts
}

func TestUnhealthyWorker(t *testing.T) {
	Convey("given ten minions, one of which spoils all it gets while looking healthy", t, func() {
		var names []string
		for i := range 10 {
			names = append(names, fmt.Sprintf("m%d", i))
		}
		d := newHarness("check", names...)
		d.greetWorkers("check")
		bad := true
		ends := func(worker string, _ internalapi.StartOrder) bool { return worker != "m3" || !bad }
		for i := range 60 {
			d.submit(fmt.Sprintf("a%d", i), state.StepSpec{Tasks: 10, Retries: 3})
		}
		starts := d.work(60, ends)
		Convey("it is held sick soon, its tasks go elsewhere, and no job is given up for it", func() {
			So(d.core.UnhealthyWorkers(), ShouldResemble, []string{"m3"})
			So(starts["m3"], ShouldBeLessThan, starts["m4"]/2)
			for key, j := range d.st.Jobs {
				So(key+string(j.Phase), ShouldEqual, key+string(state.JobDone))
			}
			Convey("and it is taken back after probes that end well", func() {
				bad = false
				for i := range 200 {
					d.submit(fmt.Sprintf("b%d", i), state.StepSpec{})
					d.work(2, ends)
				}
				So(d.core.UnhealthyWorkers(), ShouldBeEmpty)
			})
			Convey("and a probe that fails puts the next one off", func() {
				before := d.core.Counts.RunIDs
				again := map[string]int{}
				for i := range 100 { // 20 s
					d.submit(fmt.Sprintf("b%d", i), state.StepSpec{Tasks: 5, Retries: 5})
					for name, n := range d.work(2, ends) {
						again[name] += n
					}
				}
				So(d.core.Counts.RunIDs-before, ShouldBeGreaterThanOrEqualTo, 500)
				So(again["m3"], ShouldBeBetween, 0, 5)
			})
		})
	})
	Convey("a job that can never succeed is given up and takes no minion with it", t, func() {
		d := newHarness("check", "m1", "m2", "m3", "m4")
		d.greetWorkers("check")
		ends := func(_ string, s internalapi.StartOrder) bool { return s.Job != "never" }
		d.submit("never", state.StepSpec{Tasks: 8, Retries: 5})
		for i := range 40 {
			d.submit(fmt.Sprintf("a%d", i), state.StepSpec{Tasks: 4})
		}
		d.work(400, ends)
		So(d.core.UnhealthyWorkers(), ShouldBeEmpty)
		So(d.st.Jobs["never"].Phase, ShouldEqual, state.JobFailed)
		So(d.st.Jobs["never"].Reason, ShouldContainSubstring, "gave up")
		So(d.st.Jobs["a0"].Phase, ShouldEqual, state.JobDone)
	})
	Convey("a type that nobody ends well makes no minion sick, and a zone gives up a share of its minions at most", t, func() {
		h := newHealth(DefaultHealthConfig())
		end := func(name, kind, job string, well bool) {
			h.recordEnd(time.Second, &state.Handle{Worker: name, Type: kind, Ref: state.TaskRef{Job: job}}, well)
		}
		for i := range 20 {
			end("m1", "k", fmt.Sprint(i), false)
			end("m2", "k", fmt.Sprint("b", i), false)
		}
		So(h.ejectIfUnhealthy(time.Second, "m1", "k", 10, 0), ShouldBeFalse)
		for i := range 40 {
			end("m3", "k", fmt.Sprint("c", i), true)
		}
		So(h.ejectIfUnhealthy(time.Second, "m1", "k", 10, 3), ShouldBeFalse)
		So(h.ejectIfUnhealthy(time.Second, "m1", "k", 10, 2), ShouldBeTrue)
		So(h.ejectIfUnhealthy(time.Second, "m1", "k", 10, 2), ShouldBeFalse) // held already
	})
}
