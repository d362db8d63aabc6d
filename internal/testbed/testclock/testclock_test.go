package testclock

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/clock"
)

func TestElapsing(t *testing.T) {
	Convey("A timer fires when it is set, and the clock advances by its duration", t, func() {
		c, calls := &Elapsing{}, 0
		So(c.Set(time.Second, func() { calls++ }).Stop(), ShouldBeFalse)
		c.Set(-time.Second, func() { calls++ })
		So([]any{calls, c.Now(), c.Wall()}, ShouldResemble, []any{2, time.Second, time.Unix(1, 0)})
	})
	Convey("A sleep returns immediately", t, func() {
		So(clock.Sleep(nil, &Elapsing{}, time.Hour), ShouldBeTrue)
	})
}
