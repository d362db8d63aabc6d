package store

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/internalapi"
	"crosstide/internal/routine"
)

// follow calls Follow at s and during concurrently, and returns the update.
func (fleet *testFleet) follow(s *Store, from uint64, wait time.Duration, during func(context.Context)) (
	update internalapi.SourceUpdate,
) {
	call := internalapi.FollowCall{Vector: map[string]uint64{vectorSource: from}, Wait: wait, Max: 1 << 20}
	var answer internalapi.FollowAnswer
	var err error
	fleet.call(func(ctx context.Context) {
		waiting := routine.New(ctx)
		waiting.Go(func(ctx context.Context) { answer, err = s.Follow(ctx, call) })
		during(ctx)
		waiting.Wait()
	})
	So(err, ShouldBeNil)
	return answer.Updates[vectorSource]
}

// TestFollow_returnsChangesOrSnapshot checks that a caller of Follow misses no change: it gets the entries after its
// version, a snapshot if the log was compacted past that version, and otherwise waits for the next change.
func TestFollow_returnsChangesOrSnapshot(t *testing.T) {
	withFleet(t, 40, func(fleet *testFleet) {
		follower := fleet.follower(fleet.leader())
		So(fleet.submitJobs("a", 300), ShouldBeEmpty)
		fleet.waitInSync()
		at := follower.Status().Applied
		idle := func(context.Context) {}
		So(len(fleet.follow(follower, at-3, 0, idle).Changes), ShouldEqual, 3)
		So(fleet.follow(follower, 0, 0, idle).Snapshot.Number, ShouldBeGreaterThan, 1) // the log was compacted
		So(fleet.follow(follower, at, time.Second, idle), ShouldResemble, internalapi.SourceUpdate{})
		update := fleet.follow(follower, at, 20*time.Second, func(ctx context.Context) {
			_, _ = follower.ProposeOrForward(ctx, job("news")) // if it fails, the update has no change
		})
		So(len(update.Changes), ShouldEqual, 1)
	})
}
