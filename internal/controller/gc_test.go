package controller

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/clock"
)

func TestExpiredJobs(t *testing.T) {
	Convey("A job that is over is deleted when its retention ends, and not before", t, func() {
		store, clk := newFakeStore(), &clock.Virtual{}
		leader := newTestLeader(store, clk)
		configured(store, 1)
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
