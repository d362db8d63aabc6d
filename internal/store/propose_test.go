package store

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

// TestPropose_rejectedByFollower checks that a follower rejects a proposal with the leader's address as the hint.
func TestPropose_rejectedByFollower(t *testing.T) {
	withFleet(t, 40, func(fleet *testFleet) {
		lead := fleet.leader()
		So(fleet.submitJobs("a", 300), ShouldBeEmpty)
		fleet.waitInSync()
		_, _, err := fleet.follower(lead).Propose(context.Background(), job("x"))
		So(errs.KindOf(err), ShouldEqual, errs.NotLeader)
		So(errs.Of(err).Hint, ShouldEqual, lead.settings.Addr)
	})
}

// TestProposeOrForward_atFollower checks that a follower returns the leader's answer or error, and that a linearizable
// read at the follower then sees the command although the follower may lag behind the leader.
func TestProposeOrForward_atFollower(t *testing.T) {
	withFleet(t, 40, func(fleet *testFleet) {
		other := fleet.follower(fleet.leader())
		So(fleet.submitJobs("a", 300), ShouldBeEmpty)
		fleet.waitInSync()

		// A linearizable read that follows has the command.
		var answer []byte
		var err error
		seen := false
		fleet.call(func(ctx context.Context) {
			if answer, err = other.ProposeOrForward(ctx, job("hop")); err == nil {
				err = other.Read(ctx, func(st *state.State) { seen = st.Jobs["hop"] != nil })
			}
		})
		So(err, ShouldBeNil)
		So(string(answer), ShouldContainSubstring, `"fresh":true`)
		So(seen, ShouldBeTrue)

		// The command's own error is passed on.
		fleet.call(func(ctx context.Context) {
			_, err = other.ProposeOrForward(ctx, &command.Cancel{Key: "nobody"})
		})
		So(errs.KindOf(err), ShouldEqual, errs.Unknown)
	})
}
