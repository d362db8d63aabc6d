package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/state"
)

const (
	gangSeeds   = 30               // without long reservations, three of them exceeded gangTimeout
	gangTimeout = 45 * time.Second // same bound as the invariant checker of internal/testbed/policysim
	gangWarmUp  = 30 * time.Second // long enough that the number of long runs no longer grows
)

// mixedLengths returns random run lengths: one in twenty is long, so that long runs use about half of the cores at any
// time. The others are short.
func mixedLengths(seed uint64) func(runID uint64) time.Duration {
	rnd := rand.New(rand.NewPCG(seed, 1))
	return func(uint64) time.Duration {
		if rnd.IntN(20) == 0 {
			return 15 * time.Second
		}
		return time.Duration(rnd.IntN(1500)) * time.Millisecond
	}
}

// newMixedCluster returns a full cluster of two workers with 2 cores and two with 3, whose runs have mixedLengths.
func newMixedCluster(seed uint64) *loadedCluster {
	names := []string{"m1", "m2", "m3", "m4"}
	h := newHarness("check", names...)
	h.coresByWorker = map[string]int{"m1": 2, "m2": 2, "m3": 3, "m4": 3}
	c := newLoadedClusterOf(h, names)
	c.runLength = mixedLengths(seed)
	for range gangWarmUp / runLengthStep {
		c.step()
	}
	return c
}

func TestGang_besideLongRuns(t *testing.T) {
	Convey("A gang that needs three of four workers nearly empty gets run IDs, although some runs take 15 s", t, func() {
		for seed := range uint64(gangSeeds) {
			c := newMixedCluster(seed)
			c.submit("gang", state.StepSpec{Cores: 2, Tasks: 3, Gang: true})
			if !c.awaitStart("gang", gangTimeout) {
				t.Errorf("seed %d: the gang has no run IDs after %s", seed, gangTimeout)
			}
		}
	})
	Convey("Two such gangs take turns", t, func() {
		for seed := range uint64(gangSeeds) {
			c := newMixedCluster(seed)
			c.submit("first", state.StepSpec{Cores: 2, Tasks: 3, Gang: true})
			c.submit("second", state.StepSpec{Cores: 2, Tasks: 3, Gang: true})
			if !c.awaitStart("first", 2*gangTimeout) || !c.awaitStart("second", 2*gangTimeout) {
				t.Errorf("seed %d: a gang has no run IDs", seed)
			}
		}
	})
}
