package soak

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/config"
)

func TestSoak(t *testing.T) {
	Convey("Once ended jobs are purged, the state does not grow daily, and ended runs leave no handle", t, func() {
		keep := config.DefaultControlPlane()
		keep.KeepTombstonesFor = 48 * time.Hour
		var days []Day
		o := Options{Days: 5, Jobs: 300, Tasks: 3, TaskDuration: 10 * time.Minute, Workers: 5, Orders: 20, Seed: 1,
			Keep: keep}
		So(Run(o, func(d Day) error { days = append(days, d); return nil }), ShouldBeNil)
		So(len(days), ShouldEqual, 5)
		So(days[3].Tombstones, ShouldBeBetweenOrEqual, 580, 610) // two days of jobs, less those of the last hour
		So(days[4].Tombstones, ShouldBeBetweenOrEqual, 580, 610)
		So(days[4].Orders, ShouldBeBetweenOrEqual, 38, 42)
		So(days[4].Bytes, ShouldBeLessThan, days[3].Bytes*11/10)
		So(days[4].Handles, ShouldBeLessThan, 50)
		So(days[4].Open, ShouldBeLessThan, 50)
	})
}
