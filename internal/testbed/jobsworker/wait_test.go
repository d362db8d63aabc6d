package jobsworker

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/clock"
	"crosstide/internal/testbed/testclock"
)

func TestHost_waitForChange(t *testing.T) {
	Convey("A wait for a change", t, func() {
		ctx, end := context.WithCancel(context.Background())
		defer end()
		changed := make(chan struct{})
		host := &Host{clock: &clock.Virtual{}}
		Convey("ends when something has changed", func() {
			close(changed)
			So(host.waitForChange(ctx, time.Hour, changed), ShouldBeTrue)
		})
		Convey("ends when its timeout has elapsed", func() {
			host.clock = &testclock.Elapsing{}
			So(host.waitForChange(ctx, time.Hour, changed), ShouldBeTrue)
		})
		Convey("returns false when its context ends", func() {
			end()
			So(host.waitForChange(ctx, time.Hour, changed), ShouldBeFalse)
		})
	})
}
