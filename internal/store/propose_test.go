package store

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/routine"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

func TestPropose_commitsAndServesReadsAndFollowers(t *testing.T) {
	withFleet(t, 40, func(fleet *testFleet) {
		lead := fleet.leader()
		other := fleet.follower(lead)
		So(fleet.submitJobs("a", 300), ShouldBeEmpty)
		fleet.waitLevel()
		_, _, err := other.Propose(context.Background(), job("x"))
		So(errs.KindOf(err), ShouldEqual, errs.NotLeader)
		So(errs.Of(err).Hint, ShouldEqual, lead.settings.Addr)

		// Commands and linearizable reads work at any node.
		var raw []byte
		seen := false
		fleet.call(func(ctx context.Context) {
			if raw, err = other.ProposeOrForward(ctx, job("hop")); err == nil {
				err = other.Read(ctx, func(st *state.State) { seen = st.Jobs["hop"] != nil })
			}
		})
		So(err, ShouldBeNil)
		So(string(raw), ShouldContainSubstring, `"fresh":true`)
		So(seen, ShouldBeTrue)
		fleet.call(func(ctx context.Context) { _, err = other.ProposeOrForward(ctx, &command.Cancel{Key: "nobody"}) })
		So(errs.KindOf(err), ShouldEqual, errs.Unknown)

		// A follower gets changes, or a snapshot where the log no longer has them; without changes it waits.
		at := other.Status().Applied
		follow := func(from uint64, wait time.Duration, during func(ctx context.Context)) internalapi.SourceUpdate {
			var a internalapi.FollowAnswer
			fleet.call(func(ctx context.Context) {
				waiting := routine.New(ctx)
				waiting.Go(func(ctx context.Context) {
					vector := map[string]uint64{vectorSource: from}
					a, err = other.Follow(ctx, internalapi.FollowCall{Vector: vector, Wait: wait, Max: 1 << 20})
				})
				during(ctx)
				waiting.Wait()
			})
			So(err, ShouldBeNil)
			return a.Updates[vectorSource]
		}
		idle := func(context.Context) {}
		So(len(follow(at-3, 0, idle).Changes), ShouldEqual, 3)
		So(follow(0, 0, idle).Snapshot.Number, ShouldBeGreaterThan, 1)
		So(follow(at, time.Second, idle), ShouldResemble, internalapi.SourceUpdate{})
		updates := follow(at, 20*time.Second, func(ctx context.Context) {
			_, _ = other.ProposeOrForward(ctx, job("news")) // a failure shows in the updates
		})
		So(len(updates.Changes), ShouldEqual, 1)
	})
}
