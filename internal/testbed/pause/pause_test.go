package pause

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/clock"
	"crosstide/internal/testbed/testclock"
)

func TestPause(t *testing.T) {
	ended, end := context.WithCancel(context.Background())
	end()
	changed := make(chan struct{})
	close(changed)
	Convey("A pause ends when its time has passed, when something has changed, or with its context", t, func() {
		So(For(context.Background(), &testclock.Elapsing{}, time.Hour), ShouldBeTrue)
		So(Until(context.Background(), &clock.Virtual{}, time.Hour, changed), ShouldBeTrue)
		So(For(ended, &clock.Virtual{}, time.Hour), ShouldBeFalse)
		So(Until(ended, &clock.Virtual{}, time.Hour, make(chan struct{})), ShouldBeFalse)
	})
}
