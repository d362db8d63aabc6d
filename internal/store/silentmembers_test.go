package store

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
)

func TestRemoveSilent_bounds(t *testing.T) {
	withOpenFleet(t, 4, func(r *testStores) {
		r.startAll()
		r.waitVoters("c1", "c2", "c3", "c4")
		gone := r.follower(r.leader()).settings.Name
		r.kill(gone)
		r.advance(r.settings.RemoveAfter - 500*time.Millisecond)
		So(memberIDs(r.leader()), ShouldHaveLength, 4)
		r.waitVoters(r.others()...)
		So(memberIDs(r.leader()), ShouldHaveLength, 3)

		// Never below three.
		r.kill(r.follower(r.leader()).settings.Name)
		r.advance(20 * time.Second)
		So(memberIDs(r.leader()), ShouldHaveLength, 3)
		So(r.submitJobs("a", 20), ShouldBeEmpty)

		// A newcomer is the fourth, and the dead one goes after that.
		r.startFresh("c9")
		r.waitVoters(r.others()...)
		So(memberIDs(r.leader()), ShouldHaveLength, 3)

		// Without a majority nobody is removed.
		lead := r.leader()
		for _, n := range r.others(lead.settings.Name) {
			r.kill(n)
		}
		r.advance(20 * time.Second)
		So(lead.Status().Raft.Members, ShouldHaveLength, 3)
	})
}

func TestRemoveSilent_dropsLearner(t *testing.T) {
	withOpenFleet(t, 3, func(r *testStores) {
		r.startAll()
		r.waitVoters("c1", "c2", "c3")
		lead := r.leader()
		_, err := lead.Join(context.Background(), internalapi.JoinCall{ID: "c9~x", Name: "c9", Addr: "c9"})
		So(err, ShouldBeNil)
		r.until("a learner", func() bool { return len(lead.Status().Raft.Members) == 4 })
		r.advance(silentLearnerTimeout - time.Second)
		So(lead.Status().Raft.Members, ShouldHaveLength, 4)
		since := lead.BootstrapStatus(internalapi.DiscoverCall{}).MembersAt
		r.waitVoters("c1", "c2", "c3")
		r.until("the removal is committed", func() bool { return lead.BootstrapStatus(internalapi.DiscoverCall{}).MembersAt > since })

		// It does not come back under its ID, as its folder says that it was a member.
		_, err = lead.Join(context.Background(), internalapi.JoinCall{ID: "c9~x", Name: "c9", Addr: "c9", Since: since})
		So(errs.KindOf(err), ShouldEqual, errs.Stale)
		// A folder whose membership was never committed is no such one.
		_, err = lead.Join(context.Background(), internalapi.JoinCall{ID: "c9~x", Name: "c9", Addr: "c9", Since: since + 100})
		So(err, ShouldBeNil)
	})
}
