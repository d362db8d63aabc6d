package scheduler

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

func TestNewLeaderProbesAFewAtATime(t *testing.T) {
	Convey("A new leader probes at most MaxProbes workers at once, and all of them in the end", t, func() {
		const workers = 100
		h := newHarness()
		for i := range workers {
			So(h.table.Register(jobs.Register{Workers: []jobs.Worker{{ID: fmt.Sprintf("n%03d", i), Service: "s"}}}), ShouldBeNil)
		}
		h.core.BecomeLeader(h.now, harnessTerm, h.table)
		most := h.core.cfg.MaxProbes
		asked := map[string]bool{}
		for range 2 * workers / most {
			actions := h.core.Pass(h.now, time.Time{}.Add(h.now))
			So(len(actions.Renewals), ShouldBeLessThanOrEqualTo, most)
			for _, renewal := range actions.Renewals {
				asked[renewal.Worker.ID] = true
				h.core.RenewalAnswered(h.now, renewal.Worker.ID, renewal.Number, RenewalAnswer{Clock: time.Minute}, RenewalOK)
			}
		}
		So(asked, ShouldHaveLength, workers+1)
	})
	Convey("Workers that do not answer delay the probes of the others for a moment only", t, func() {
		h := newHarness()
		most := h.core.cfg.MaxProbes
		for i := range 2 * most {
			So(h.table.Register(jobs.Register{Workers: []jobs.Worker{{ID: fmt.Sprintf("n%03d", i), Service: "s"}}}), ShouldBeNil)
		}
		h.core.BecomeLeader(h.now, harnessTerm, h.table)
		first := h.core.Pass(h.now, time.Time{}.Add(h.now))
		So(first.Renewals, ShouldHaveLength, most)
		So(first.Next, ShouldBeLessThanOrEqualTo, h.now+probeWindow)
		So(h.core.Pass(h.now+probeWindow/2, time.Time{}.Add(h.now)).Renewals, ShouldBeEmpty)
		So(h.core.Pass(first.Next, time.Time{}.Add(h.now)).Renewals, ShouldHaveLength, most)
	})
}
