package policysim

import (
	"bytes"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestSeeds_withParties(t *testing.T) {
	Convey("With parties, one of them exhausted repeatedly, no invariant is violated under all faults", t, func() {
		sum := runWithoutViolations(t, Options{FaultPeriod: 20 * time.Second, Parties: true}, 1, 6)
		for invariant, minimum := range map[string]uint64{
			"conserved": 3000, "paid for": 500, "bounded below zero": 100, "resumes in time": 6, "attached": 1,
		} {
			So(sum.Cases[invariant], ShouldBeGreaterThanOrEqualTo, minimum)
		}
		So(sum.Counts["dry spells"], ShouldBeGreaterThan, 20)
		So(sum.Counts["top-ups that came again"], ShouldBeGreaterThan, 5)
	})
	Convey("With parties the same seed has the same trace, which differs from that without parties", t, func() {
		var firstTrace, secondTrace bytes.Buffer
		first := Run(Options{Seed: 4, FaultPeriod: 10 * time.Second, Parties: true, Trace: &firstTrace})
		again := Run(Options{Seed: 4, FaultPeriod: 10 * time.Second, Parties: true, Trace: &secondTrace})
		So(bytes.Equal(firstTrace.Bytes(), secondTrace.Bytes()), ShouldBeTrue)
		So(again.TraceHash, ShouldEqual, first.TraceHash)
		So(Run(Options{Seed: 4, FaultPeriod: 10 * time.Second}).TraceHash, ShouldNotEqual, first.TraceHash)
	})
}

// TestGuards_balance disables the store's check of the balance at a start: the checker must find a start that the
// balance does not cover.
func TestGuards_balance(t *testing.T) {
	Convey("Without the guard balance, the invariant paid for is violated", t, func() {
		sum := Summarize(RunSeeds(Options{FaultPeriod: 20 * time.Second, WithoutGuard: "balance"}, 1, 6, 2, 0), nil)
		So(sum.Violated, ShouldBeGreaterThan, 0)
		for _, r := range sum.Violations {
			So(r.Violation.Invariant, ShouldEqual, "paid for")
		}
	})
}
