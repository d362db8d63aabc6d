package policysim

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const guardSeeds = 4

// TestGuards verifies that each guard is needed: without it an invariant is violated within a few seeds, under the
// faults that it protects against. With the guard no invariant is violated in the same seeds.
func TestGuards(t *testing.T) {
	for _, test := range []struct {
		guard, invariant string
		faults           []string
		length           time.Duration
	}{
		{"sync", "durable", []string{"power", "blackout"}, 10 * time.Second},
		{"floor", "not late", []string{"late", "stall", "lost", "net"}, 15 * time.Second},
		{"lease", "fence", []string{"holder", "net", "slow", "freeze", "cut"}, 25 * time.Second},
		{"rebuild", "rebuilt", []string{"lag"}, 12 * time.Second},
		{"learner", "same log", []string{"rejoin"}, 12 * time.Second},
		{"epoch", "decided in office", []string{"staleplan"}, 14 * time.Second},
	} {
		Convey("Without the guard "+test.guard+", the invariant "+test.invariant+" is violated", t, func() {
			options := Options{FaultPeriod: test.length, Faults: test.faults}
			So(Summarize(RunSeeds(options, 1, guardSeeds, 2, 0), nil).Violated, ShouldEqual, 0)
			options.WithoutGuard = test.guard
			sum := Summarize(RunSeeds(options, 1, guardSeeds, 2, 0), nil)
			var violated []string
			for _, r := range sum.Violations {
				violated = append(violated, r.Violation.Invariant)
			}
			So(violated, ShouldContain, test.invariant)
		})
	}
}
