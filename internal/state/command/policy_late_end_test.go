package command

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/state"
)

// An end in good order that is heard after its handle was released by a proof counts as long as the task has no newer
// run ID.
func TestLateEnd(t *testing.T) {
	ref := state.TaskRef{Job: "j"}
	late := End{RunID: 1, Ref: ref, OK: true}
	Convey("Given a task whose only ticket was let go as lapsed", t, func() {
		b := newTestState()
		b.submit("j", state.StepSpec{Name: "s", Type: "t"}, state.StepSpec{Name: "u", Type: "t", After: []string{"s"}})
		So(b.start(1, startOn("m1", "j", 0)).RunIDs, ShouldResemble, []uint64{1})
		b.do(&Plan{Epoch: 1, Dead: []Proof{{RunID: 1, Why: ProofLeaseExpired}}})
		_, task := b.TaskOf(ref)
		So(task.Phase, ShouldEqual, state.TaskDue)

		Convey("its end makes it done, before the starts of the same plan, and the next step falls due", func() {
			a, err := b.do(&Plan{Epoch: 1, BundleVersion: b.Bundle.Version, Ends: []End{late}, Starts: []Start{startOn("m2", "j", 0)}})
			So(err, ShouldBeNil)
			So(a.(Planned).Refused, ShouldResemble, []string{"task"})
			So(task.Phase, ShouldEqual, state.TaskDone)
			_, next := b.TaskOf(state.TaskRef{Job: "j", Step: 1})
			So(next.Phase, ShouldEqual, state.TaskDue)
			So(b.Handles, ShouldBeEmpty)
		})
		Convey("its end under a newer ticket changes nothing", func() {
			So(b.start(1, startOn("m2", "j", 0)).RunIDs, ShouldResemble, []uint64{2})
			b.do(&Plan{Epoch: 1, Ends: []End{late}})
			So(task.Phase, ShouldEqual, state.TaskAssigned)
			b.do(&Plan{Epoch: 1, Dead: []Proof{{RunID: 2, Why: ProofUnsent}}})
			b.do(&Plan{Epoch: 1, Ends: []End{late}})
			So(task.Phase, ShouldEqual, state.TaskDue)
		})
		Convey("an end in fault changes nothing", func() {
			b.do(&Plan{Epoch: 1, Ends: []End{{RunID: 1, Ref: ref}}})
			So(task.Phase, ShouldEqual, state.TaskDue)
			So(task.Failures, ShouldEqual, 0)
		})
		Convey("nor does an end after the job was cancelled", func() {
			b.do(&Cancel{Key: "j"})
			b.do(&Plan{Epoch: 1, Ends: []End{late}})
			So(task.Phase, ShouldEqual, state.TaskSkipped)
			So(b.Jobs["j"].Phase, ShouldEqual, state.JobCancelled)
		})
	})
}
