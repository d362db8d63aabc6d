package scale

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/testbed/fleet"
)

func TestAddMetrics(t *testing.T) {
	read := func(count float64, metrics fleet.Metrics) Reading {
		r := Reading{Count: count}
		r.addMetrics(metrics, 7)
		return r
	}
	Convey("The role of a process is derived from its metrics", t, func() {
		storeRole := func(value float64) fleet.Metrics {
			return fleet.Metrics{`crosstide_store_role{role="leader"}`: value,
				`crosstide_store_role{role="follower"}`: 1 - value}
		}
		So(read(1, storeRole(1)).Role, ShouldEqual, Leader)
		So(read(1, storeRole(0)).Role, ShouldEqual, Follower)
		So(read(1, fleet.Metrics{"crosstide_sched_holder": 1}).Role, ShouldEqual, SchedulerLeader)
		So(read(1, fleet.Metrics{"crosstide_sched_holder": 0}).Role, ShouldEqual, DataPlane)
		So(read(1, fleet.Metrics{}).Role, ShouldEqual, DedicatedWorker)
		So(read(5, fleet.Metrics{}).Role, ShouldEqual, SharedWorker)
	})
	Convey("The probe's own calls for metrics are not counted", t, func() {
		r := read(1, fleet.Metrics{
			`crosstide_rpc_calls_total{path="GET /metrics"}`: 100, `crosstide_rpc_calls_total{path="POST /a"}`: 3,
			"crosstide_store_sync_seconds_count": 4, "crosstide_store_sync_seconds_sum": 0.5})
		So([]float64{r.Msgs, r.Syncs, r.AnswerBytes}, ShouldResemble, []float64{3, 4, 7})
	})
}

func TestIdleSlopes(t *testing.T) {
	Convey("Idle costs are fitted over the fleet sizes, and the cost of the loopback only once", t, func() {
		var rows []Row
		for _, workers := range []int{10, 20, 30} {
			step := Step{Workers: workers, LoopKB: float64(workers)}
			rows = append(rows, Row{Step: step, Role: Leader, CPU: 1 + 0.5*float64(workers)},
				Row{Step: step, Role: SchedulerLeader},
				Row{Step: Step{Workers: workers, Offered: 9}, Role: Leader, CPU: 1000})
		}
		slopes := map[string]Slope{}
		for _, s := range IdleSlopes(rows) {
			slopes[s.Role+" "+s.Cost] = s
		}
		So(slopes, ShouldHaveLength, 9)
		So(slopes[Leader+" cpu %"].PerWorker, ShouldAlmostEqual, 0.5)
		So(slopes[Leader+" cpu %"].Base, ShouldAlmostEqual, 1)
		So(slopes[SchedulerLeader+" loopback KB/s"].PerWorker, ShouldAlmostEqual, 1)
	})
}
