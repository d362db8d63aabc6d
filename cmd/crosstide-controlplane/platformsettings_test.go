package main

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/config"
	"crosstide/internal/controller/scheduler"
	"crosstide/platform"
)

func TestWorkerLease(t *testing.T) {
	Convey("The lease covers a loss of contact, a renewal and a backoff, within its bounds", t, func() {
		for _, test := range []struct{ contactTimeout, maxLease, lease time.Duration }{
			{3 * time.Second, 10 * time.Second, 4500 * time.Millisecond},
			{4 * time.Second, 6 * time.Second, 5500 * time.Millisecond},
			{5 * time.Second, 6 * time.Second, 6 * time.Second},
			{5 * time.Second, 4 * time.Second, 4 * time.Second},
			{0, 20 * time.Second, minLease},
			{time.Second, 2 * time.Second, 2 * time.Second},
		} {
			config := schedulerSettings(platform.SchedulerSettings{MaxLease: test.maxLease}, test.contactTimeout)
			So(config.Lease, ShouldEqual, test.lease)
			So(config.RenewalWait, ShouldBeLessThanOrEqualTo, config.Lease/3)
		}
	})
	Convey("Without a maximum lease the scheduler's default is used", t, func() {
		So(schedulerSettings(platform.SchedulerSettings{}, time.Hour).Lease, ShouldEqual, scheduler.Defaults().Lease)
	})
}

func TestStoreSettings(t *testing.T) {
	Convey("A control-plane node's settings are mapped to the store's, with the seeds as bootstrap members", t, func() {
		settings := storeSettings(platform.NodeSettings{
			Name: "10.1.0.10", InternalAddress: "10.1.0.10:7720", Zone: "a", Region: "r", DataFolder: "data",
			Seeds: []string{"10.1.0.10:7720", "10.2.0.10:7720"}, StopGracePeriod: 6 * time.Second,
		})
		So(settings.Members, ShouldResemble, []config.Member{
			{ID: "10.1.0.10", Addr: "10.1.0.10:7720"}, {ID: "10.2.0.10", Addr: "10.2.0.10:7720"},
		})
		So(settings.Name, ShouldEqual, "10.1.0.10")
		So(settings.Addr, ShouldEqual, "10.1.0.10:7720")
		So(settings.Zone, ShouldEqual, "a")
		So(settings.Region, ShouldEqual, "r")
		So(settings.Data, ShouldEqual, "data")
		So(settings.Grace, ShouldEqual, 5500*time.Millisecond)
		So(settings.Lease, ShouldEqual, platformLease)
		So(settings.ElectionTimeout, ShouldEqual, platformElection)
		So(settings.Heartbeat, ShouldEqual, platformHeartbeat)
		So(settings.OpenMembership, ShouldBeTrue)
		So(settings.Bootstrap, ShouldBeFalse)
		So(storeSettings(platform.NodeSettings{Bootstrap: true}).Bootstrap, ShouldBeTrue)
	})
}
