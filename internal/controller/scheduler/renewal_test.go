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
		c := newReadyCluster()
		for i := range workers {
			c.register(jobs.Worker{ID: fmt.Sprintf("n%03d", i), Service: "s"})
		}
		c.core.BecomeLeader(c.now, testTerm, c.table)
		most := c.core.cfg.MaxProbes
		asked := map[string]bool{}
		for range 2 * workers / most {
			actions := c.core.Pass(c.now, c.wall())
			So(len(actions.Renewals), ShouldBeLessThanOrEqualTo, most)
			for _, renewal := range actions.Renewals {
				asked[renewal.Worker.ID] = true
				c.core.RenewalAnswered(c.now, renewal.Worker.ID, renewal.Number, RenewalAnswer{Clock: time.Minute}, RenewalOK)
			}
		}
		So(asked, ShouldHaveLength, workers+1)
	})
	Convey("Workers that do not answer delay the probes of the others for a moment only", t, func() {
		c := newReadyCluster()
		most := c.core.cfg.MaxProbes
		for i := range 2 * most {
			c.register(jobs.Worker{ID: fmt.Sprintf("n%03d", i), Service: "s"})
		}
		c.core.BecomeLeader(c.now, testTerm, c.table)
		first := c.core.Pass(c.now, c.wall())
		So(first.Renewals, ShouldHaveLength, most)
		So(first.Next, ShouldBeLessThanOrEqualTo, c.now+probeWindow)
		So(c.core.Pass(c.now+probeWindow/2, c.wall()).Renewals, ShouldBeEmpty)
		So(c.core.Pass(first.Next, c.wall()).Renewals, ShouldHaveLength, most)
	})
}
