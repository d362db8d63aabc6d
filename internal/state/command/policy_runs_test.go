package command

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/state"
)

func TestTaskPhases(t *testing.T) {
	Convey("given a job of two steps", t, func() {
		b := newTestState()
		b.submit("j", state.StepSpec{Name: "a", Type: "t", Tasks: 2, Retries: 1}, state.StepSpec{Name: "b", Type: "t", After: []string{"a"}})
		second := Start{Ref: state.TaskRef{Job: "j", Step: 1}, Worker: "m2", Incarnation: "b"}
		Convey("a task has one handle at most", func() {
			So(b.start(1, startOn("m1", "j", 0), startOn("m2", "j", 0)), ShouldResemble, Planned{RunIDs: []uint64{1, 0}, Refused: []string{"", "task"}})
		})
		Convey("a step waits for the one before, and the job is done when all its tasks are", func() {
			So(b.start(1, startOn("m1", "j", 0), startOn("m1", "j", 1), second).RunIDs, ShouldResemble, []uint64{1, 2, 0})
			So(b.RunningCount("t"), ShouldEqual, 2)
			b.do(&Plan{Epoch: 1, Ends: []End{{RunID: 1, OK: true}}})
			So(b.start(1, second).RunIDs[0], ShouldEqual, 0)
			b.do(&Plan{Epoch: 1, Ends: []End{{RunID: 2, OK: true}, {RunID: 1, OK: true}}}) // said twice: once is enough
			So(b.start(1, second).RunIDs[0], ShouldEqual, 3)
			So(b.Jobs["j"].Phase, ShouldEqual, state.JobRunning)
			b.do(&Plan{Epoch: 1, Ends: []End{{RunID: 3, OK: true}}})
			So(b.Jobs["j"].Phase, ShouldEqual, state.JobDone)
			b.do(&Cancel{Key: "j"})
			So(b.Jobs["j"].Phase, ShouldEqual, state.JobDone)
		})
		Convey("a failed run is retried after a backoff, up to its retries, under a new run ID", func() {
			b.start(1, startOn("m1", "j", 0))
			b.do(&Plan{Epoch: 1, Ends: []End{{RunID: 1, Reason: "x"}}})
			task := &b.Jobs["j"].Tasks[0][0]
			So(task.Phase, ShouldEqual, state.TaskDue)
			So(task.DueAt.Sub(b.At), ShouldEqual, b.Bundle.Backoff.Min)
			So(b.start(1, startOn("m1", "j", 0)).RunIDs[0], ShouldEqual, 2)
			b.do(&Plan{Epoch: 1, Ends: []End{{RunID: 2, Reason: "x"}}})
			So(b.Jobs["j"].Phase, ShouldEqual, state.JobFailed)
			So(b.Jobs["j"].Reason, ShouldContainSubstring, "step a gave up: x")
		})
		Convey("a gang gets its run IDs together or not at all", func() {
			one, two := startOn("m1", "j", 0), startOn("m1", "j", 1)
			one.Group, two.Group = 7, 7
			b.submit("k", state.StepSpec{Name: "a", Type: "t"})
			b.start(1, startOn("m1", "k", 0)) // leaves room for one of the two
			So(b.start(1, one, two).Refused, ShouldResemble, []string{"room", "room"})
			two.Worker = "m2"
			So(b.start(1, one, two).RunIDs, ShouldResemble, []uint64{2, 3})
		})
		Convey("the state comes back from its bytes as it was, and goes on the same", func() {
			b.start(1, startOn("m1", "j", 0))
			data, err := b.Encode()
			So(err, ShouldBeNil)
			back, err := state.Decode(data)
			So(err, ShouldBeNil)
			c := testState{back}
			for _, x := range []testState{b, c} {
				x.do(&Plan{Epoch: 1, Ends: []End{{RunID: 1, OK: true}}})
				x.do(&Cancel{Key: "j"})
			}
			one, _ := b.Encode()
			two, _ := c.Encode()
			So(string(one), ShouldEqual, string(two))
		})
	})
}

func TestEnds_withNewIncarnation(t *testing.T) {
	Convey("An end counts that is in one plan with its worker's new incarnation", t, func() {
		b := newTestState()
		b.submit("j", state.StepSpec{Name: "s", Type: "t"})
		b.start(1)
		runID := b.start(1, startOn("m1", "j", 0)).RunIDs[0]
		So(runID, ShouldNotEqual, 0)
		m := testWorker("m1")
		m.Incarnation = "b2"
		_, err := b.do(&Plan{Epoch: 1, Ends: []End{{RunID: runID, OK: true}}, Workers: []state.Worker{m}})
		So(err, ShouldBeNil)
		So(b.Jobs["j"].Tasks[0][0].Phase, ShouldEqual, state.TaskDone)
		So(b.Jobs["j"].Phase, ShouldEqual, state.JobDone)
	})
}

// An end of a run that ended well counts after its handle was released by a proof, as long as the task has no newer
// run ID.
func TestEnds_late(t *testing.T) {
	ref := state.TaskRef{Job: "j"}
	late := End{RunID: 1, Ref: ref, OK: true}
	Convey("Given a task whose only handle was released as its lease expired", t, func() {
		b := newTestState()
		b.submit("j", state.StepSpec{Name: "s", Type: "t"}, state.StepSpec{Name: "u", Type: "t", After: []string{"s"}})
		So(b.start(1, startOn("m1", "j", 0)).RunIDs, ShouldResemble, []uint64{1})
		b.do(&Plan{Epoch: 1, Dead: []Proof{{RunID: 1, Why: ProofLeaseExpired}}})
		_, task := b.TaskOf(ref)
		So(task.Phase, ShouldEqual, state.TaskDue)

		Convey("its end makes it done, before the starts of the same plan, and the next step due", func() {
			a, err := b.do(&Plan{Epoch: 1, BundleVersion: b.Bundle.Version, Ends: []End{late}, Starts: []Start{startOn("m2", "j", 0)}})
			So(err, ShouldBeNil)
			So(a.(Planned).Refused, ShouldResemble, []string{"task"})
			So(task.Phase, ShouldEqual, state.TaskDone)
			_, next := b.TaskOf(state.TaskRef{Job: "j", Step: 1})
			So(next.Phase, ShouldEqual, state.TaskDue)
			So(b.Handles, ShouldBeEmpty)
		})
		Convey("its end under a newer run ID changes nothing", func() {
			So(b.start(1, startOn("m2", "j", 0)).RunIDs, ShouldResemble, []uint64{2})
			b.do(&Plan{Epoch: 1, Ends: []End{late}})
			So(task.Phase, ShouldEqual, state.TaskAssigned)
			b.do(&Plan{Epoch: 1, Dead: []Proof{{RunID: 2, Why: ProofUnsent}}})
			b.do(&Plan{Epoch: 1, Ends: []End{late}})
			So(task.Phase, ShouldEqual, state.TaskDue)
		})
		Convey("an end in failure changes nothing", func() {
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
