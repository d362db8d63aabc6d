package clock

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/routine"
)

// notifyingClock reports each timer that is set, so that a test advances the clock only once a goroutine waits for it.
type notifyingClock struct {
	*Virtual
	timers chan Stopper
}

func (c notifyingClock) Set(d time.Duration, call func()) Stopper {
	timer := c.Virtual.Set(d, call)
	c.timers <- timer
	return timer
}

func TestSleep_returnsOnceTimeHasPassed(t *testing.T) {
	Convey("Sleep returns true when its duration has passed on the clock, and not before", t, func() {
		clk := notifyingClock{&Virtual{}, make(chan Stopper, 1)}
		slept := make(chan bool, 1)
		group := routine.New(context.Background())
		group.Go(func(ctx context.Context) { slept <- Sleep(ctx.Done(), clk, time.Second) })
		timer := <-clk.timers
		clk.Advance(time.Second - 1)
		So(slept, ShouldBeEmpty)
		clk.Advance(1)
		So(<-slept, ShouldBeTrue)
		So(timer.Stop(), ShouldBeFalse)
		group.Stop()
	})
}

func TestSleep_endsEarly(t *testing.T) {
	Convey("Sleep returns false as soon as done is closed, and leaves no timer behind", t, func() {
		clk := notifyingClock{&Virtual{}, make(chan Stopper, 1)}
		slept := make(chan bool, 1)
		group := routine.New(context.Background())
		group.Go(func(ctx context.Context) { slept <- Sleep(ctx.Done(), clk, time.Second) })
		timer := <-clk.timers
		So(slept, ShouldBeEmpty)
		group.Stop()
		So(<-slept, ShouldBeFalse)
		So(timer.Stop(), ShouldBeFalse)
	})
}
