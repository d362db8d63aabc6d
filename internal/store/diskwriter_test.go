package store

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
)

func TestDiskWriter_groupsCommits(t *testing.T) {
	withFleet(t, 1<<20, func(r *testStores) { // no slots: they sync too
		lead := r.leader()
		r.slow.Store(int64(5 * time.Millisecond)) // a disk without a delay would leave the grouping to the scheduler
		before := lead.storage.Stats().Syncs
		So(r.submitJobs("a", 300), ShouldBeEmpty)
		So(300/(lead.storage.Stats().Syncs-before), ShouldBeGreaterThan, 10)
		r.slow.Store(0)
		r.clock.Advance(time.Second) // lets the syncs under way end
	})
}

func TestFailedSync_isFatal(t *testing.T) {
	withFleet(t, 40, func(r *testStores) {
		lead := r.leader()
		r.disks[lead.settings.Name].FailSync(1)
		var err error
		r.call(func(ctx context.Context) { _, _, err = lead.Propose(ctx, job("a")) })
		if err == nil { // the two others had it synced before the failure showed: it must stay
			r.acked["a"] = 1
		} else {
			So(errs.KindOf(err), ShouldEqual, errs.Timeout)
		}
		So(r.died[lead.settings.Name], ShouldNotBeNil)
		So(r.died, ShouldHaveLength, 1)
		r.kill(lead.settings.Name)
		So(r.submitJobs("b", 20), ShouldBeEmpty)
		r.start(lead.settings.Name)
		r.waitLevel()
	})
}
