package store

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
)

// TestRemoveSilent_bounds checks that a silent voter is removed only after RemoveAfter, and only if at least three
// voters with a live majority are left. Otherwise an outage of several nodes would shrink the fleet, which would then
// tolerate fewer failures.
func TestRemoveSilent_bounds(t *testing.T) {
	withOpenFleet(t, 4, func(fleet *testFleet) {
		fleet.startAll()
		fleet.waitVoters("c1", "c2", "c3", "c4")
		stopped := fleet.follower(fleet.leader()).settings.Name
		fleet.kill(stopped)
		fleet.advance(fleet.settings.RemoveAfter - 500*time.Millisecond)
		So(memberIDs(fleet.leader()), ShouldHaveLength, 4)
		fleet.waitVoters(fleet.others()...)
		So(memberIDs(fleet.leader()), ShouldHaveLength, 3)

		// No removal leaves fewer than three voters.
		fleet.kill(fleet.follower(fleet.leader()).settings.Name)
		fleet.advance(20 * time.Second)
		So(memberIDs(fleet.leader()), ShouldHaveLength, 3)
		So(fleet.submitJobs("a", 20), ShouldBeEmpty)

		// A new node becomes the fourth voter, then the stopped one is removed.
		fleet.startFresh("c9")
		fleet.waitVoters(fleet.others()...)
		So(memberIDs(fleet.leader()), ShouldHaveLength, 3)

		// Without a majority no member is removed.
		lead := fleet.leader()
		for _, n := range fleet.others(lead.settings.Name) {
			fleet.kill(n)
		}
		fleet.advance(20 * time.Second)
		So(lead.Status().Raft.Members, ShouldHaveLength, 3)
	})
}

// TestRemoveSilent_dropsLearner checks that a learner that stays silent is removed, and that it cannot rejoin under its
// old ID.
func TestRemoveSilent_dropsLearner(t *testing.T) {
	withOpenFleet(t, 3, func(fleet *testFleet) {
		fleet.startAll()
		fleet.waitVoters("c1", "c2", "c3")
		lead := fleet.leader()
		_, err := lead.Join(context.Background(), internalapi.JoinCall{ID: "c9~x", Name: "c9", Addr: "c9"})
		So(err, ShouldBeNil)
		fleet.until("a learner", func() bool { return len(lead.Status().Raft.Members) == 4 })
		fleet.advance(silentLearnerTimeout - time.Second)
		So(lead.Status().Raft.Members, ShouldHaveLength, 4)
		since := lead.BootstrapStatus(internalapi.DiscoverCall{}).MembersAt
		fleet.waitVoters("c1", "c2", "c3")
		fleet.until("the removal is committed", func() bool {
			return lead.BootstrapStatus(internalapi.DiscoverCall{}).MembersAt > since
		})

		// It cannot rejoin under its old ID if it knows a member set from before the removal that has it.
		_, err = lead.Join(context.Background(), internalapi.JoinCall{ID: "c9~x", Name: "c9", Addr: "c9", Since: since})
		So(errs.KindOf(err), ShouldEqual, errs.Stale)
		// A node whose recorded membership was never committed is not rejected.
		_, err = lead.Join(context.Background(), internalapi.JoinCall{ID: "c9~x", Name: "c9", Addr: "c9", Since: since + 100})
		So(err, ShouldBeNil)
	})
}
