package store

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
)

// TestDiskWriter_groupsCommits checks that writes that are queued during a sync share the next one. With a sync for
// each proposal, the disk would bound the number of proposals per second.
func TestDiskWriter_groupsCommits(t *testing.T) {
	withFleet(t, 1<<20, func(fleet *testFleet) { // no snapshots, which would add syncs
		lead := fleet.leader()
		fleet.syncDelay.Store(int64(5 * time.Millisecond)) // else the goroutine scheduler decides on the groups
		before := lead.storage.Stats().Syncs
		So(fleet.submitJobs("a", 300), ShouldBeEmpty)
		So(300/(lead.storage.Stats().Syncs-before), ShouldBeGreaterThan, 10)
		fleet.syncDelay.Store(0)
		fleet.clock.Advance(time.Second) // for the syncs that are under way
	})
}

// TestFailedSync_isFatal checks that a node halts after a failed sync, as the content of its disk is then unknown, and
// that the fleet loses no acknowledged job.
func TestFailedSync_isFatal(t *testing.T) {
	withFleet(t, 40, func(fleet *testFleet) {
		lead := fleet.leader()
		fleet.disks[lead.settings.Name].FailSync(1)
		var err error
		fleet.call(func(ctx context.Context) { _, _, err = lead.Propose(ctx, job("a")) })
		if err == nil { // the two other nodes committed it before the failure showed: it must not be lost
			fleet.acked["a"] = 1
		} else {
			So(errs.KindOf(err), ShouldEqual, errs.Timeout)
		}
		So(fleet.fatalErrors[lead.settings.Name], ShouldNotBeNil)
		So(fleet.fatalErrors, ShouldHaveLength, 1)
		fleet.kill(lead.settings.Name)
		So(fleet.submitJobs("b", 20), ShouldBeEmpty)
		fleet.start(lead.settings.Name)
		fleet.waitInSync()
	})
}
