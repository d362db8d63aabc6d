package command

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/state"
)

func TestTaskPhases(t *testing.T) {
	Convey("Given a job of two steps", t, func() {
		s := newTestState()
		s.submit("j", state.StepSpec{Name: "a", Type: "t", Tasks: 2, Retries: 1},
			state.StepSpec{Name: "b", Type: "t", After: []string{"a"}})
		second := Start{Ref: state.TaskRef{Job: "j", Step: 1}, Worker: "m2", Incarnation: "b"}
		Convey("a task has at most one handle", func() {
			So(s.start(1, startOn("m1", "j", 0), startOn("m2", "j", 0)), ShouldResemble,
				Planned{RunIDs: []uint64{1, 0}, Refused: []state.Refusal{"", "task"}})
		})
		Convey("a step waits for the one before it, and the job is done when all its tasks are", func() {
			So(s.start(1, startOn("m1", "j", 0), startOn("m1", "j", 1), second).RunIDs, ShouldResemble,
				[]uint64{1, 2, 0})
			So(s.RunningCount("t"), ShouldEqual, 2)
			s.do(&Plan{Epoch: 1, Ends: []End{{RunID: 1, OK: true}}})
			So(s.start(1, second).RunIDs[0], ShouldEqual, 0)
			// The end of run 1 is reported again.
			s.do(&Plan{Epoch: 1, Ends: []End{{RunID: 2, OK: true}, {RunID: 1, OK: true}}})
			So(s.start(1, second).RunIDs[0], ShouldEqual, 3)
			So(s.Jobs["j"].Phase, ShouldEqual, state.JobRunning)
			s.do(&Plan{Epoch: 1, Ends: []End{{RunID: 3, OK: true}}})
			So(s.Jobs["j"].Phase, ShouldEqual, state.JobDone)
			s.do(&Cancel{Key: "j"})
			So(s.Jobs["j"].Phase, ShouldEqual, state.JobDone)
		})
		Convey("a failed run is retried after a backoff, up to its retries, under a new run ID", func() {
			s.start(1, startOn("m1", "j", 0))
			s.do(&Plan{Epoch: 1, Ends: []End{{RunID: 1, Reason: "x"}}})
			task := &s.Jobs["j"].Tasks[0][0]
			So(task.Phase, ShouldEqual, state.TaskDue)
			So(task.DueAt.Sub(s.At), ShouldEqual, s.Bundle.Backoff.Min)
			So(s.start(1, startOn("m1", "j", 0)).RunIDs[0], ShouldEqual, 2)
			s.do(&Plan{Epoch: 1, Ends: []End{{RunID: 2, Reason: "x"}}})
			So(s.Jobs["j"].Phase, ShouldEqual, state.JobFailed)
			So(s.Jobs["j"].Reason, ShouldContainSubstring, "step a gave up: x")
		})
		Convey("a gang gets its run IDs together or not at all", func() {
			first, other := startOn("m1", "j", 0), startOn("m1", "j", 1)
			first.Group, other.Group = 7, 7
			s.submit("k", state.StepSpec{Name: "a", Type: "t"})
			s.start(1, startOn("m1", "k", 0)) // m1 has capacity left for one of the two
			So(s.start(1, first, other).Refused, ShouldResemble, []state.Refusal{"room", "room"})
			other.Worker = "m2"
			So(s.start(1, first, other).RunIDs, ShouldResemble, []uint64{2, 3})
		})
		Convey("a decoded state continues like the encoded one", func() {
			s.start(1, startOn("m1", "j", 0))
			data, err := s.Encode()
			So(err, ShouldBeNil)
			decoded, err := state.Decode(data)
			So(err, ShouldBeNil)
			for _, each := range []testState{s, {decoded}} {
				each.do(&Plan{Epoch: 1, Ends: []End{{RunID: 1, OK: true}}})
				each.do(&Cancel{Key: "j"})
			}
			data, err = s.Encode()
			So(err, ShouldBeNil)
			continued, err := decoded.Encode()
			So(err, ShouldBeNil)
			So(string(continued), ShouldEqual, string(data))
		})
	})
}

