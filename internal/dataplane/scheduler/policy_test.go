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

// enact puts a text in force, signed by two.
func (d *harness) enact(text string) {
	ada, err := signature.New("ada")
	So(err, ShouldBeNil)
	ben, err := signature.New("ben")
	So(err, ShouldBeNil)
	d.st.Operators = map[string]string{"ada": ada.Public(), "ben": ben.Public()}
	base, digest := d.st.Head().Version, signature.Digest([]byte(text))
	id := fmt.Sprint("o", base)
	d.do(&command.PutBundle{Order: id, Base: base, By: "ada", Body: []byte(text), Sig: ada.Sign(signature.Put(id, base, digest))})
	for _, key := range []signature.Key{ada, ben} {
		d.do(&command.SignBundle{Order: id + key.Name, Version: base + 1, Digest: digest, By: key.Name, Sig: key.Sign(signature.Bundle(base+1, digest))})
	}
}

func TestPlacementPolicyChange(t *testing.T) {
	Convey("A plan made under the bundle before gets no ticket", t, func() {
		d := newHarness("check", "m1")
		d.greetWorkers("check")
		d.submit("j", state.StepSpec{})
		d.commit(d.core.Pass(d.now).Plan)
		plan := d.core.Pass(d.now).Plan
		So(plan.Starts, ShouldHaveLength, 1)
		d.enact(`{"queues":{"default":{}}}`)
		d.commit(plan)
		So(d.st.Handles, ShouldBeEmpty)
		So(findOrder(d.commitPlans()), ShouldNotBeNil) // made again under the new one
	})

	Convey("What does not fit a new bundle is stopped, made due again, and tells why it waits", t, func() {
		d := newHarness("check", "m1")
		d.greetWorkers("check")
		d.submit("j", state.StepSpec{})
		o := findOrder(d.commitPlans())
		d.answer(*o, "check", internalapi.LeaseAnswer{Running: []uint64{1}})
		d.commitPlans()
		d.enact(`{"queues":{"other":{}}}`)
		d.now += time.Second
		var stop *OutgoingCall
		for _, c := range d.commitPlans() {
			if len(c.Call.Stops) > 0 {
				stop = &c
			}
		}
		So(stop, ShouldNotBeNil)
		So(stop.Call.Stops, ShouldResemble, []internalapi.StopOrder{{RunID: 1, Why: "queue"}})
		d.answer(*stop, "check", internalapi.LeaseAnswer{Ended: []internalapi.RunEnd{{RunID: 1, Outcome: internalapi.OutcomeStopped}}})
		So(findOrder(d.commitPlans()), ShouldBeNil)
		So(taskOf(d, "j").Phase, ShouldEqual, state.TaskDue)
		view, err := query.Job(d.st, "j")
		So(err, ShouldBeNil)
		So([]any{view.State, view.WaitReason}, ShouldResemble, []any{state.JobRunning, "no queue default in bundle 2"})
		d.enact(`{"queues":{"default":{}}}`)
		d.reply("check", "", internalapi.LeaseAnswer{})
		So(findOrder(d.commitPlans()), ShouldNotBeNil)
	})

	Convey("A queue's hold goes into the order, and each length of hold is renewed by its own", t, func() {
		d := newHarness("check", "m1")
		d.greetWorkers("check")
		d.enact(`{"queues":{"default":{"hold":"8s"},"slow":{}}}`)
		d.submit("j", state.StepSpec{})
		d.do(&command.Submit{Spec: state.Spec{Key: "k", Team: "a", Queue: "slow", Steps: []state.StepSpec{{Name: "s", Type: "t", Tasks: 1, Cores: 1}}}, Digest: "k", Bound: 100})
		until := map[string]time.Duration{}
		o := findOrder(d.commitPlans())
		for _, s := range o.Call.Starts {
			until[s.Job] = s.LeaseUntil - d.now
		}
		So(until, ShouldResemble, map[string]time.Duration{"j": 8 * time.Second, "k": DefaultConfig().RunLease})
		runID := map[string]uint64{"j": taskOf(d, "j").RunID, "k": taskOf(d, "k").RunID}
		runs := internalapi.LeaseAnswer{Running: []uint64{1, 2}}
		d.answer(*o, "check", runs)
		renewed := map[uint64]int{}
		for range 30 { // seconds
			d.now += time.Second
			d.reply("check", "", runs)
			for _, c := range d.commitPlans() {
				for _, t := range c.Call.Renew {
					renewed[t]++
					want := 8 * time.Second
					if t == runID["k"] {
						want = DefaultConfig().RunLease
					}
					So(c.Call.RenewUntil-d.now, ShouldEqual, want)
				}
			}
		}
		So(renewed[runID["j"]], ShouldBeGreaterThanOrEqualTo, 9) // each 3 s
		So(renewed[runID["k"]], ShouldBeGreaterThanOrEqualTo, 4) // each 6 s
	})

	Convey("Under contention teams share by their weights; without contention all room is used", t, func() {
		d := newHarness("check", "m1")
		d.greetWorkers("check")
		d.enact(`{"queues":{"default":{}},"weights":{"a":3}}`)
		d.submit("old", state.StepSpec{Tasks: 9}) // of team a
		d.do(&command.Submit{Spec: state.Spec{Key: "new", Team: "b", Queue: "default", Steps: []state.StepSpec{{Name: "s", Type: "t", Tasks: 9, Cores: 1}}}, Digest: "n", Bound: 100})
		o := findOrder(d.commitPlans())
		got := map[string]int{}
		for _, s := range o.Call.Starts {
			got[s.Job]++
		}
		So(got, ShouldResemble, map[string]int{"old": 3, "new": 1})
	})
}
