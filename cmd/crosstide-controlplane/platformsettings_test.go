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

func TestStoreSettings(t *testing.T) {
	Convey("A core node's settings are the store's, with the seeds as bootstrap members", t, func() {
		settings := storeSettings(platform.CoreSettings{Name: "10.1.0.10", InternalAddress: "10.1.0.10:7720", Zone: "a", Region: "r",
			DataFolder: "data", Seeds: []string{"10.1.0.10:7720", "10.2.0.10:7720"}, Grace: 6 * time.Second})
		So(settings.Members, ShouldResemble, []config.Member{{ID: "10.1.0.10", Addr: "10.1.0.10:7720"}, {ID: "10.2.0.10", Addr: "10.2.0.10:7720"}})
		So([]any{settings.Name, settings.Addr, settings.Zone, settings.Region, settings.Data, settings.Grace}, ShouldResemble,
			[]any{"10.1.0.10", "10.1.0.10:7720", "a", "r", "data", 5500 * time.Millisecond})
		So([]any{settings.Lease, settings.Election, settings.Heartbeat, settings.OpenMembership, settings.Bootstrap}, ShouldResemble,
			[]any{platformLease, platformElection, platformHeartbeat, true, false})
		So(storeSettings(platform.CoreSettings{Bootstrap: true}).Bootstrap, ShouldBeTrue)
	})
}
