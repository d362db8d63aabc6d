package policysim

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/state"
)

// checkPassedOverFor lets the oracle look at the oldest due task every quarter of a second, and nothing else happen.
func (o *invariantChecker) checkPassedOverFor(d time.Duration) {
	for end := o.sim.now + d; o.sim.now < end; o.sim.now += 250 * time.Millisecond {
		o.checkPassedOver()
	}
}

func TestPassedOverCountsWhileServing(t *testing.T) {
	Convey("A due task waits, and no run ID is given", t, func() {
		s := newSim(Options{Seed: 1, Faults: []string{}})
		o := s.invariantChecker
		s.now = time.Minute
		spec := state.Spec{Key: "j", Team: "t", Queue: "default", Steps: []state.StepSpec{{Name: "s", Type: "k", Tasks: 1, Cores: 1}}}
		o.reference.Jobs["j"] = &state.Job{Spec: spec, Phase: state.JobRunning, Tasks: [][]state.Task{{{Phase: state.TaskDue}}}}
		o.reference.Workers["m0"] = &state.Worker{Name: "m0", Addr: "m0", Zone: "z0", Incarnation: "b", Cores: s.workers[0].cores}
		Convey("with all up it is passed over after its time", func() {
			o.checkPassedOverFor(startTimeout)
			So(s.report.Breach, ShouldBeNil)
			o.checkPassedOverFor(time.Second)
			So(s.report.Breach, ShouldNotBeNil)
			So(s.report.Breach.Promise, ShouldEqual, "not passed over")
		})
		Convey("without a majority of the store the time does not count, from its return on it does", func() {
			for _, c := range s.controlPlanes[:3] {
				c.crash(false)
			}
			o.checkPassedOverFor(recoveryTime)
			So(s.report.Breach, ShouldBeNil)
			s.controlPlanes[0].restart()
			o.checkPassedOverFor(startTimeout)
			So(s.report.Breach, ShouldBeNil)
			o.checkPassedOverFor(time.Second)
			So(s.report.Breach, ShouldNotBeNil)
		})
		Convey("nor does it without a dplane", func() {
			for _, d := range s.dataPlanes {
				d.endIncarnation()
			}
			o.checkPassedOverFor(recoveryTime)
			So(s.report.Breach, ShouldBeNil)
		})
		Convey("two of five members gone are no reason", func() {
			for _, c := range s.controlPlanes[:2] {
				c.crash(false)
			}
			o.checkPassedOverFor(startTimeout + time.Second)
			So(s.report.Breach, ShouldNotBeNil)
		})
	})
}
