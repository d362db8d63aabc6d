package jobs

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
)

func TestTerms(t *testing.T) {
	Convey("Progress of another term than its entry's, or of an older one, changes nothing", t, func() {
		table := testTable()
		table.mustSubmit(testJob("j", oneCore(1)))
		table.start()
		before := table.bytes()
		starts := []Start{startOf(taskOf("j", 0, 0), 1, "w1")}
		for _, terms := range [][2]uint64{{testTerm, testTerm + 1}, {testTerm + 1, testTerm}, {testTerm - 1, testTerm - 1}} {
			started, err := table.Progress(terms[0], Progress{Term: terms[1], Starts: starts, Forget: []string{"w2"}})
			So(err, shouldBeKind, errs.Stale)
			So(started.Recorded, ShouldBeEmpty)
			So(table.bytes(), ShouldEqual, before)
		}
		_, err := table.Progress(testTerm+2, Progress{Term: testTerm + 2, Starts: starts})
		So(err, ShouldBeNil)
		So(table.Term, ShouldEqual, testTerm+2)
		So(table.Jobs["j"].Rounds[0][0][0].Runs, ShouldResemble, []Run{{Number: 1, Worker: "w1", Term: testTerm + 2}})
	})
}

func TestEnds(t *testing.T) {
	Convey("Given a task that runs", t, func() {
		table := testTable()
		job := table.mustSubmit(testJob("j", oneCore(2)))
		start := startOf(taskOf("j", 0, 0), 1, "w1")
		So(table.start(start), ShouldResemble, []bool{true})
		So(job.State, ShouldEqual, Running)
		task := &job.Rounds[0][0][0]
		Convey("only an end of its own handle counts", func() {
			before := table.bytes()
			other := startOf(taskOf("j", 0, 0), 1, "w2")
			for _, s := range []Start{other, startOf(start.Task, 2, "w1"), startOf(taskOf("j", 0, 1), 1, "w1"), startOf(taskOf("k", 0, 0), 1, "w1"), startOf(taskOf("j", 7, -1), 1, "w1")} {
				table.end(endOf(s, EndDone))
				So(table.bytes(), ShouldEqual, before)
			}
		})
		Convey("done is final, and the job succeeds with its last task at the time of the change", func() {
			table.end(endOf(start, EndDone), endOf(start, EndFailed))
			So(*task, ShouldResemble, Task{Done: true, LastRun: 1})
			So(table.start(startOf(start.Task, 2, "w1")), ShouldResemble, []bool{false})
			second := startOf(taskOf("j", 0, 1), 1, "w1")
			table.start(second)
			So(job.State, ShouldEqual, Running)
			table.end(endOf(second, EndDone))
			So(job.State, ShouldEqual, Succeeded)
			So(job.EndedAt, ShouldEqual, noon.Add(time.Minute))
			So(job.Rounds, ShouldBeNil)
			So(table.RunsOn("w1"), ShouldBeEmpty)
		})
		Convey("any other end makes it due again without a failure, from its newest progress", func() {
			for number, reason := range []EndReason{EndStopped, EndLeaseExpired, EndGangBroken, EndGangTimeout, EndLost} {
				run := startOf(start.Task, number+1, "w1")
				if number > 0 {
					So(table.start(startOf(start.Task, number, "w1")), ShouldResemble, []bool{false})
					So(table.start(run), ShouldResemble, []bool{true})
				}
				end := endOf(run, reason)
				if number < 2 {
					end.Checkpoint = fmt.Sprint("at ", number)
				}
				table.end(end)
				So(*task, ShouldResemble, Task{LastRun: number + 1, Checkpoint: fmt.Sprint("at ", min(number, 1))})
			}
			So(job.State, ShouldEqual, Running)
		})
		Convey("failed ends count up to the attempts of the queue in force", func() {
			table.end(endOf(start, EndFailed))
			So(task.Failures, ShouldEqual, 1)
			again := startOf(start.Task, 2, "w2")
			other := startOf(taskOf("j", 0, 1), 1, "w1")
			table.start(again, other)
			Convey("then the job has failed; its other handles stay", func() {
				table.end(endOf(again, EndFailed))
				So(job.State, ShouldEqual, Failed)
				So(job.Rounds, ShouldNotBeNil)
				So(table.RunsOn("w1"), ShouldHaveLength, 1)
				table.end(endOf(other, EndFailed))
				So(job.State, ShouldEqual, Failed)
				So(job.Rounds, ShouldBeNil)
			})
			Convey("never if the queue is gone, and no start either, also not when it is back", func() {
				must(table.Configure(Configure{Base: 5, Version: 6, RemoveQueues: []string{"plain"}}))
				table.end(endOf(again, EndFailed))
				So(task.Failures, ShouldEqual, 2)
				So(job.State, ShouldEqual, Running)
				third := startOf(start.Task, 3, "w1")
				So(table.start(third), ShouldResemble, []bool{false})
				must(table.Configure(Configure{Base: 6, Version: 7, Queues: testConfig().Queues}))
				So(job.State, ShouldEqual, Running)
				So(table.start(third), ShouldResemble, []bool{false})
				So(job.State, ShouldEqual, Failed)
				So(task.Runs, ShouldBeEmpty)
			})
		})
	})
	Convey("A lasting task is due again however it ends", t, func() {
		table := testTable()
		step := oneCore(1)
		step.LongRunning = true
		job := table.mustSubmit(testJob("j", step))
		for number, reason := range []EndReason{EndFailed, EndFailed, EndFailed, EndDone, EndStopped} {
			start := startOf(taskOf("j", 0, 0), number+1, "w1")
			So(table.start(start), ShouldResemble, []bool{true})
			table.end(endOf(start, reason))
			So(job.Rounds[0][0][0], ShouldResemble, Task{LastRun: number + 1})
			So(job.State, ShouldEqual, Running)
		}
	})
}

