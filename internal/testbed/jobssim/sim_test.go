package jobssim

import (
	"bytes"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// seeds is how many runs the ordinary test makes.
const seeds = 16

func TestSeeds(t *testing.T) {
	Convey("No rule breaks in a fixed set of seeds with all disruptions", t, func() {
		cases, disruptions := map[Invariant]int{}, map[Disruption]int{}
		for seed := uint64(1); seed <= seeds; seed++ {
			report := Run(Options{Seed: seed})
			for _, b := range report.Violations {
				t.Errorf("seed %d breaks %s at %s: %s", seed, b.Invariant, b.At, b.Detail)
			}
			for rule, count := range report.Cases {
				cases[rule] += count
			}
			for kind, count := range report.Disruptions {
				disruptions[kind] += count
			}
		}
		t.Log(cases, disruptions)
		for _, rule := range Invariants() {
			So(cases[rule], ShouldBeGreaterThan, 0)
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
