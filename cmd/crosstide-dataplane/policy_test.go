package main

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/config"
)

func TestNodeOptions(t *testing.T) {
	Convey("A data-plane node's settings are mapped to its options and to the scheduler's settings", t, func() {
		settings := config.DefaultDataPlane()
		settings.Name, settings.Addr, settings.QueueLimit = "d1", "10.0.0.1:7000", 17
		settings.CallTimeout, settings.RunLease, settings.PollWait = time.Second, 2*time.Second, 3*time.Second
		settings.StartWindow, settings.Lateness, settings.LeaseMargin = 4*time.Second, 5*time.Second, 6*time.Second
		settings.MaxUnhealthyShare = 25
		options := nodeOptions(settings, log.NewNopLogger())
		So([]any{options.Name, options.Addr, options.QueueLimit, options.CallTimeout}, ShouldResemble,
			[]any{"d1", "10.0.0.1:7000", 17, time.Second})
		got := options.Scheduler
		So([]time.Duration{
			got.RunLease, got.PollWait, got.StartWindow, got.MaxOrderDelay, got.RoleLeaseMargin,
		}, ShouldResemble,
			[]time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second, 5 * time.Second, 6 * time.Second})
		So(got.Health.MaxEjectedShare, ShouldEqual, 0.25)
	})
	Convey("The control-plane nodes come from core in the settings, or from seeds if core is empty", t, func() {
		settings := config.DefaultDataPlane()
		settings.Seeds = []string{"10.0.1.1:7000"}
		So(nodeOptions(settings, log.NewNopLogger()).ControlPlanes, ShouldResemble, settings.Seeds)
		settings.ControlPlanes = []string{"10.0.2.1:7000"}
		So(nodeOptions(settings, log.NewNopLogger()).ControlPlanes, ShouldResemble, settings.ControlPlanes)
	})
}
