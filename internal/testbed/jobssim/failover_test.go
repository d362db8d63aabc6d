package jobssim

import (
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestFailover measures how long nothing is started around the loss of a leader under a steady stream of short tasks.
func TestFailover(t *testing.T) {
	Convey("A new leader starts tasks soon after its election", t, func() {
		losses := 15
		if more, err := strconv.Atoi(os.Getenv("FLEETSIM_LOSSES")); err == nil {
			losses = more
		}
		var whole, own []time.Duration
		for seed := uint64(1); len(whole) < losses; seed++ {
			report := Run(Options{Seed: seed, Load: Short, DisruptionRate: 3, Disruptions: []Disruption{LeaderFreeze, LeaderCut, LeaderKill}})
			So(report.Breaches, ShouldBeEmpty)
			whole, own = append(whole, report.Failovers...), append(own, report.Takeovers...)
		}
		slices.Sort(whole)
		slices.Sort(own)
		middle, last := len(whole)/2, len(whole)-1
		t.Logf("%d losses: last start of the old leader to first of the new one p50 %s, max %s; from the election p50 %s, max %s",
			len(whole), whole[middle], whole[last], own[middle], own[last])
		So(whole[last], ShouldBeLessThan, maxElectionTime+time.Second)
		So(own[middle], ShouldBeLessThan, 100*time.Millisecond)
	})
}
