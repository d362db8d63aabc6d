package jobssim

import (
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestFailover measures for how long no run is started when the leader is lost, under a steady stream of short tasks.
func TestFailover(t *testing.T) {
	Convey("A new leader starts tasks soon after its election", t, func() {
		losses := 15
		if more, err := strconv.Atoi(os.Getenv("FLEETSIM_LOSSES")); err == nil {
			losses = more
		}
		var failovers, takeovers []time.Duration
		for seed := uint64(1); len(failovers) < losses; seed++ {
			report := Run(Options{Seed: seed, Load: Short, DisruptionRate: 3,
				Disruptions: []Disruption{LeaderFreeze, LeaderCut, LeaderKill}})
			So(report.Violations, ShouldBeEmpty)
			failovers, takeovers = append(failovers, report.Failovers...), append(takeovers, report.Takeovers...)
		}
		slices.Sort(failovers)
		slices.Sort(takeovers)
		middle, last := len(failovers)/2, len(failovers)-1
		t.Logf("%d losses: last start by the old leader to first start by the new one p50 %s, max %s; "+
			"from the election p50 %s, max %s",
			len(failovers), failovers[middle], failovers[last], takeovers[middle], takeovers[last])
		So(failovers[last], ShouldBeLessThan, maxElectionTime+time.Second)
		So(takeovers[middle], ShouldBeLessThan, 100*time.Millisecond)
	})
}