func TestEnds_withNewIncarnation(t *testing.T) {
	Convey("An end in the same plan as its worker's new incarnation counts", t, func() {
		s := newTestState()
		s.submit("j", state.StepSpec{Name: "s", Type: "t"})
		s.start(1)
		runID := s.start(1, startOn("m1", "j", 0)).RunIDs[0]
		So(runID, ShouldNotEqual, 0)
		restarted := testWorker("m1")
		restarted.Incarnation = "b2"
		_, err := s.do(&Plan{Epoch: 1, Ends: []End{{RunID: runID, OK: true}}, Workers: []state.Worker{restarted}})
		So(err, ShouldBeNil)
		So(s.Jobs["j"].Tasks[0][0].Phase, ShouldEqual, state.TaskDone)
		So(s.Jobs["j"].Phase, ShouldEqual, state.JobDone)
	})
}

// TestEnds_late checks that the reported success of a run counts even after a proof has released its handle, unless the
// task has a newer run ID. Otherwise a task that is done would run again.
func TestEnds_late(t *testing.T) {
	ref := state.TaskRef{Job: "j"}
	late := End{RunID: 1, Ref: ref, OK: true}
	Convey("Given a task whose only handle was released because its lease expired", t, func() {
		s := newTestState()
		s.submit("j", state.StepSpec{Name: "s", Type: "t"},
			state.StepSpec{Name: "u", Type: "t", After: []string{"s"}})
		So(s.start(1, startOn("m1", "j", 0)).RunIDs, ShouldResemble, []uint64{1})
		s.do(&Plan{Epoch: 1, Dead: []Proof{{RunID: 1, Kind: ProofLeaseExpired}}})
		_, task := s.TaskOf(ref)
		So(task.Phase, ShouldEqual, state.TaskDue)

		Convey("its success makes it done, before the starts of the same plan, and the next step due", func() {
			answer, err := s.do(&Plan{
				Epoch: 1, BundleVersion: s.Bundle.Version, Ends: []End{late}, Starts: []Start{startOn("m2", "j", 0)},
			})
			So(err, ShouldBeNil)
			So(answer.(Planned).Refused, ShouldResemble, []state.Refusal{"task"})
			So(task.Phase, ShouldEqual, state.TaskDone)
			_, next := s.TaskOf(state.TaskRef{Job: "j", Step: 1})
			So(next.Phase, ShouldEqual, state.TaskDue)
			So(s.Handles, ShouldBeEmpty)
		})
		Convey("its success changes nothing if the task has a newer run ID", func() {
			So(s.start(1, startOn("m2", "j", 0)).RunIDs, ShouldResemble, []uint64{2})
			s.do(&Plan{Epoch: 1, Ends: []End{late}})
			So(task.Phase, ShouldEqual, state.TaskAssigned)
			s.do(&Plan{Epoch: 1, Dead: []Proof{{RunID: 2, Kind: ProofUnsent}}})
			s.do(&Plan{Epoch: 1, Ends: []End{late}})
			So(task.Phase, ShouldEqual, state.TaskDue)
		})
		Convey("its failure changes nothing", func() {
			s.do(&Plan{Epoch: 1, Ends: []End{{RunID: 1, Ref: ref}}})
			So(task.Phase, ShouldEqual, state.TaskDue)
			So(task.Failures, ShouldEqual, 0)
		})
		Convey("its success after the job was cancelled changes nothing", func() {
			s.do(&Cancel{Key: "j"})
			s.do(&Plan{Epoch: 1, Ends: []End{late}})
			So(task.Phase, ShouldEqual, state.TaskSkipped)
			So(s.Jobs["j"].Phase, ShouldEqual, state.JobCancelled)
		})
	})
}
