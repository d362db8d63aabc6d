package pause

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/clock"
)

// elapsing is a clock whose timers fire while they are set; one that is not elapsing never fires any.
type elapsing bool

func (elapsing) Now() time.Duration { return 0 }
func (elapsing) Wall() time.Time    { return time.Time{} }
func (e elapsing) Set(_ time.Duration, call func()) clock.Stopper {
	if e {
		call()
	}
	return time.NewTimer(0)
}

func TestPause(t *testing.T) {
	ended, end := context.WithCancel(context.Background())
	end()
	changed := make(chan struct{})
	close(changed)
	Convey("A pause ends when its time has passed, when something has changed, or with its context", t, func() {
		So(For(context.Background(), elapsing(true), time.Hour), ShouldBeTrue)
		So(Until(context.Background(), elapsing(false), time.Hour, changed), ShouldBeTrue)
		So(For(ended, elapsing(false), time.Hour), ShouldBeFalse)
		So(Until(ended, elapsing(false), time.Hour, make(chan struct{})), ShouldBeFalse)
	})
}
