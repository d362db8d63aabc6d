package jobs

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/testbed/exhaustive"
)

// gangOf returns the starts of one run of a gang; member i starts on workers[i].
func gangOf(job string, number int, workers ...string) []Start {
	starts := make([]Start, len(workers))
	for i, worker := range workers {
		starts[i] = startOf(taskOf(job, 0, i), number, worker)
	}
	return starts
}

func gangStep(count int) Step {
	step := oneCore(count)
	step.Gang = true
	return step
}

func TestGangStarts(t *testing.T) {
	Convey("Given a gang of three", t, func() {
		table := testTable()
		job := table.mustSubmit(testJob("j", gangStep(3)))
		none := []bool{false, false, false}
		Convey("its members are recorded together, in any order and with other starts between them", func() {
			exhaustive.Permutations(3, func(order []int) {
				each := testTable()
				each.mustSubmit(testJob("j", gangStep(3)))
				each.mustSubmit(testJob("k", oneCore(1)))
				gang := gangOf("j", 1, "w1", "w1", "w2")
				recorded := each.start(
					gang[order[0]], startOf(taskOf("k", 0, 0), 1, "w2"), gang[order[1]], gang[order[2]])
				allRecorded := fmt.Sprint(recorded) == "[true true true true]"
				if !allRecorded || len(each.RunsOn("w1")) != 2 || len(each.RunsOn("w2")) != 2 {
					panic(fmt.Sprint(order, recorded))
				}
			})
		})
		Convey("none is recorded if one is missing, duplicated, has another number, or does not fit", func() {
			gang := gangOf("j", 1, "w1", "w1", "w2")
			So(table.start(gang[:2]...), ShouldResemble, none[:2])
			duplicate := startOf(taskOf("j", 0, 0), 1, "w2") // w2 has capacity for it
			So(table.start(gang[0], duplicate, gang[2]), ShouldResemble, none)
			So(table.start(gang[0], gang[1], gang[2], gang[2]), ShouldResemble, append(none, false))
			So(table.start(gang[0], gang[1], startOf(taskOf("j", 0, 2), 2, "w2")), ShouldResemble, none)
			So(table.start(gangOf("j", 1, "w1", "w1", "w1")...), ShouldResemble, none)
			So(table.start(gangOf("j", 1, "w1", "w2", "g1")...), ShouldResemble, none)
			So(job.State, ShouldEqual, Queued)
			So(table.Used("w1"), ShouldResemble, Resources{})
			So(table.start(append(gang, gangOf("j", 2, "w2", "w1", "w1")...)...), ShouldResemble,
				[]bool{true, true, true, false, false, false})
		})
		Convey("MaxPerWorker includes the members of the same gang", func() {
			step := gangStep(3)
			step.MaxPerWorker = 1
			table.mustSubmit(testJob("k", step))
			table.Register(Register{Workers: []Worker{testWorker("w3", "open")}})
			So(table.start(gangOf("k", 1, "w1", "w1", "w2")...), ShouldResemble, none)
			So(table.start(gangOf("k", 1, "w1", "w2", "w3")...), ShouldResemble, []bool{true, true, true})
		})
		Convey("a new run starts only when the old one has no handles, and only with a higher number", func() {
			gang := gangOf("j", 4, "w1", "w1", "w2")
			table.start(gang...)
			table.end(endOf(gang[0], EndLost), endOf(gang[2], EndLost))
			So(table.start(gangOf("j", 5, "w2", "w1", "w2")...), ShouldResemble, none)
			table.end(endOf(gang[1], EndLost))
			So(table.start(gangOf("j", 4, "w1", "w1", "w2")...), ShouldResemble, none)
			So(table.start(gangOf("j", 5, "w1", "w1", "w2")...), ShouldResemble, []bool{true, true, true})
			for _, task := range job.Rounds[0][0] {
				So(task.LastRun, ShouldEqual, 5)
			}
		})
	})
}

