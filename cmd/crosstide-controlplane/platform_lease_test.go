package main

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/controller/scheduler"
	"crosstide/platform"
)

func TestWorkerLease(t *testing.T) {
	Convey("The lease outlasts a loss of contact, a lease renewal and a pause between calls, within its bounds", t, func() {
		cases := []struct{ contact, longest, lease time.Duration }{
			{3 * time.Second, 10 * time.Second, 4500 * time.Millisecond},
			{4 * time.Second, 6 * time.Second, 5500 * time.Millisecond},
			{5 * time.Second, 6 * time.Second, 6 * time.Second},
			{5 * time.Second, 4 * time.Second, 4 * time.Second},
			{0, 20 * time.Second, minLease},
			{time.Second, 2 * time.Second, 2 * time.Second},
		}
		for _, c := range cases {
			config := schedulerSettings(platform.SchedulerSettings{MaxLease: c.longest}, c.contact)
			So(config.Lease, ShouldEqual, c.lease)
			So(config.RenewalWait, ShouldBeLessThanOrEqualTo, config.Lease/3)
		}
	})
	Convey("Without a longest lease the scheduler's own is used", t, func() {
		So(schedulerSettings(platform.SchedulerSettings{}, time.Hour).Lease, ShouldEqual, scheduler.Defaults().Lease)
	})
}
