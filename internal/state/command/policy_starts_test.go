package command

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/state"
	"crosstide/internal/testbed/exhaustive"
)

// TestStarts_races tries every order of events that forbid a start, with the start after each prefix: a run ID is
// issued if and only if none of them was committed before, and never twice.
func TestStarts_races(t *testing.T) {
	events := []struct {
		name string
		do   func(s testState)
	}{
		{"cancel", func(s testState) { s.do(&Cancel{Key: "j"}) }},
		{"evacuate", func(s testState) { s.do(&EvacuateZone{Order: "o1", Zone: "z1", Start: true}) }},
		{"drain report", func(s testState) {
			draining := testWorker("m1")
			draining.Draining = true
			s.do(&Plan{Epoch: s.Roles["sched"].Epoch, Workers: []state.Worker{draining}})
		}},
		{"drain order", func(s testState) { s.do(&CloseWorker{Order: "o2", Worker: "m1", Closed: true}) }},
		{"new incarnation", func(s testState) {
			restarted := testWorker("m1")
			restarted.Incarnation = "b2"
			s.do(&Plan{Epoch: s.Roles["sched"].Epoch, Workers: []state.Worker{restarted}})
		}},
		{"new holder", func(s testState) { s.do(&GrantRole{Role: "sched", Holder: "d2", After: 1}) }},
	}
	Convey("A run ID is issued if and only if nothing that forbids it was committed before", t, func() {
		orders := exhaustive.Arrangements(len(events), func(chosen []int) {
			s := newTestState()
			_, err := s.submit("j", state.StepSpec{Name: "s", Type: "t"})
			So(err, ShouldBeNil)
			names := ""
			for _, i := range chosen {
				events[i].do(s)
				names += events[i].name + ", "
			}
			got := s.start(1, startOn("m1", "j", 0))
			if issued := got.RunIDs[0] > 0; issued != (len(chosen) == 0) {
				panic(fmt.Sprintf("after %sa run ID was issued: %v", names, issued))
			}
			if len(s.Handles) != int(s.LastRunID) {
				panic("a refused start left a handle")
			}
		})
		So(orders, ShouldEqual, 1957) // all ordered choices of six
	})
}

func TestStarts_thenCancel(t *testing.T) {
	Convey("A cancel after a run ID was issued fixes the outcome, and the task is not due again", t, func() {
		s := newTestState()
		s.submit("j", state.StepSpec{Name: "s", Type: "t", Tasks: 2})
		So(s.start(1, startOn("m1", "j", 0)).RunIDs, ShouldResemble, []uint64{1})
		s.do(&Cancel{Key: "j"})
		So(s.Jobs["j"].Phase, ShouldEqual, state.JobStopping)
		s.do(&Plan{Epoch: 1, Dead: []Proof{{RunID: 1, Kind: ProofStop}}})
		So(s.Jobs["j"].Phase, ShouldEqual, state.JobCancelled)
		So(s.Handles, ShouldBeEmpty)
		So(s.HandlesByType(), ShouldBeEmpty)
	})
}

func TestStarts_taskTwice(t *testing.T) {
	Convey("A group that lists a task twice is refused as a whole, and each node applies the plan", t, func() {
		s := newTestState()
		s.submit("j", state.StepSpec{Name: "s", Type: "t", Tasks: 2})
		first, second := startOn("m1", "j", 0), startOn("m1", "j", 1)
		first.Group, second.Group = 1, 1
		planned := s.start(1, first, first)
		So(planned.RunIDs, ShouldResemble, []uint64{0, 0})
		So(planned.Refused, ShouldResemble, []state.Refusal{RefusedTask, RefusedTask})
		So(s.Handles, ShouldBeEmpty)
		So(s.start(1, first, second).RunIDs, ShouldResemble, []uint64{1, 2})
	})
}
