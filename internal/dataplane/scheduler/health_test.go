package scheduler

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/internalapi"
	"crosstide/internal/state"
)

// runRounds lets the workers run for some rounds. Every run ends at once, and succeeds if succeeds returns true. It
// returns the number of starts by worker.
func (h *harness) runRounds(rounds int, succeeds func(worker string, s internalapi.StartOrder) bool) map[string]int {
	starts := map[string]int{}
	unacked := map[string][]internalapi.RunEnd{}
	for range rounds {
		h.now += 100 * time.Millisecond
		for _, c := range h.commitPlans() {
			if !c.IsOrder {
				continue
			}
			for _, s := range c.Call.Starts {
				starts[c.Worker]++
				outcome := internalapi.OutcomeFailed
				if succeeds(c.Worker, s) {
					outcome = internalapi.OutcomeOK
				}
				end := internalapi.RunEnd{RunID: s.RunID, Outcome: outcome, Reason: "x"}
				unacked[c.Worker] = append(unacked[c.Worker], end)
			}
			h.answer(c, "check", internalapi.LeaseAnswer{Ended: unacked[c.Worker]})
		}
		for name, c := range h.polls {
			delete(h.polls, name)
			h.answer(c, "check", internalapi.LeaseAnswer{Ended: unacked[name]})
		}
		for name, ended := range unacked {
			kept := ended[:0:0]
			for _, end := range ended {
				if h.st.Handles[end.RunID] != nil {
					kept = append(kept, end)
				}
			}
			unacked[name] = kept
		}
	}
	return starts
}

func TestHealth_unhealthyWorkerIsEjected(t *testing.T) {
	Convey("Given ten workers, one of which fails all of its tasks but answers calls normally", t, func() {
		var names []string
		for i := range 10 {
			names = append(names, fmt.Sprintf("m%d", i))
		}
		h := newHarness("check", names...)
		h.registerWorkers("check")
		isFaulty := true
		succeeds := func(worker string, _ internalapi.StartOrder) bool { return worker != "m3" || !isFaulty }
		for i := range 60 {
			h.submit(fmt.Sprintf("a%d", i), state.StepSpec{Tasks: 10, Retries: 3})
		}
		starts := h.runRounds(60, succeeds)
		Convey("it is ejected soon, its tasks run elsewhere, and no job fails because of it", func() {
			So(h.core.UnhealthyWorkers(), ShouldResemble, []string{"m3"})
			So(starts["m3"], ShouldBeLessThan, starts["m4"]/2)
			for key, j := range h.st.Jobs {
				So(key+string(j.Phase), ShouldEqual, key+string(state.JobDone))
			}
			Convey("and it is readmitted after successful probes", func() {
				isFaulty = false
				for i := range 200 {
					h.submit(fmt.Sprintf("b%d", i), state.StepSpec{})
					h.runRounds(2, succeeds)
				}
				So(h.core.UnhealthyWorkers(), ShouldBeEmpty)
			})
			Convey("and a failed probe delays the next one", func() {
				before := h.core.Counts.RunIDsAssigned
				starts := map[string]int{}
				for i := range 100 { // 20 s
					h.submit(fmt.Sprintf("b%d", i), state.StepSpec{Tasks: 5, Retries: 5})
					for name, n := range h.runRounds(2, succeeds) {
						starts[name] += n
					}
				}
				So(h.core.Counts.RunIDsAssigned-before, ShouldBeGreaterThanOrEqualTo, 500)
				So(starts["m3"], ShouldBeBetween, 0, 5)
			})
		})
	})
}

func TestHealth_workerNotToBlame(t *testing.T) {
	Convey("A job that can never succeed fails, and no worker is ejected for it", t, func() {
		h := newHarness("check", "m1", "m2", "m3", "m4")
		h.registerWorkers("check")
		succeeds := func(_ string, s internalapi.StartOrder) bool { return s.Job != "never" }
		h.submit("never", state.StepSpec{Tasks: 8, Retries: 5})
		for i := range 40 {
			h.submit(fmt.Sprintf("a%d", i), state.StepSpec{Tasks: 4})
		}
		h.runRounds(400, succeeds)
		So(h.core.UnhealthyWorkers(), ShouldBeEmpty)
		So(h.st.Jobs["never"].Phase, ShouldEqual, state.JobFailed)
		So(h.st.Jobs["never"].Reason, ShouldContainSubstring, "gave up")
		So(h.st.Jobs["a0"].Phase, ShouldEqual, state.JobDone)
	})
	Convey("A type that no worker completes ejects no worker, and at most a share of a zone is ejected", t, func() {
		h := newHealth(defaultHealthConfig())
		end := func(worker, taskType, job string, ok bool) {
			h.recordEnd(time.Second, &state.Handle{Worker: worker, Type: taskType, Ref: state.TaskRef{Job: job}}, ok)
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
		So(h.ejectIfUnhealthy(time.Second, "m1", "k", 10, 2), ShouldBeFalse) // ejected already
	})
}
