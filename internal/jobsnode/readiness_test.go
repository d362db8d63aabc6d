package jobsnode

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
)

func TestReadiness(t *testing.T) {
	Convey("A node is ready after a recent answer and during the grace, and is not ready while draining", t, func() {
		silent := 3 * time.Second // since the leader's last answer
		answeredWithin := func(maxAge time.Duration) error {
			if silent <= maxAge {
				return nil
			}
			return errs.New(errs.Unavailable, "no leader")
		}
		r := &readiness{
			leaderReady:    func() error { return answeredWithin(2500 * time.Millisecond) },
			leaderAnswered: answeredWithin,
		}
		So(errs.KindOf(r.check()), ShouldEqual, errs.Unavailable) // was never ready: the grace does not apply
		silent = 0
		So(r.check(), ShouldBeNil)
		silent = leaderlessGrace
		So(r.check(), ShouldBeNil)
		silent++
		So(errs.KindOf(r.check()), ShouldEqual, errs.Unavailable)
		silent = 3 * time.Second // within the grace, but not recent enough to become ready again
		So(errs.KindOf(r.check()), ShouldEqual, errs.Unavailable)
		silent = time.Second
		So(r.check(), ShouldBeNil)
		r.startDraining()
		So(errs.KindOf(r.check()), ShouldEqual, errs.Stopped)
	})
}
