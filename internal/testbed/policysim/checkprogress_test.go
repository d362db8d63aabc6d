package policysim

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/state"
)

// checkPassedOverFor advances the virtual time by d and runs only checkPassedOver, every 250 ms.
func (ic *invariantChecker) checkPassedOverFor(d time.Duration) {
	for end := ic.sim.now + d; ic.sim.now < end; ic.sim.now += 250 * time.Millisecond {
		ic.checkPassedOver()
	}
}

func TestPassedOverCountsWhileServing(t *testing.T) {
	Convey("A due task waits and gets no run ID", t, func() {
		s := newSim(Options{Seed: 1, Faults: []string{}})
		ic := s.checker
		s.now = time.Minute
		spec := state.Spec{Key: "j", Team: "t", Queue: "default",
			Steps: []state.StepSpec{{Name: "s", Type: "k", Tasks: 1, Cores: 1}}}
		ic.reference.Jobs["j"] = &state.Job{Spec: spec, Phase: state.JobRunning,
			Tasks: [][]state.Task{{{Phase: state.TaskDue}}}}
		ic.reference.Workers["m0"] = &state.Worker{Name: "m0", Addr: "m0", Zone: "z0", Incarnation: "b",
			Cores: s.workers[0].cores}
		Convey("while all nodes run, the invariant is violated after startTimeout", func() {
			ic.checkPassedOverFor(startTimeout)
			So(s.report.Violation, ShouldBeNil)
			ic.checkPassedOverFor(time.Second)
			So(s.report.Violation, ShouldNotBeNil)
			So(s.report.Violation.Invariant, ShouldEqual, "not passed over")
		})
		Convey("without a majority of the store the time does not count; once the majority is back, it does", func() {
			for _, c := range s.controlPlanes[:3] {
				c.crash(false)
			}
			ic.checkPassedOverFor(recoveryTime)
			So(s.report.Violation, ShouldBeNil)
			s.controlPlanes[0].restart()
			ic.checkPassedOverFor(startTimeout)
			So(s.report.Violation, ShouldBeNil)
			ic.checkPassedOverFor(time.Second)
			So(s.report.Violation, ShouldNotBeNil)
		})
		Convey("without a data-plane node the time does not count", func() {
			for _, d := range s.dataPlanes {
				d.endIncarnation()
			}
			ic.checkPassedOverFor(recoveryTime)
			So(s.report.Violation, ShouldBeNil)
		})
		Convey("with two of five members down the time counts", func() {
			for _, c := range s.controlPlanes[:2] {
				c.crash(false)
			}
			ic.checkPassedOverFor(startTimeout + time.Second)
			So(s.report.Violation, ShouldNotBeNil)
		})
	})
}
