package jobssim

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// daySeeds is how many runs of each kind of bad day are made with all guards.
const daySeeds = 6

// mostGuardSeeds is how many runs it may take until the absence of a guard is detected.
const mostGuardSeeds = 60

func TestBadDays(t *testing.T) {
	for _, day := range Scenarios() {
		Convey("With all guards no rule breaks on days of "+day.Name, t, func() {
			made := map[Disruption]int{}
			for seed := uint64(1); seed <= daySeeds; seed++ {
				report := Run(Options{Seed: seed, Disruptions: day.Disruptions})
				for _, b := range report.Violations {
					t.Errorf("seed %d breaks %s at %s: %s", seed, b.Invariant, b.At, b.Detail)
				}
				for kind, count := range report.Disruptions {
					made[kind] += count
				}
			}
			for _, kind := range day.Disruptions {
				So(made[kind], ShouldBeGreaterThan, 0)
			}
		})
		for _, guard := range day.Guards {
			Convey("The checker detects the absence of a guard: "+string(guard), t, func() {
				seed, found := findBreachWithout(day, guard)
				So(found, ShouldNotBeEmpty)
				t.Logf("%s: seed %d: %s %s", guard, seed, found[0].Invariant, found[0].Detail)
			})
		}
	}
}

// firstSeeds are the seeds before those that are tried, for guards whose absence takes many runs to show.
var firstSeeds = map[Guard]uint64{StaleHeartbeatsCount: 18, NoLeaseCheck: 5}

// findBreachWithout runs seeds without a guard until a rule breaks, at most mostGuardSeeds.
func findBreachWithout(day Scenario, guard Guard) (seed uint64, found []Violation) {
	seed = firstSeeds[guard]
	for len(found) == 0 && seed < mostGuardSeeds {
		seed++
		found = Run(Options{Seed: seed, WithoutGuard: guard, Disruptions: day.Disruptions}).Violations
	}
	return seed, found
}

func TestBadDays_coverAll(t *testing.T) {
	Convey("Every disruption and every guard is in one kind of bad day", t, func() {
		disruptions, guards := map[Disruption]int{}, map[Guard]int{}
		for _, day := range Scenarios() {
			So(day.Guards, ShouldNotBeEmpty)
			for _, kind := range day.Disruptions {
				disruptions[kind]++
			}
			for _, guard := range day.Guards {
				guards[guard]++
			}
		}
		for _, kind := range Disruptions() {
			So(disruptions[kind], ShouldEqual, 1)
		}
		So(disruptions, ShouldHaveLength, len(Disruptions()))
		for _, guard := range Guards() {
			So(guards[guard], ShouldEqual, 1)
		}
		So(guards, ShouldHaveLength, len(Guards()))
	})
}