func TestStarts(t *testing.T) {
	Convey("A start is recorded only while everything it needs holds", t, func() {
		table := testTable()
		labelled := oneCore(1)
		labelled.Label = "fast"
		after := Step{Count: 1, After: []int{0}}
		table.mustSubmit(testJob("j", oneCore(1), labelled, after))
		good := startOf(taskOf("j", 0, 0), 1, "w1")
		for _, bad := range []Start{
			startOf(taskOf("k", 0, 0), 1, "w1"), startOf(taskOf("j", 3, 0), 1, "w1"), startOf(taskOf("j", 0, 1), 1, "w1"),
			startOf(TaskRef{Job: "j", Round: 1}, 1, "w1"), startOf(TaskRef{Job: "j", Index: -1}, 1, "w1"),
			startOf(good.Task, 0, "w1"), startOf(good.Task, 1, "w9"), startOf(good.Task, 1, "g1"),
			startOf(taskOf("j", 1, 0), 1, "w1"), startOf(taskOf("j", 2, 0), 1, "w1"),
		} {
			So(table.start(bad), ShouldResemble, []bool{false})
		}
		bars := []func(*Table){
			func(x *Table) {
				w := testWorker("w1", "open")
				w.Draining = true
				must(x.Register(Register{Workers: []Worker{w}}))
			},
			func(x *Table) {
				w := testWorker("w1", "open")
				w.Left = true
				must(x.Register(Register{Workers: []Worker{w}}))
			},
			func(x *Table) { must(x.Evacuate(Evacuate{Zone: "zone-1", Start: true})) },
			func(x *Table) {
				queue := testConfig().Queues[0]
				queue.Service = "guard"
				must(x.Configure(Configure{Base: 5, Version: 6, Queues: []Queue{queue}}))
			},
			func(x *Table) { _, err := x.Cancel(Cancel{ID: "j", At: noon}); must(err) },
			func(x *Table) { x.start(startOf(good.Task, 4, "w2")) },
			func(x *Table) {
				x.start(startOf(good.Task, 4, "w2"))
				x.end(endOf(startOf(good.Task, 4, "w2"), EndLost))
			},
		}
		for _, bar := range bars {
			barred := table.decodedCopy()
			bar(barred)
			So(barred.start(good), ShouldResemble, []bool{false})
		}
		So(table.start(good, good), ShouldResemble, []bool{true, false})
		So(table.IsStepReady(table.Jobs["j"], 0, 2), ShouldBeFalse)
		table.end(endOf(good, EndDone))
		So(table.IsStepReady(table.Jobs["j"], 0, 2), ShouldBeTrue)
		So(table.IsStepReady(table.Jobs["j"], 1, 0), ShouldBeFalse)
		So(table.IsStepReady(table.Jobs["j"], 0, 3), ShouldBeFalse)
		fast := testWorker("w2", "open")
		fast.Labels = []string{"ssd", "fast"}
		must(table.Register(Register{Workers: []Worker{fast}}))
		So(table.start(startOf(taskOf("j", 1, 0), 1, "w2"), startOf(taskOf("j", 2, 0), 1, "w1")), ShouldResemble, []bool{true, true})
	})
	Convey("A start and what forbids it: it is recorded exactly if it comes before", t, func() {
		changes := []func(*Table){
			func(x *Table) { x.start(startOf(taskOf("j", 0, 0), 1, "w1")) },
			func(x *Table) { _, err := x.Cancel(Cancel{ID: "j", At: noon}); must(err) },
			func(x *Table) { must(x.Evacuate(Evacuate{Zone: "zone-1", Start: true})) },
			func(x *Table) { must(x.Configure(Configure{Base: 5, Version: 6, RemoveQueues: []string{"plain"}})) },
		}
		permutations(len(changes), func(order []int) {
			table := testTable()
			table.mustSubmit(testJob("j", oneCore(1)))
			for _, i := range order {
				changes[i](table)
			}
			if got := len(table.RunsOn("w1")) == 1; got != (order[0] == 0) {
				panic(fmt.Sprint(order, got))
			}
		})
	})
	Convey("Rounds do not wait for one another, and each has its own steps", t, func() {
		table := testTable()
		spec := testJob("j", oneCore(1), Step{Count: 1, After: []int{0}})
		spec.Spec.Rounds = 2
		job := table.mustSubmit(spec)
		later := startOf(TaskRef{Job: "j", Round: 1}, 1, "w1")
		So(table.start(later), ShouldResemble, []bool{true})
		table.end(endOf(later, EndDone))
		So(table.IsStepReady(job, 0, 1), ShouldBeFalse)
		So(table.IsStepReady(job, 1, 1), ShouldBeTrue)
	})
	Convey("Room is counted for a service that does not guard it, and left to one that does", t, func() {
		table := testTable()
		table.mustSubmit(testJob("j", oneCore(3)))
		guarded := testJob("k", oneCore(3))
		guarded.Spec.Queue = "guarded"
		table.mustSubmit(guarded)
		all := func(job, worker string) []Start {
			return []Start{startOf(taskOf(job, 0, 0), 1, worker), startOf(taskOf(job, 0, 1), 1, worker), startOf(taskOf(job, 0, 2), 1, worker)}
		}
		So(table.start(all("j", "w1")...), ShouldResemble, []bool{true, true, false})
		So(table.Used("w1"), ShouldResemble, Resources{MilliCPU: 2000})
		So(table.start(all("k", "g1")...), ShouldResemble, []bool{true, true, true})
		So(table.Used("g1"), ShouldResemble, Resources{MilliCPU: 3000})
		Convey("an end in the same change makes room first", func() {
			started, err := table.Progress(testTerm, Progress{Term: testTerm, Ends: []End{endOf(all("j", "w1")[0], EndDone)}, Starts: all("j", "w1")[2:]})
			So(err, ShouldBeNil)
			So(started.Recorded, ShouldResemble, []bool{true})
			So(table.RunsOn("w1"), ShouldResemble, []RunKey{{taskOf("j", 0, 1), 1}, {taskOf("j", 0, 2), 1}})
		})
		for _, needs := range []Resources{{MemoryMB: 1001}, {GPUs: 2}, {MilliCPU: 2001}} {
			id := fmt.Sprint(needs)
			table.mustSubmit(testJob(id, Step{Count: 1, Needs: needs}))
			So(table.start(startOf(taskOf(id, 0, 0), 1, "w2")), ShouldResemble, []bool{false})
		}
	})
	Convey("A worker holds no more tasks of a step of one round than the step allows", t, func() {
		table := testTable()
		spec := testJob("j", Step{Count: 3, MaxPerWorker: 1})
		spec.Spec.Rounds = 2
		table.mustSubmit(spec)
		other := startOf(TaskRef{Job: "j", Round: 1}, 1, "w1")
		So(table.start(startOf(taskOf("j", 0, 0), 1, "w1"), startOf(taskOf("j", 0, 1), 1, "w1"), startOf(taskOf("j", 0, 2), 1, "w2"), other),
			ShouldResemble, []bool{true, false, true, true})
		table.end(endOf(startOf(taskOf("j", 0, 0), 1, "w1"), EndLost))
		So(table.start(startOf(taskOf("j", 0, 1), 1, "w1")), ShouldResemble, []bool{true})
	})
}
