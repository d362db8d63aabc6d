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
	Convey("Open jobs are limited, and a repeated submission is the same job, also after it was purged", t, func() {
		s := newTestState()
		for _, key := range []string{"a", "b", "c"} {
			_, err := s.submit(key, state.StepSpec{Name: "s", Type: "t"})
			So(err, ShouldBeNil)
		}
		_, err := s.submit("d", state.StepSpec{Name: "s", Type: "t"})
		So(errs.KindOf(err), ShouldEqual, errs.Overloaded)
		again, err := s.submit("a", state.StepSpec{Name: "s", Type: "t"})
		So(err, ShouldBeNil)
		So(again.(Submitted).Fresh, ShouldBeFalse)
		_, err = s.do(&Submit{Spec: s.Jobs["a"].Spec, Digest: "other", Bound: 3})
		So(errs.KindOf(err), ShouldEqual, errs.Conflict)
		s.do(&Cancel{Key: "a"})
		So(s.Inbox, ShouldResemble, []string{"b", "c"})
		s.do(&Purge{JobsKeep: 0, TombstonesKeep: 1, TombstonesBefore: time.Unix(0, 0)})
		So(s.Jobs["a"], ShouldBeNil)
		again, err = s.submit("a", state.StepSpec{Name: "s", Type: "t"})
		So(err, ShouldBeNil)
		So(again.(Submitted).Phase, ShouldEqual, state.JobCancelled)
		_, err = s.do(&Submit{Spec: state.Spec{Key: "a"}, Digest: "other", Bound: 3})
		So(errs.KindOf(err), ShouldEqual, errs.Conflict)
		So(s.start(1).RunIDs, ShouldBeEmpty)
		So(s.AdmittedSeq, ShouldEqual, s.Seq)
		So(s.Inbox, ShouldBeEmpty)
	})
}

func TestSubmit_overload(t *testing.T) {
	Convey("Under overload each team is limited to its share, and the last twentieth is for urgent queues", t, func() {
		s := testState{state.New()}
		s.Bundle.Queues["now"] = state.Queue{Urgent: true}
		s.Bundle.Weights = map[string]int{"c": 2}
		submit := func(team, queue string, n int) (accepted int) {
			for i := range n {
				spec := state.Spec{Key: fmt.Sprint(team, queue, i, s.Index), Team: team, Queue: queue,
					Steps: []state.StepSpec{{Name: "s", Type: "t", Tasks: 1}}}
				if _, err := s.do(&Submit{Spec: spec, Digest: "d", Bound: 100}); err == nil {
					accepted++
				} else {
					So(errs.KindOf(err), ShouldEqual, errs.Overloaded)
				}
			}
			return accepted
		}
		So(submit("a", "default", 40), ShouldEqual, 40)
		So(submit("b", "default", 20), ShouldEqual, 20)
		So(submit("a", "default", 20), ShouldEqual, 10) // up to half of the bound, the share of each of two teams
		So(submit("c", "default", 90), ShouldEqual, 25) // its share by weight is 50, but the reserve comes first
		So(submit("b", "default", 20), ShouldEqual, 0)
		So(submit("b", "now", 20), ShouldEqual, 5)
		So(s.OpenJobs(), ShouldEqual, 100)
		Convey("and a team's jobs in a queue, all its jobs, or a list of jobs are cancelled in one entry", func() {
			got, err := s.do(&CancelMany{Team: "b", Queue: "now"})
			So(err, ShouldBeNil)
			So(got, ShouldResemble, CancelledMany{Cancelled: 5})
			got, err = s.do(&CancelMany{Team: "b"})
			So(err, ShouldBeNil)
			So(got, ShouldResemble, CancelledMany{Cancelled: 20})
			So(s.OpenJobs(), ShouldEqual, 75)
			So(s.OpenJobsOf("b"), ShouldEqual, 0)
			var keys []string
			for key, j := range s.Jobs {
				if j.Spec.Team == "a" && len(keys) < 10 {
					keys = append(keys, key)
				}
			}
			got, err = s.do(&CancelMany{Keys: append(keys, "nobody", keys[0])})
			So(err, ShouldBeNil)
			So(got, ShouldResemble, CancelledMany{Cancelled: 10, AlreadyEnded: 1, Unknown: []string{"nobody"}})
			for _, bad := range []*CancelMany{{}, {Keys: keys, Team: "a"}} {
				_, err = s.do(bad)
				So(errs.KindOf(err), ShouldEqual, errs.Invalid)
			}
		})
	})
}
