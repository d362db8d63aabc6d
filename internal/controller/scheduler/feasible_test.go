package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

func TestCanTakeStarts(t *testing.T) {
	Convey("Given a worker that has answered its first probe", t, func() {
		c := newReadyCluster()
		w, rec := c.core.workers["w"], c.table.Workers["w"]
		So(w.canTakeStarts(c.core, c.now), ShouldBeTrue)
		for _, tt := range []struct {
			name  string
			event func()
			after time.Duration // how long until it can take starts again; 0: time alone doesn't change it
		}{
			{"it can't while it drains", func() { rec.Draining = true }, 0},
			{"it can't once it has deregistered", func() { rec.Left = true }, 0},
			{"it can't while its zone is evacuated", func() { c.table.Evacuated = map[string]bool{rec.Zone: true} }, 0},
			{"it can't before it has answered under this term", func() { w.lease.fenced = false }, 0},
			{"it can't while its clock is not known", func() { w.lease.clockKnown = false }, 0},
			{"it can't while silent", func() { w.contact.heardAt = c.now - Defaults().SilenceTimeout - 1 }, 0},
			{"it can't after a call without an answer", func() { w.contact.backOff(c.now, Defaults()) }, 0},
			{"it can't after an order without an answer", func() { w.contact.suspect = true }, 0},
			{"it can't while its zone is being verified", func() { w.contact.verifyAt = w.contact.answeredAt + 1 }, 0},
			{"it can't for fullBackoff after a refusal for lack of capacity",
				func() { w.markRefused(c.now, RefusedCapacity) }, fullBackoff},
			{"it can't for unhealthyBackoff after a refusal as unhealthy",
				func() { w.markRefused(c.now, RefusedUnhealthy) }, unhealthyBackoff},
			{"it can after a refusal for another reason", func() { w.markRefused(c.now, RefusedStale) }, 1},
		} {
			Convey(tt.name, func() {
				tt.event()
				if tt.after == 0 {
					So(w.canTakeStarts(c.core, c.now), ShouldBeFalse)
					So(w.canTakeStarts(c.core, c.now+2*time.Second), ShouldBeFalse)
					return
				}
				So(w.canTakeStarts(c.core, c.now+tt.after-1), ShouldEqual, tt.after == 1)
				So(w.canTakeStarts(c.core, c.now+tt.after), ShouldBeTrue)
			})
		}
	})
}

func TestCapacityFor(t *testing.T) {
	Convey("The number of a unit's tasks that fit on an empty node is limited by", t, func() {
		n := &node{record: &jobs.Worker{ID: "w", Capacity: jobs.Resources{MilliCPU: 8000, MemoryMB: 4000, GPUs: 2}}}
		for _, tt := range []struct {
			name string
			step jobs.Step
			want int
		}{
			{"processors", jobs.Step{Needs: jobs.Resources{MilliCPU: 3000}}, 2},
			{"memory", jobs.Step{Needs: jobs.Resources{MilliCPU: 1000, MemoryMB: 1000}}, 4},
			{"accelerators", jobs.Step{Needs: jobs.Resources{MilliCPU: 1000, GPUs: 1}}, 2},
			{"the step's MaxPerWorker", jobs.Step{Needs: jobs.Resources{MilliCPU: 1000}, MaxPerWorker: 3}, 3},
			{"a label that the node lacks", jobs.Step{Needs: jobs.Resources{MilliCPU: 1000}, Label: "fast-disk"}, 0},
			{"maxTasksPerNode if the tasks need no resources", jobs.Step{}, maxTasksPerNode},
		} {
			Convey(tt.name, func() {
				u := &unit{job: &jobs.Job{Rounds: [][][]jobs.Task{{nil}}}, step: &tt.step}
				p := &placement{assigned: map[jobs.TaskRef]map[string]int{}}
				So(p.capacityFor(u, n), ShouldEqual, tt.want)
			})
		}
	})
}
