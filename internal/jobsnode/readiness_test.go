package jobsnode

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
)

func TestReadiness(t *testing.T) {
	Convey("A node is ready after a fresh answer and through the grace, and not once it drains", t, func() {
		silent := 3 * time.Second // since the leader's last answer
		answeredIn := func(d time.Duration) error {
			if silent <= d {
				return nil
			}
			return errs.New(errs.Unavailable, "no leader")
		}
		r := &readiness{leaderReady: func() error { return answeredIn(2500 * time.Millisecond) }, leaderAnswered: answeredIn}
		So(errs.KindOf(r.check()), ShouldEqual, errs.Unavailable) // never was ready: the grace is not for it
		silent = 0
		So(r.check(), ShouldBeNil)
		silent = leaderlessGrace
		So(r.check(), ShouldBeNil)
		silent++
		So(errs.KindOf(r.check()), ShouldEqual, errs.Unavailable)
		silent = 3 * time.Second // an answer that came late; it is not fresh
		So(errs.KindOf(r.check()), ShouldEqual, errs.Unavailable)
		silent = time.Second
		So(r.check(), ShouldBeNil)
		r.startDraining()
		So(errs.KindOf(r.check()), ShouldEqual, errs.Stopped)
	})
}
