package command

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/state"
)

// TestStarts_races tries every order of a run ID's commit and the things that forbid it: a run ID is issued exactly
// when none of those came before it, and never twice.
func TestStarts_races(t *testing.T) {
	bars := []struct {
		name string
		do   func(b testState)
	}{
		{"cancel", func(b testState) { b.do(&Cancel{Key: "j"}) }},
		{"evacuate", func(b testState) { b.do(&EvacuateZone{Order: "o1", Zone: "z1", Out: true}) }},
		{"drain report", func(b testState) {
			m := testWorker("m1")
			m.Draining = true
			b.do(&Plan{Epoch: b.Roles["sched"].Epoch, Workers: []state.Worker{m}})
		}},
		{"drain order", func(b testState) { b.do(&CloseWorker{Order: "o2", Worker: "m1", Closed: true}) }},
		{"new incarnation", func(b testState) {
			m := testWorker("m1")
			m.Incarnation = "b2"
			b.do(&Plan{Epoch: b.Roles["sched"].Epoch, Workers: []state.Worker{m}})
		}},
		{"new holder", func(b testState) { b.do(&GrantRole{Role: "sched", Holder: "d2", After: 1}) }},
	}
	Convey("a run ID is issued exactly when nothing that forbids it was committed before", t, func() {
		orders := 0
		var walk func(b []int, used int)
		walk = func(seq []int, used int) {
			// The run ID's commit stands after every prefix of every order of the bars.
			bk := newTestState()
			_, err := bk.submit("j", state.StepSpec{Name: "s", Type: "t"})
			So(err, ShouldBeNil)
			names := ""
			for _, i := range seq {
				bars[i].do(bk)
				names += bars[i].name + ", "
			}
			got := bk.start(1, startOn("m1", "j", 0))
			if given := got.RunIDs[0] > 0; given != (len(seq) == 0) {
				panic(fmt.Sprintf("after %sa run ID was issued: %v", names, given))
			}
			if len(bk.Handles) != int(bk.LastRunID) {
				panic("a refused start left a handle")
			}
			orders++
			for i := range bars {
				if used&(1<<i) == 0 {
					walk(append(seq[:len(seq):len(seq)], i), used|1<<i)
				}
			}
		}
		walk(nil, 0)
		So(orders, ShouldEqual, 1957) // all ordered choices of six
	})
}

func TestStarts_thenCancel(t *testing.T) {
	Convey("a cancel after the run ID was issued fixes the outcome, and the task is not due again", t, func() {
		b := newTestState()
		b.submit("j", state.StepSpec{Name: "s", Type: "t", Tasks: 2})
		So(b.start(1, startOn("m1", "j", 0)).RunIDs, ShouldResemble, []uint64{1})
		b.do(&Cancel{Key: "j"})
		So(b.Jobs["j"].Phase, ShouldEqual, state.JobStopping)
		b.do(&Plan{Epoch: 1, Dead: []Proof{{RunID: 1, Why: ProofStop}}})
		So(b.Jobs["j"].Phase, ShouldEqual, state.JobCancelled)
		So(b.Handles, ShouldBeEmpty)
		So(b.RunningCounts(), ShouldBeEmpty)
	})
}
