package jobs

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/testbed/exhaustive"
)

func TestRegister_leavingWorker(t *testing.T) {
	Convey("Draining and Left of a worker are never reset, in whatever order its reports arrive", t, func() {
		plain, draining, left := testWorker("w1", "open"), testWorker("w1", "open"), testWorker("w1", "open")
		draining.Draining, left.Left = true, true
		reports := []Worker{plain, draining, left}
		exhaustive.Permutations(3, func(order []int) {
			table := testTable()
			for _, i := range order {
				table.Register(Register{Workers: reports[i : i+1]})
			}
			if w := table.Workers["w1"]; !w.Draining || !w.Left {
				panic(fmt.Sprint(order))
			}
		})
		table := testTable()
		plain.Zone, plain.Labels = "elsewhere", nil
		table.Register(Register{Workers: []Worker{plain}})
		So(*table.Workers["w1"], ShouldResemble, plain)
	})
}

func TestRemoveWorkers_withHandles(t *testing.T) {
	Convey("The record of a worker is deleted only if it has no handles", t, func() {
		table := testTable()
		table.mustSubmit(testJob("j", oneCore(1)))
		start := startOf(taskOf("j", 0, 0), 1, "w1")
		table.start(start)
		removeWorker := func(p Progress) {
			p.Term, p.RemoveWorkers = testTerm, []string{"w1"}
			_, err := table.Progress(testTerm, p)
			must(err)
		}
		removeWorker(Progress{})
		So(table.Workers["w1"], ShouldNotBeNil)
		removeWorker(Progress{Ends: []End{endOf(start, EndLost)}, Starts: []Start{startOf(start.Task, 2, "w1")}})
		So(table.Workers["w1"], ShouldNotBeNil)
		removeWorker(Progress{Ends: []End{endOf(startOf(start.Task, 2, "w1"), EndLost)}})
		So(table.Workers["w1"], ShouldBeNil)
	})
}
