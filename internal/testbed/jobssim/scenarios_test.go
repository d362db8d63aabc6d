package jobssim

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// scenarioSeeds is the number of seeds that are run of each scenario with all guards.
const scenarioSeeds = 6

// maxGuardSeeds is the last seed by which the absence of a guard must be detected.
const maxGuardSeeds = 60

func TestScenarios(t *testing.T) {
	for _, scenario := range Scenarios() {
		Convey("With all guards no invariant is violated in the scenario: "+scenario.Name, t, func() {
			counts := map[Disruption]int{}
			for seed := uint64(1); seed <= scenarioSeeds; seed++ {
				report := Run(Options{Seed: seed, Disruptions: scenario.Disruptions})
				for _, v := range report.Violations {
					t.Errorf("seed %d violates %s at %s: %s", seed, v.Invariant, v.At, v.Detail)
				}
				for kind, count := range report.Disruptions {
					counts[kind] += count
				}
			}
			for _, kind := range scenario.Disruptions {
				So(counts[kind], ShouldBeGreaterThan, 0)
			}
		})
		for _, guard := range scenario.Guards {
			Convey("The checker detects the absence of a guard: "+string(guard), t, func() {
				seed, violations := findViolationWithout(scenario, guard)
				So(violations, ShouldNotBeEmpty)
				t.Logf("%s: seed %d: %s %s", guard, seed, violations[0].Invariant, violations[0].Detail)
			})
		}
	}
}

// firstSeeds holds the seeds after which the search begins, for guards whose absence is detected only after many seeds.
var firstSeeds = map[Guard]uint64{StaleHeartbeatsCount: 18, NoLeaseCheck: 5}

// findViolationWithout runs seeds without a guard until an invariant is violated, up to the seed maxGuardSeeds.
func findViolationWithout(scenario Scenario, guard Guard) (seed uint64, violations []Violation) {
	seed = firstSeeds[guard]
	for len(violations) == 0 && seed < maxGuardSeeds {
		seed++
		violations = Run(Options{Seed: seed, WithoutGuard: guard, Disruptions: scenario.Disruptions}).Violations
	}
	return seed, violations
}

func TestScenarios_coverAll(t *testing.T) {
	Convey("Every disruption and every guard belongs to exactly one scenario", t, func() {
		disruptions, guards := map[Disruption]int{}, map[Guard]int{}
		for _, scenario := range Scenarios() {
			So(scenario.Guards, ShouldNotBeEmpty)
			for _, kind := range scenario.Disruptions {
				disruptions[kind]++
			}
			for _, guard := range scenario.Guards {
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
