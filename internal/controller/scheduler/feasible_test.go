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
			after time.Duration // when it takes starts again; 0: not by time
		}{
			{"it takes none while it drains", func() { rec.Draining = true }, 0},
			{"it takes none once it has deregistered", func() { rec.Left = true }, 0},
			{"it takes none while its zone is evacuated", func() { c.table.Evacuated = map[string]bool{rec.Zone: true} }, 0},
			{"it takes none before it has answered under this term", func() { w.lease.fenced = false }, 0},
			{"it takes none while its clock is not known", func() { w.lease.clockKnown = false }, 0},
			{"it takes none after silence", func() { w.contact.heardAt = c.now - Defaults().SilenceTimeout - 1 }, 0},
			{"it takes none after a call without an answer", func() { w.contact.backOff(c.now, Defaults()) }, 0},
			{"it takes none after an order without an answer", func() { w.contact.suspect = true }, 0},
			{"it takes none while its zone is being verified", func() { w.contact.verifyAt = w.contact.answeredAt + 1 }, 0},
			{"it takes none for a moment after a refusal for lack of capacity",
				func() { w.markRefused(c.now, RefusedCapacity) }, fullBackoff},
			{"it takes none for longer after a refusal as unhealthy",
				func() { w.markRefused(c.now, RefusedUnhealthy) }, unhealthyBackoff},
			{"it takes some after a refusal that does not count against it", func() { w.markRefused(c.now, RefusedStale) }, 1},
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
	Convey("The capacity of an empty node for a unit is bounded by its scarcest resource", t, func() {
		n := &node{record: &jobs.Worker{ID: "w", Capacity: jobs.Resources{MilliCPU: 8000, MemoryMB: 4000, GPUs: 2}}}
		for _, c := range []struct {
			name string
			step jobs.Step
			want int
		}{
			{"processors", jobs.Step{Needs: jobs.Resources{MilliCPU: 3000}}, 2},
			{"memory", jobs.Step{Needs: jobs.Resources{MilliCPU: 1000, MemoryMB: 1000}}, 4},
			{"accelerators", jobs.Step{Needs: jobs.Resources{MilliCPU: 1000, GPUs: 1}}, 2},
			{"the step's own limit", jobs.Step{Needs: jobs.Resources{MilliCPU: 1000}, MaxPerWorker: 3}, 3},
			{"a label that it lacks", jobs.Step{Needs: jobs.Resources{MilliCPU: 1000}, Label: "fast-disk"}, 0},
			{"nothing but a constant, if the unit needs nothing", jobs.Step{}, maxTasksPerNode},
		} {
			Convey(c.name, func() {
				u := &unit{job: &jobs.Job{Rounds: [][][]jobs.Task{{nil}}}, step: &c.step}
				p := &placement{assigned: map[jobs.TaskRef]map[string]int{}}
				So(p.capacityFor(u, n), ShouldEqual, c.want)
			})
		}
	})
}
