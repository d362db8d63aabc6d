package main

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/config"
	"crosstide/internal/controller/scheduler"
	"crosstide/internal/httpapi/workerapi"
)

func TestJobsOptions(t *testing.T) {
	Convey("A control-plane node's settings are mapped to its options and to the scheduler's settings", t, func() {
		settings := config.DefaultJobsControlPlane()
		settings.Addr, settings.Control = "10.0.0.1:7100", "10.0.0.1:7200"
		settings.Grace, settings.KeepFinished = 7*time.Second, time.Hour
		settings.Scheduler = config.JobsScheduler{
			Lease: 9 * time.Second, PollWait: 2 * time.Second, Silence: 3 * time.Second,
			LapseMargin: 4 * time.Second, EarlyStart: 5 * time.Second, RemoteFactor: 2.5, ForgetAfter: 40 * time.Second,
		}
		options := jobsOptions(settings, false, log.NewNopLogger())
		So(options.Store.Addr, ShouldEqual, "10.0.0.1:7100")
		So(options.ControlAddress, ShouldEqual, "10.0.0.1:7200")
		So(options.Grace, ShouldEqual, 7*time.Second)
		So(options.JobRetention, ShouldEqual, time.Hour)
		So(options.OrdersByHeartbeat, ShouldBeFalse)
		So(options.Workers(nil, nil), ShouldHaveSameTypeAs, &workerapi.Client{})
		want := scheduler.Defaults()
		want.Lease, want.RenewalWait, want.SilenceTimeout = 9*time.Second, 2*time.Second, 3*time.Second
		want.ExpiryMargin = 4 * time.Second
		want.EarlyStart, want.RemoteDataFactor, want.ForgetAfter = 5*time.Second, 2.5, 40*time.Second
		So(options.Scheduler, ShouldResemble, want)
	})
	Convey("The default settings are mapped to the scheduler's defaults", t, func() {
		So(jobsScheduler(config.DefaultJobsControlPlane().Scheduler), ShouldResemble, scheduler.Defaults())
	})
}
