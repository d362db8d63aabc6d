package scheduler

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

func TestNewLeaderProbesAFewAtATime(t *testing.T) {
	Convey("A new leader probes at most MaxProbes workers at once, and eventually all of them", t, func() {
		const workers = 100
		c := newReadyCluster()
		for i := range workers {
			c.register(jobs.Worker{ID: fmt.Sprintf("n%03d", i), Service: "s"})
		}
		c.core.BecomeLeader(c.now, testTerm, c.table)
		limit := c.core.cfg.MaxProbes
		probed := map[string]bool{}
		for range 2 * workers / limit {
			actions := c.core.Pass(c.now, c.wall())
			So(len(actions.Renewals), ShouldBeLessThanOrEqualTo, limit)
			for _, renewal := range actions.Renewals {
				probed[renewal.Worker.ID] = true
				c.core.RenewalAnswered(c.now, renewal.Worker.ID, renewal.Number, RenewalAnswer{Clock: time.Minute}, RenewalOK)
			}
		}
		So(probed, ShouldHaveLength, workers+1)
	})
	Convey("Workers that do not answer delay the probes of the others by probeWindow at most", t, func() {
		c := newReadyCluster()
		limit := c.core.cfg.MaxProbes
		for i := range 2 * limit {
			c.register(jobs.Worker{ID: fmt.Sprintf("n%03d", i), Service: "s"})
		}
		c.core.BecomeLeader(c.now, testTerm, c.table)
		first := c.core.Pass(c.now, c.wall())
		So(first.Renewals, ShouldHaveLength, limit)
		So(first.Next, ShouldBeLessThanOrEqualTo, c.now+probeWindow)
		So(c.core.Pass(c.now+probeWindow/2, c.wall()).Renewals, ShouldBeEmpty)
		So(c.core.Pass(first.Next, c.wall()).Renewals, ShouldHaveLength, limit)
	})
}
