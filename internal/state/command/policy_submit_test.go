package command

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
	"crosstide/internal/state"
)

func TestSubmit_repeated(t *testing.T) {
	Convey("The inbox is bounded, and a repeated submission is the same job, also after it was purged", t, func() {
		b := newTestState()
		for _, key := range []string{"a", "b", "c"} {
			_, err := b.submit(key, state.StepSpec{Name: "s", Type: "t"})
			So(err, ShouldBeNil)
		}
		_, err := b.submit("d", state.StepSpec{Name: "s", Type: "t"})
		So(errs.KindOf(err), ShouldEqual, errs.Overloaded)
		again, err := b.submit("a", state.StepSpec{Name: "s", Type: "t"})
		So(err, ShouldBeNil)
		So(again.(Submitted).Fresh, ShouldBeFalse)
		_, err = b.do(&Submit{Spec: b.Jobs["a"].Spec, Digest: "other", Bound: 3})
		So(errs.KindOf(err), ShouldEqual, errs.Conflict)
		b.do(&Cancel{Key: "a"})
		So(b.Inbox, ShouldResemble, []string{"b", "c"})
		b.do(&Purge{JobsKeep: 0, TombstonesKeep: 1, TombstonesBefore: time.Unix(0, 0)})
		So(b.Jobs["a"], ShouldBeNil)
		again, err = b.submit("a", state.StepSpec{Name: "s", Type: "t"})
		So(err, ShouldBeNil)
		So(again.(Submitted).Phase, ShouldEqual, state.JobCancelled)
		_, err = b.do(&Submit{Spec: state.Spec{Key: "a"}, Digest: "other", Bound: 3})
		So(errs.KindOf(err), ShouldEqual, errs.Conflict)
		So(b.start(1).RunIDs, ShouldBeEmpty)
		So(b.AdmittedSeq, ShouldEqual, b.Seq)
		So(b.Inbox, ShouldBeEmpty)
	})
}

func TestSubmit_overload(t *testing.T) {
	Convey("under overload each team keeps its share, and the last capacity is for urgent queues", t, func() {
		b := testState{state.New()}
		b.Bundle.Queues["now"] = state.Queue{Urgent: true}
		b.Bundle.Weights = map[string]int{"c": 2}
		submit := func(team, queue string, n int) (took int) {
			for i := range n {
				spec := state.Spec{Key: fmt.Sprint(team, queue, i, b.Index), Team: team, Queue: queue, Steps: []state.StepSpec{{Name: "s", Type: "t", Tasks: 1}}}
				if _, err := b.do(&Submit{Spec: spec, Digest: "d", Bound: 100}); err == nil {
					took++
				} else {
					So(errs.KindOf(err), ShouldEqual, errs.Overloaded)
				}
			}
			return took
		}
		So(submit("a", "default", 40), ShouldEqual, 40)
		So(submit("b", "default", 20), ShouldEqual, 20)
		So(submit("a", "default", 20), ShouldEqual, 10) // up to half of the bound, the share of one of two
		So(submit("c", "default", 90), ShouldEqual, 25) // its share of twice the weight would be 50: the reserve stops it
		So(submit("b", "default", 20), ShouldEqual, 0)
		So(submit("b", "now", 20), ShouldEqual, 5)
		So(b.OpenJobs(), ShouldEqual, 100)
		Convey("and a team's queue is cancelled in one call, a list likewise", func() {
			got, err := b.do(&CancelMany{Team: "b", Queue: "now"})
			So(err, ShouldBeNil)
			So(got, ShouldResemble, CancelledMany{Cancelled: 5})
			got, err = b.do(&CancelMany{Team: "b"})
			So(err, ShouldBeNil)
			So(got, ShouldResemble, CancelledMany{Cancelled: 20})
			So(b.OpenJobs(), ShouldEqual, 75)
			So(b.OpenJobsOf("b"), ShouldEqual, 0)
			var keys []string
			for key, j := range b.Jobs {
				if j.Spec.Team == "a" && len(keys) < 10 {
					keys = append(keys, key)
				}
			}
			got, err = b.do(&CancelMany{Keys: append(keys, "nobody", keys[0])})
			So(err, ShouldBeNil)
			So(got, ShouldResemble, CancelledMany{Cancelled: 10, Over: 1, Unknown: []string{"nobody"}})
			for _, bad := range []*CancelMany{{}, {Keys: keys, Team: "a"}} {
				_, err = b.do(bad)
				So(errs.KindOf(err), ShouldEqual, errs.Invalid)
			}
		})
	})
}