func TestGangEnds_done(t *testing.T) {
	Convey("When one member is done, all members are done; their handles stay until their own ends", t, func() {
		exhaustive.Permutations(3, func(order []int) {
			table := testTable()
			job := table.mustSubmit(testJob("j", gangStep(3)))
			gang := gangOf("j", 1, "w1", "w1", "w2")
			table.start(gang...)
			reasons := []EndReason{EndDone, EndFailed, EndGangBroken}
			for n, member := range order {
				table.end(endOf(gang[member], reasons[n]))
				if job.State != Succeeded || (job.Rounds == nil) != (n == 2) || job.index.handles != 2-n {
					panic(fmt.Sprint(order, n, job.State))
				}
				if n < 2 && job.Rounds[0][0][0].Failures != 0 {
					panic("a failure was counted for a gang that is done")
				}
			}
		})
	})
}

func TestGangEnds_failedAfterDone(t *testing.T) {
	Convey("A failure of a member after its gang is done is not counted", t, func() {
		table := testTable()
		job := table.mustSubmit(testJob("j", gangStep(2), oneCore(1)))
		gang := gangOf("j", 1, "w1", "w2")
		table.start(gang...)
		table.end(endOf(gang[0], EndDone), endOf(gang[1], EndFailed))
		So(job.State, ShouldEqual, Running)
		So(job.Rounds[0][0], ShouldResemble, []Task{{Done: true, LastRun: 1}, {Done: true, LastRun: 1}})
	})
}

func TestGangEnds_failureCountsOnce(t *testing.T) {
	Convey("A failed run of a gang counts as one failure of its first member, in any order of the ends", t, func() {
		exhaustive.Permutations(3, func(order []int) {
			table := testTable()
			job := table.mustSubmit(testJob("j", gangStep(3)))
			reasons := []EndReason{EndFailed, EndFailed, EndGangBroken}
			failRun := func(number int) {
				gang := gangOf("j", number, "w1", "w1", "w2")
				table.start(gang...)
				for _, member := range order {
					table.end(endOf(gang[member], reasons[member]))
				}
			}
			failRun(1)
			first, members := Task{LastRun: 1, Failures: 1, FailedRun: 1}, job.Rounds[0][0]
			if job.State != Running || fmt.Sprint(members[0]) != fmt.Sprint(first) || members[1].Failures != 0 {
				panic(fmt.Sprint(order, job.Rounds))
			}
			failRun(2)
			if job.State != Failed || job.Rounds != nil {
				panic(fmt.Sprint(order, job.State))
			}
		})
	})
}

func TestGangEnds_checkpoint(t *testing.T) {
	Convey("A checkpoint of one member is set for all members", t, func() {
		table := testTable()
		job := table.mustSubmit(testJob("j", gangStep(2), oneCore(1)))
		gang := gangOf("j", 1, "w1", "w2")
		table.start(gang...)
		end := endOf(gang[1], EndStopped)
		end.Checkpoint = "half"
		table.end(end, endOf(gang[0], EndGangBroken))
		So(job.Rounds[0][0], ShouldResemble,
			[]Task{{LastRun: 1, Checkpoint: "half"}, {LastRun: 1, Checkpoint: "half"}})
		So(job.Rounds[0][1], ShouldResemble, []Task{{}})
	})
}

func TestGangEnds_longRunning(t *testing.T) {
	Convey("A long-running gang is due again after any end", t, func() {
		table := testTable()
		step := gangStep(2)
		step.LongRunning = true
		job := table.mustSubmit(testJob("j", step))
		for number := 1; number <= 3; number++ {
			gang := gangOf("j", number, "w1", "w2")
			So(table.start(gang...), ShouldResemble, []bool{true, true})
			table.end(endOf(gang[0], EndDone), endOf(gang[1], EndFailed))
			So(job.Rounds[0][0], ShouldResemble, []Task{{LastRun: number}, {LastRun: number}})
		}
		So(job.State, ShouldEqual, Running)
	})
}
