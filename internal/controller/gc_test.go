package controller

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/clock"
)

func TestExpiredJobs(t *testing.T) {
	Convey("An ended job is deleted by the first purge after its retention period, and not before", t, func() {
		store, clk := newFakeStore(), &clock.Virtual{}
		leader := newTestLeader(store, clk)
		commitConfig(store, 1)
		_, err := leader.Submit(context.Background(), submitCall("d"))
		So(err, ShouldBeNil)
		_, err = leader.Cancel(context.Background(), CancelCall{ID: "j"})
		So(err, ShouldBeNil)
		pass := func(after time.Duration) {
			clk.Advance(after)
			leader.pass()
			leader.group.Wait()
		}
		pass(DefaultJobRetention)
		So(store.state.JobTable.Jobs, ShouldContainKey, "j")
		pass(purgeInterval - 1)
		So(store.state.JobTable.Jobs, ShouldContainKey, "j")
		pass(1)
		So(store.state.JobTable.Jobs, ShouldNotContainKey, "j")
	})
}
