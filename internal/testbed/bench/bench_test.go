package bench

import (
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/testbed/load"
)

func TestNewRow(t *testing.T) {
	Convey("A row holds the increase of the leaders' counters between two samples, per second", t, func() {
		before := sample{syncs: 100, runIDs: 10, leaderCPU: 1, schedulerCPU: 2}
		after := sample{syncs: 200, runIDs: 510, leaderCPU: 2, schedulerCPU: 2.5}
		So(newRow(50, load.Report{Accepted: 7}, before, after, 10), ShouldResemble, Row{Rate: 50,
			Load: load.Report{Accepted: 7}, SyncsPerSecond: 10, RunIDsPerSync: 5, LeaderCPU: 10, SchedulerCPU: 5})
	})
}

func TestDisk(t *testing.T) {
	Convey("A measurement of zero duration makes no syncs", t, func() {
		rate, err := Disk(filepath.Join(t.TempDir(), "d"), 8, 0)
		So(err, ShouldBeNil)
		So(rate, ShouldEqual, 0)
	})
}
