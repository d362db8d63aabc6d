package sim

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestGuardsOfTheStore takes out guards of the replicated store, of its leases and of the minions' fencing, under the
// faults that need them. Epoch, rebuild and reserve take too many seeds for each run of the tests: `drill sim --break`.
func TestGuardsOfTheStore(t *testing.T) {
	const most = 20 // seeds until the lack must be found
	for _, c := range []struct {
		guard  string
		faults []string
		from   uint64
	}{
		{guard: "sync", from: 1},
		{guard: "floor", from: 1},
		{guard: "lease", from: 2},
		{guard: "learner", faults: []string{"wipe", "cut", "power", "blackout", "kill", "split"}, from: 5},
	} {
		Convey("The promises do not hold without a guard: "+c.guard, t, func() {
			for seed := c.from; seed < c.from+most; seed++ {
				found := Run(Options{Seed: seed, Break: c.guard, Faults: c.faults}).Breach
				if found == nil {
					continue
				}
				So(Run(Options{Seed: seed, Faults: c.faults}).Breach, ShouldBeNil) // with it they do
				t.Logf("%s: seed %d: %s %s", c.guard, seed, found.Promise, found.What)
				return
			}
			So("no seed has found the lack of "+c.guard, ShouldBeEmpty)
		})
	}
}
