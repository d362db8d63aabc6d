package jobssim

import (
	"bytes"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// seedCount is the number of seeds that TestSeeds runs.
const seedCount = 16

func TestSeeds(t *testing.T) {
	Convey("No invariant is violated in a fixed set of seeds with all disruptions", t, func() {
		cases, disruptions := map[Invariant]int{}, map[Disruption]int{}
		for seed := uint64(1); seed <= seedCount; seed++ {
			report := Run(Options{Seed: seed})
			for _, v := range report.Violations {
				t.Errorf("seed %d violates %s at %s: %s", seed, v.Invariant, v.At, v.Detail)
			}
			for invariant, count := range report.Cases {
				cases[invariant] += count
			}
			for kind, count := range report.Disruptions {
				disruptions[kind] += count
			}
		}
		t.Log(cases, disruptions)
		for _, invariant := range Invariants() {
			So(cases[invariant], ShouldBeGreaterThan, 0)
		}
		for _, kind := range Disruptions() {
			So(disruptions[kind], ShouldBeGreaterThan, 0)
		}
	})
}

func TestRun_withoutDisruptions(t *testing.T) {
	Convey("Without disruptions no lease expires, no gang times out, no start is refused and no job is idle", t, func() {
		for seed := uint64(1); seed <= 4; seed++ {
			report := Run(Options{Seed: seed, Disruptions: []Disruption{}})
			So(report.Violations, ShouldBeEmpty)
			So(report.Counts["end: lapsed"]+report.Counts["end: alone"], ShouldEqual, 0)
			So(report.Counts["start refused: room"]+report.Counts["start refused: fence"], ShouldEqual, 0)
			So(report.IdlePeriods, ShouldEqual, 0)
		}
	})
}

func TestRun_sameSeedSameTrace(t *testing.T) {
	Convey("Two runs of a seed have the same trace", t, func() {
		var first, again bytes.Buffer
		Run(Options{Seed: 3, Trace: &first})
		Run(Options{Seed: 3, Trace: &again})
		So(first.Len(), ShouldBeGreaterThan, 1000)
		So(bytes.Equal(first.Bytes(), again.Bytes()), ShouldBeTrue)
	})
}
