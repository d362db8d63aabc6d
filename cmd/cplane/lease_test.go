package main

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/platform"
)

func TestLeaseOfWorkers(t *testing.T) {
	Convey("The lease is a share of the longest one, long enough for a restart of the core, and never over the longest", t, func() {
		for longest, want := range map[time.Duration]time.Duration{
			10 * time.Second: 3500 * time.Millisecond,
			6 * time.Second:  3 * time.Second,
			2 * time.Second:  2 * time.Second,
		} {
			config := schedulerSettings(platform.SchedulerSettings{LongestLease: longest})
			So(config.Lease, ShouldEqual, want)
			So(config.HoldWait, ShouldBeLessThanOrEqualTo, config.Lease/3)
		}
	})
}
