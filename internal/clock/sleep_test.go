package clock

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/routine"
)

// notifyingClock sends each timer that is set to timers, so that a test advances the clock only after a goroutine has
// set its timer.
type notifyingClock struct {
	*Virtual
	timers chan Stopper
}

func (c notifyingClock) Set(d time.Duration, fn func()) Stopper {
	timer := c.Virtual.Set(d, fn)
	c.timers <- timer
	return timer
}

// sleeper is a goroutine that sleeps for a second.
type sleeper struct {
	clock Virtual
	group *routine.Group // its Stop ends the sleep
	timer Stopper        // the timer that Sleep has set
	slept chan bool      // the result of Sleep
}

// startSleep starts a sleeper, and returns once its goroutine has set its timer.
func startSleep() *sleeper {
	s := &sleeper{group: routine.New(context.Background()), slept: make(chan bool, 1)}
	clk := notifyingClock{&s.clock, make(chan Stopper, 1)}
	s.group.Go(func(ctx context.Context) { s.slept <- Sleep(ctx.Done(), clk, time.Second) })
	s.timer = <-clk.timers
	return s
}

func TestSleep(t *testing.T) {
	Convey("Sleep returns true when its duration has passed on the clock, and not before", t, func() {
		s := startSleep()
		s.clock.Advance(time.Second - 1)
		So(s.slept, ShouldBeEmpty)
		s.clock.Advance(1)
		So(<-s.slept, ShouldBeTrue)
		So(s.timer.Stop(), ShouldBeFalse)
		s.group.Stop()
	})
	Convey("Sleep returns false as soon as done is closed, and leaves no timer behind", t, func() {
		s := startSleep()
		So(s.slept, ShouldBeEmpty)
		s.group.Stop()
		So(<-s.slept, ShouldBeFalse)
		So(s.timer.Stop(), ShouldBeFalse)
	})
	Convey("Sleep returns false at once when done is already closed", t, func() {
		done := make(chan struct{})
		close(done)
		So(Sleep(done, &Virtual{}, time.Hour), ShouldBeFalse)
	})
}
