package jobs

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
)

func TestSubmit_repeated(t *testing.T) {
	Convey("Given an accepted job", t, func() {
		table := testTable()
		job := table.mustSubmit(testJob("j", oneCore(2), oneCore(3)))
		So(job.State, ShouldEqual, Queued)
		So(job.Sequence, ShouldEqual, 1)
		So(job.AcceptedAt, ShouldEqual, noon)
		So(job.Rounds, ShouldResemble, [][][]Task{{make([]Task, 2), make([]Task, 3)}})
		So(table.QueuedCount("plain"), ShouldEqual, 1)
		before := table.bytes()
		Convey("a submission with the same ID and digest returns its state and changes nothing", func() {
			state, err := table.Submit(testJob("j"))
			So(err, ShouldBeNil)
			So(state, ShouldEqual, Queued)
			So(table.bytes(), ShouldEqual, before)
		})
		Convey("a submission with another digest is a conflict, even if the job is terminal", func() {
			other := testJob("j")
			other.Digest = "other"
			_, err := table.Submit(other)
			So(err, shouldBeKind, errs.Conflict)
			_, err = table.Cancel(Cancel{ID: "j", At: noon})
			So(err, ShouldBeNil)
			_, err = table.Submit(other)
			So(err, shouldBeKind, errs.Conflict)
			state, err := table.Submit(testJob("j", oneCore(2)))
			So(err, ShouldBeNil)
			So(state, ShouldEqual, Cancelled)
		})
		Convey("a repeated submission succeeds even if its queue was removed", func() {
			So(table.Configure(Configure{Base: 5, Version: 6, RemoveQueues: []string{"plain"}}), ShouldBeNil)
			state, err := table.Submit(testJob("j"))
			So(err, ShouldBeNil)
			So(state, ShouldEqual, Queued)
			_, err = table.Submit(testJob("k"))
			So(err, shouldBeKind, errs.Unknown)
		})
	})
}

func TestSubmit_invalid(t *testing.T) {
	Convey("A job with invalid steps or an unknown queue is refused without a change", t, func() {
		table := testTable()
		before := table.bytes()
		for _, steps := range [][]Step{
			{{Count: -1}},
			{{Count: 1, After: []int{0}}},
			{oneCore(1), {Count: 1, After: []int{-1}}},
		} {
			_, err := table.Submit(testJob("j", steps...))
			So(err, shouldBeKind, errs.Invalid)
		}
		unknown := testJob("j")
		unknown.Spec.Queue = "none"
		_, err := table.Submit(unknown)
		So(err, shouldBeKind, errs.Unknown)
		So(table.bytes(), ShouldEqual, before)
	})
}

func TestSubmit_rounds(t *testing.T) {
	Convey("A job has Spec.Rounds rounds, and a job without tasks succeeds immediately", t, func() {
		table := testTable()
		threeRounds := testJob("j", oneCore(1))
		threeRounds.Spec.Rounds = 3
		So(table.mustSubmit(threeRounds).Rounds, ShouldHaveLength, 3)
		So(table.mustSubmit(testJob("k")).State, ShouldEqual, Succeeded)
		So(table.QueuedCount("plain"), ShouldEqual, 1)
	})
}
