package scheduler

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/internalapi"
	"crosstide/internal/signature"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
	"crosstide/internal/state/query"
)

// enactBundle puts a bundle into force, signed by two operators.
func (h *harness) enactBundle(text string) {
	ada, err := signature.New("ada")
	So(err, ShouldBeNil)
	ben, err := signature.New("ben")
	So(err, ShouldBeNil)
	h.st.Operators = map[string]string{"ada": ada.Public(), "ben": ben.Public()}
	base, digest := h.st.Head().Version, signature.Digest([]byte(text))
	id := fmt.Sprint("o", base)
	h.apply(&command.PutBundle{Order: id, Base: base, By: "ada", Body: []byte(text),
		Sig: ada.Sign(signature.BundlePut(id, base, digest))})
	for _, key := range []signature.Key{ada, ben} {
		h.apply(&command.SignBundle{Order: id + key.Name, Version: base + 1, Digest: digest, By: key.Name,
			Sig: key.Sign(signature.Bundle(base+1, digest))})
	}
}

func TestPlacementPolicy_change(t *testing.T) {
	Convey("A plan made under the previous bundle gets no run IDs", t, func() {
		h := newHarness("check", "m1")
		h.registerWorkers("check")
		h.submit("j", state.StepSpec{})
		h.commit(h.core.Pass(h.now).Plan)
		plan := h.core.Pass(h.now).Plan
		So(plan.Starts, ShouldHaveLength, 1)
		h.enactBundle(`{"queues":{"default":{}}}`)
		h.commit(plan)
		So(h.st.Handles, ShouldBeEmpty)
		So(findOrder(h.commitPlans()), ShouldNotBeNil) // planned again under the new bundle
	})

	Convey("A run that a new bundle does not allow is stopped; its task is due again and has a wait reason", t, func() {
		h := newHarness("check", "m1")
		h.registerWorkers("check")
		h.submit("j", state.StepSpec{})
		order := findOrder(h.commitPlans())
		h.answer(*order, "check", internalapi.LeaseAnswer{Running: []uint64{1}})
		h.commitPlans()
		h.enactBundle(`{"queues":{"other":{}}}`)
		h.now += time.Second
		var stop *OutgoingCall
		for _, c := range h.commitPlans() {
			if len(c.Call.Stops) > 0 {
				stop = &c
			}
		}
		So(stop, ShouldNotBeNil)
		So(stop.Call.Stops, ShouldResemble, []internalapi.StopOrder{{RunID: 1, Why: "queue"}})
		end := internalapi.RunEnd{RunID: 1, Outcome: internalapi.OutcomeStopped}
		h.answer(*stop, "check", internalapi.LeaseAnswer{Ended: []internalapi.RunEnd{end}})
		So(findOrder(h.commitPlans()), ShouldBeNil)
		So(taskOf(h, "j").Phase, ShouldEqual, state.TaskDue)
		view, err := query.Job(h.st, "j")
		So(err, ShouldBeNil)
		So([]any{view.State, view.WaitReason}, ShouldResemble, []any{state.JobRunning, "no queue default in bundle 2"})
		h.enactBundle(`{"queues":{"default":{}}}`)
		h.answerPolls("check", "", internalapi.LeaseAnswer{})
		So(findOrder(h.commitPlans()), ShouldNotBeNil)
	})
}

func TestPlacementPolicy_leaseLength(t *testing.T) {
	Convey("Start orders have the lease length of their queue, and leases are renewed at that length", t, func() {
		h := newHarness("check", "m1")
		h.registerWorkers("check")
		h.enactBundle(`{"queues":{"default":{"hold":"8s"},"slow":{}}}`)
		h.submit("j", state.StepSpec{})
		h.submitTo("slow", "a", "k", state.StepSpec{Name: "s", Type: "t", Tasks: 1, Cores: 1})
		until := map[string]time.Duration{}
		order := findOrder(h.commitPlans())
		for _, s := range order.Call.Starts {
			until[s.Job] = s.LeaseUntil - h.now
		}
		So(until, ShouldResemble, map[string]time.Duration{"j": 8 * time.Second, "k": DefaultConfig().RunLease})
		runID := map[string]uint64{"j": taskOf(h, "j").RunID, "k": taskOf(h, "k").RunID}
		runs := internalapi.LeaseAnswer{Running: []uint64{1, 2}}
		h.answer(*order, "check", runs)
		renewed := map[uint64]int{}
		for range 30 { // seconds
			h.now += time.Second
			h.answerPolls("check", "", runs)
			for _, c := range h.commitPlans() {
				for _, renewedID := range c.Call.Renew {
					renewed[renewedID]++
					want := 8 * time.Second
					if renewedID == runID["k"] {
						want = DefaultConfig().RunLease
					}
					So(c.Call.RenewUntil-h.now, ShouldEqual, want)
				}
			}
		}
		So(renewed[runID["j"]], ShouldBeGreaterThanOrEqualTo, 9) // every 3 s
		So(renewed[runID["k"]], ShouldBeGreaterThanOrEqualTo, 4) // every 6 s
	})
}

func TestPlacementPolicy_teamWeights(t *testing.T) {
	Convey("Under contention teams share capacity by weight; without contention all capacity is used", t, func() {
		h := newHarness("check", "m1")
		h.registerWorkers("check")
		h.enactBundle(`{"queues":{"default":{}},"weights":{"a":3}}`)
		h.submit("old", state.StepSpec{Tasks: 9}) // of team a
		h.submitTo("default", "b", "new", state.StepSpec{Name: "s", Type: "t", Tasks: 9, Cores: 1})
		order := findOrder(h.commitPlans())
		got := map[string]int{}
		for _, s := range order.Call.Starts {
			got[s.Job]++
		}
		So(got, ShouldResemble, map[string]int{"old": 3, "new": 1})
	})
}
