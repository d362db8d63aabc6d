package jobs

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
)

func TestSubmit(t *testing.T) {
	Convey("A job is accepted once and found again", t, func() {
		table := testTable()
		job := table.mustSubmit(testJob("j", oneCore(2), oneCore(3)))
		So(job.State, ShouldEqual, Queued)
		So(job.Sequence, ShouldEqual, 1)
		So(job.AcceptedAt, ShouldEqual, noon)
		So(job.Rounds, ShouldResemble, [][][]Task{{make([]Task, 2), make([]Task, 3)}})
		So(table.QueuedCount("plain"), ShouldEqual, 1)
		before := table.bytes()
		Convey("the same bytes are the same job", func() {
			state, err := table.Submit(testJob("j"))
			So(err, ShouldBeNil)
			So(state, ShouldEqual, Queued)
			So(table.bytes(), ShouldEqual, before)
		})
		Convey("other bytes are a conflict, also once it is over", func() {
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
		Convey("it is found again when its queue is gone", func() {
			So(table.Configure(Configure{Base: 5, Version: 6, RemoveQueues: []string{"plain"}}), ShouldBeNil)
			state, err := table.Submit(testJob("j"))
			So(err, ShouldBeNil)
			So(state, ShouldEqual, Queued)
			_, err = table.Submit(testJob("k"))
			So(err, shouldBeKind, errs.Unknown)
		})
	})
	Convey("What cannot be built is refused and takes no number", t, func() {
		table := testTable()
		before := table.bytes()
		for _, steps := range [][]Step{{{Count: -1}}, {{Count: 1, After: []int{0}}}, {oneCore(1), {Count: 1, After: []int{-1}}}} {
			_, err := table.Submit(testJob("j", steps...))
			So(err, shouldBeKind, errs.Invalid)
		}
		unknown := testJob("j")
		unknown.Spec.Queue = "none"
		_, err := table.Submit(unknown)
		So(err, shouldBeKind, errs.Unknown)
		So(table.bytes(), ShouldEqual, before)
	})
	Convey("Rounds are built as often as asked, and a job without tasks has succeeded", t, func() {
		table := testTable()
		many := testJob("j", oneCore(1))
		many.Spec.Rounds = 3
		So(table.mustSubmit(many).Rounds, ShouldHaveLength, 3)
		So(table.mustSubmit(testJob("k")).State, ShouldEqual, Succeeded)
		So(table.QueuedCount("plain"), ShouldEqual, 1)
	})
}

func TestCancel(t *testing.T) {
	Convey("A cancelled job starts nothing and keeps its handles until their ends", t, func() {
		table := testTable()
		job := table.mustSubmit(testJob("j", oneCore(2)))
		first := startOf(taskOf("j", 0, 0), 1, "w1")
		So(table.start(first), ShouldResemble, []bool{true})
		state, err := table.Cancel(Cancel{ID: "j", At: noon.Add(time.Second)})
		So(err, ShouldBeNil)
		So(state, ShouldEqual, Cancelled)
		So(job.EndedAt, ShouldEqual, noon.Add(time.Second))
		So(job.Rounds, ShouldNotBeNil)
		So(table.start(startOf(taskOf("j", 0, 1), 1, "w1")), ShouldResemble, []bool{false})
		table.Purge(noon.Add(time.Hour))
		So(table.Jobs["j"], ShouldNotBeNil)
		table.end(endOf(first, EndFailed))
		So(job.State, ShouldEqual, Cancelled)
		So(job.Rounds, ShouldBeNil)
		So(job.Spec.Steps, ShouldBeNil)
		So(job.Spec.Payload, ShouldBeEmpty)
		So(job.Digest, ShouldEqual, "digest of j")
		state, err = table.Cancel(Cancel{ID: "j", At: noon.Add(time.Hour)})
		So(err, ShouldBeNil)
		So(state, ShouldEqual, Cancelled)
		So(job.EndedAt, ShouldEqual, noon.Add(time.Second))
		table.Purge(noon.Add(time.Second))
		So(table.Jobs["j"], ShouldNotBeNil)
		table.Purge(noon.Add(time.Second + 1))
		So(table.Jobs["j"], ShouldBeNil)
		_, err = table.Cancel(Cancel{ID: "j", At: noon})
		So(err, shouldBeKind, errs.Unknown)
	})
	Convey("A cancelled job does not become failed at the last attempt of a task that still ran", t, func() {
		table := testTable()
		job := table.mustSubmit(testJob("j", oneCore(1)))
		first, second := startOf(taskOf("j", 0, 0), 1, "w1"), startOf(taskOf("j", 0, 0), 2, "w1")
		table.start(first)
		table.end(endOf(first, EndFailed))
		So(table.start(second), ShouldResemble, []bool{true})
		_, err := table.Cancel(Cancel{ID: "j", At: noon})
		So(err, ShouldBeNil)
		table.end(endOf(second, EndFailed))
		So(job.State, ShouldEqual, Cancelled)
		So(job.EndedAt, ShouldEqual, noon)
	})
	Convey("A job that succeeded stays so, and a waiting one is counted no more", t, func() {
		table := testTable()
		table.mustSubmit(testJob("j", oneCore(1)))
		table.mustSubmit(testJob("k", oneCore(1)))
		start := startOf(taskOf("j", 0, 0), 1, "w1")
		table.start(start)
		So(table.QueuedCount("plain"), ShouldEqual, 1)
		table.end(endOf(start, EndDone))
		state, err := table.Cancel(Cancel{ID: "j", At: noon})
		So(err, ShouldBeNil)
		So(state, ShouldEqual, Succeeded)
		_, err = table.Cancel(Cancel{ID: "k", At: noon})
		So(err, ShouldBeNil)
		So(table.QueuedCount("plain"), ShouldEqual, 0)
	})
}

func TestPurge(t *testing.T) {
	Convey("Jobs that ended before a time are dropped, the oldest end first, in whatever order they ended", t, func() {
		permutations(4, func(order []int) {
			table := testTable()
			for i := range 4 {
				table.mustSubmit(testJob(fmt.Sprint(i), oneCore(1)))
			}
			for _, i := range order {
				_, err := table.Cancel(Cancel{ID: fmt.Sprint(i), At: noon.Add(time.Duration(i) * time.Second)})
				must(err)
			}
			for _, each := range []*Table{table.decodedCopy(), table} {
				var dropped string
				each.OnEvent = func(n Event) { dropped += n.Name }
				each.Purge(noon.Add(3 * time.Second))
				if dropped != "012" || len(each.Jobs) != 1 {
					panic(fmt.Sprint(order, dropped))
				}
			}
		})
	})
	Convey("A job that ended with its last handle is dropped once", t, func() {
		table := testTable()
		table.mustSubmit(testJob("j", oneCore(1)))
		start := startOf(taskOf("j", 0, 0), 1, "w1")
		table.start(start)
		table.end(endOf(start, EndDone))
		var notes []Event
		table.OnEvent = func(n Event) { notes = append(notes, n) }
		table.Purge(noon.Add(time.Hour))
		So(notes, ShouldResemble, []Event{{JobChanged, "j"}})
		Convey("and its ID may be used again", func() {
			So(table.mustSubmit(testJob("j", oneCore(1))).Sequence, ShouldEqual, 2)
			table.Purge(noon.Add(time.Hour))
			So(table.Jobs["j"], ShouldNotBeNil)
		})
	})
}

func TestEvents(t *testing.T) {
	Convey("Changes are told once each after they were made, and nothing else is", t, func() {
		table := testTable()
		var notes []Event
		table.OnEvent = func(n Event) { notes = append(notes, n) }
		notified := func() []Event {
			out := notes
			notes = nil
			return out
		}
		table.mustSubmit(testJob("j", oneCore(2)))
		So(notified(), ShouldResemble, []Event{{JobChanged, "j"}})
		table.mustSubmit(testJob("j", oneCore(2)))
		So(notified(), ShouldBeEmpty)
		a, b := startOf(taskOf("j", 0, 0), 1, "w1"), startOf(taskOf("j", 0, 1), 1, "w1")
		table.start(a, b)
		So(notified(), ShouldResemble, []Event{{JobChanged, "j"}})
		table.start(a)
		table.end(endOf(startOf(taskOf("j", 0, 0), 9, "w1"), EndDone))
		So(notified(), ShouldBeEmpty)
		must(table.Register(Register{Workers: []Worker{testWorker("w1", "open"), testWorker("w3", "open")}}))
		So(notified(), ShouldResemble, []Event{{WorkerChanged, "w3"}})
		_, err := table.Progress(testTerm, Progress{Term: testTerm, Forget: []string{"w1", "w3", "w9"}})
		So(err, ShouldBeNil)
		So(notified(), ShouldResemble, []Event{{WorkerGone, "w3"}})
		must(table.Evacuate(Evacuate{Zone: "zone-1", Start: true}))
		must(table.Evacuate(Evacuate{Zone: "zone-1", Start: true}))
		So(notified(), ShouldResemble, []Event{{ZonesChanged, "zone-1"}})
		must(table.Configure(testConfig()))
		So(notified(), ShouldBeEmpty)
		must(table.Configure(Configure{Base: 5, Version: 6}))
		So(notified(), ShouldResemble, []Event{{ConfigChanged, ""}})
		_, err = table.Cancel(Cancel{ID: "j", At: noon})
		So(err, ShouldBeNil)
		table.end(endOf(a, EndStopped), endOf(b, EndStopped))
		table.Purge(noon.Add(time.Hour))
		So(notified(), ShouldResemble, []Event{{JobChanged, "j"}, {JobChanged, "j"}, {JobChanged, "j"}})
	})
}
