package policysim

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const guardSeeds = 4

// Each guard that Options.WithoutGuard takes out is missed within a few seeds, under the faults that it is there for; with the
// guard the same seeds hold.
func TestGuards(t *testing.T) {
	for _, c := range []struct {
		guard, promise string
		faults         []string
		length         time.Duration
	}{
		{"sync", "durable", []string{"power", "blackout"}, 10 * time.Second},
		{"floor", "not late", []string{"late", "stall", "lost", "net"}, 15 * time.Second},
		{"lease", "fence", []string{"holder", "net", "slow", "freeze", "cut"}, 25 * time.Second},
		{"rebuild", "rebuilt", []string{"lag"}, 12 * time.Second},
		{"learner", "same log", []string{"rejoin"}, 12 * time.Second},
		{"epoch", "decided in office", []string{"staleplan"}, 14 * time.Second},
	} {
		Convey("Without its guard "+c.guard+" the invariant "+c.promise+" breaks", t, func() {
			opt := Options{FaultPeriod: c.length, Faults: c.faults}
			So(Summarize(RunSeeds(opt, 1, guardSeeds, 2, 0), nil).Broken, ShouldEqual, 0)
			opt.WithoutGuard = c.guard
			sum := Summarize(RunSeeds(opt, 1, guardSeeds, 2, 0), nil)
			var broken []string
			for _, r := range sum.Breaches {
				broken = append(broken, r.Breach.Promise)
			}
			So(broken, ShouldContain, c.promise)
		})
	}
}
