package jobs

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/testbed/exhaustive"
)

func TestStarts(t *testing.T) {
	Convey("A start is recorded only if all its preconditions hold", t, func() {
		table := testTable()
		labelled := oneCore(1)
		labelled.Label = "fast"
		after := Step{Count: 1, After: []int{0}}
		table.mustSubmit(testJob("j", oneCore(1), labelled, after))
		valid := startOf(taskOf("j", 0, 0), 1, "w1")
		for _, invalid := range []Start{
			startOf(taskOf("k", 0, 0), 1, "w1"), startOf(taskOf("j", 3, 0), 1, "w1"),
			startOf(taskOf("j", 0, 1), 1, "w1"),
			startOf(TaskRef{Job: "j", Round: 1}, 1, "w1"), startOf(TaskRef{Job: "j", Index: -1}, 1, "w1"),
			startOf(valid.Task, 0, "w1"), startOf(valid.Task, 1, "w9"), startOf(valid.Task, 1, "g1"),
			startOf(taskOf("j", 1, 0), 1, "w1"), startOf(taskOf("j", 2, 0), 1, "w1"),
		} {
			So(table.start(invalid), ShouldResemble, []bool{false})
		}
		for _, preventStart := range []func(*Table){
			func(x *Table) {
				draining := testWorker("w1", "open")
				draining.Draining = true
				x.Register(Register{Workers: []Worker{draining}})
			},
			func(x *Table) {
				left := testWorker("w1", "open")
				left.Left = true
				x.Register(Register{Workers: []Worker{left}})
			},
			func(x *Table) { x.Evacuate(Evacuate{Zone: "zone-1", Start: true}) },
			func(x *Table) {
				queue := testConfig().Queues[0]
				queue.Service = "guard"
				must(x.Configure(Configure{Base: 5, Version: 6, Queues: []Queue{queue}}))
			},
			func(x *Table) { _, err := x.Cancel(Cancel{ID: "j", At: noon}); must(err) },
			func(x *Table) { x.start(startOf(valid.Task, 4, "w2")) },
			func(x *Table) {
				x.start(startOf(valid.Task, 4, "w2"))
				x.end(endOf(startOf(valid.Task, 4, "w2"), EndLost))
			},
		} {
			changed := table.decodedCopy()
			preventStart(changed)
			So(changed.start(valid), ShouldResemble, []bool{false})
		}
		So(table.start(valid, valid), ShouldResemble, []bool{true, false})
		So(table.IsStepReady(table.Jobs["j"], 0, 2), ShouldBeFalse)
		table.end(endOf(valid, EndDone))
		So(table.IsStepReady(table.Jobs["j"], 0, 2), ShouldBeTrue)
		So(table.IsStepReady(table.Jobs["j"], 1, 0), ShouldBeFalse)
		So(table.IsStepReady(table.Jobs["j"], 0, 3), ShouldBeFalse)
		fast := testWorker("w2", "open")
		fast.Labels = []string{"ssd", "fast"}
		table.Register(Register{Workers: []Worker{fast}})
		So(table.start(startOf(taskOf("j", 1, 0), 1, "w2"), startOf(taskOf("j", 2, 0), 1, "w1")), ShouldResemble,
			[]bool{true, true})
	})
}

func TestStarts_races(t *testing.T) {
	Convey("A start is recorded if and only if it comes before all changes that prevent it", t, func() {
		guardedPlain := testConfig().Queues[0]
		guardedPlain.Service = "guard"
		changes := []func(*Table){
			func(x *Table) { x.start(startOf(taskOf("j", 0, 0), 1, "w1")) },
			func(x *Table) { _, err := x.Cancel(Cancel{ID: "j", At: noon}); must(err) },
			func(x *Table) { x.Evacuate(Evacuate{Zone: "zone-1", Start: true}) },
			func(x *Table) { must(x.Configure(Configure{Base: 5, Version: 6, Queues: []Queue{guardedPlain}})) },
		}
		exhaustive.Permutations(len(changes), func(order []int) {
			table := testTable()
			table.mustSubmit(testJob("j", oneCore(1)))
			for _, i := range order {
				changes[i](table)
			}
			if isRecorded := len(table.RunsOn("w1")) == 1; isRecorded != (order[0] == 0) {
				panic(fmt.Sprint(order, isRecorded))
			}
		})
	})
}

// TestStarts_removedQueue guards against a start that two releases record differently.
func TestStarts_removedQueue(t *testing.T) {
	Convey("The removal of a queue prevents the starts of its jobs only before schemas", t, func() {
		for _, table := range []*Table{testTableBeforeSchemas(), testTable()} {
			table.mustSubmit(testJob("j", oneCore(1)))
			must(table.Configure(Configure{Base: 5, Version: 6, RemoveQueues: []string{"plain"}}))
			So(table.start(startOf(taskOf("j", 0, 0), 1, "w1")), ShouldResemble, []bool{table.Schema >= SchemaLocations})
		}
	})
}

func TestStarts_rounds(t *testing.T) {
	Convey("Rounds are independent, and each round has its own tasks", t, func() {
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
}

func TestStarts_capacity(t *testing.T) {
	Convey("The table checks capacity only for services without ChecksCapacity", t, func() {
		table := testTable()
		table.mustSubmit(testJob("j", oneCore(3)))
		guarded := testJob("k", oneCore(3))
		guarded.Spec.Queue = "guarded"
		table.mustSubmit(guarded)
		startsOn := func(worker, job string) (starts []Start) {
			for index := range 3 {
				starts = append(starts, startOf(taskOf(job, 0, index), 1, worker))
			}
			return starts
		}
		So(table.start(startsOn("w1", "j")...), ShouldResemble, []bool{true, true, false})
		So(table.Used("w1"), ShouldResemble, Resources{MilliCPU: 2000})
		So(table.start(startsOn("g1", "k")...), ShouldResemble, []bool{true, true, true})
		So(table.Used("g1"), ShouldResemble, Resources{MilliCPU: 3000})
		Convey("an end frees capacity for the starts of the same change", func() {
			starts := startsOn("w1", "j")
			started, err := table.Progress(testTerm, Progress{
				Term: testTerm, Ends: []End{endOf(starts[0], EndDone)}, Starts: starts[2:],
			})
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
}

func TestStarts_maxPerWorker(t *testing.T) {
	Convey("A worker runs at most MaxPerWorker tasks of a step of one round", t, func() {
		table := testTable()
		spec := testJob("j", Step{Count: 3, MaxPerWorker: 1})
		spec.Spec.Rounds = 2
		table.mustSubmit(spec)
		other := startOf(TaskRef{Job: "j", Round: 1}, 1, "w1")
		So(table.start(
			startOf(taskOf("j", 0, 0), 1, "w1"), startOf(taskOf("j", 0, 1), 1, "w1"),
			startOf(taskOf("j", 0, 2), 1, "w2"), other,
		), ShouldResemble, []bool{true, false, true, true})
		table.end(endOf(startOf(taskOf("j", 0, 0), 1, "w1"), EndLost))
		So(table.start(startOf(taskOf("j", 0, 1), 1, "w1")), ShouldResemble, []bool{true})
	})
}
