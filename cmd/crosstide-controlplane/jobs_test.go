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
	Convey("The settings of a core node make its options, and the scheduler's settings", t, func() {
		settings := config.DefaultJobsControlPlane()
		settings.Addr, settings.Control, settings.Grace, settings.KeepFinished = "10.0.0.1:7100", "10.0.0.1:7200", 7*time.Second, time.Hour
		settings.Scheduler = config.JobsScheduler{Lease: 9 * time.Second, PollWait: 2 * time.Second, Silence: 3 * time.Second,
			LapseMargin: 4 * time.Second, EarlyStart: 5 * time.Second, RemoteFactor: 2.5, ForgetAfter: 40 * time.Second}
		options := jobsOptions(settings, false, log.NewNopLogger())
		So([]any{options.Store.Addr, options.ControlAddress, options.Grace, options.JobRetention, options.OrdersByHeartbeat}, ShouldResemble,
			[]any{"10.0.0.1:7100", "10.0.0.1:7200", 7 * time.Second, time.Hour, false})
		So(options.Workers(nil, nil), ShouldHaveSameTypeAs, &workerapi.Client{})
		want := scheduler.Defaults()
		want.Lease, want.RenewalWait, want.SilenceTimeout, want.ExpiryMargin = 9*time.Second, 2*time.Second, 3*time.Second, 4*time.Second
		want.EarlyStart, want.RemoteDataFactor, want.ForgetAfter = 5*time.Second, 2.5, 40*time.Second
		So(options.Scheduler, ShouldResemble, want)
	})
	Convey("The defaults of the settings are the scheduler's", t, func() {
		So(jobsScheduler(config.DefaultJobsControlPlane().Scheduler), ShouldResemble, scheduler.Defaults())
	})
}
