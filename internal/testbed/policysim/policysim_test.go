package policysim

import (
	"bytes"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// runWithoutViolations runs seeds two at a time, checks that no invariant is violated, and returns their summary.
func runWithoutViolations(t *testing.T, options Options, first, last uint64) Summary {
	t.Helper()
	sum := Summarize(RunSeeds(options, first, last, 2, 0), nil)
	for _, r := range sum.Violations {
		t.Errorf("seed %d violates %q at %s: %s", r.Seed, r.Violation.Invariant, r.Violation.At, r.Violation.Detail)
	}
	So(sum.Violated, ShouldEqual, 0)
	return sum
}

func TestSeeds(t *testing.T) {
	Convey("No invariant is violated in a fixed set of seeds with all faults", t, func() {
		sum := runWithoutViolations(t, Options{FaultPeriod: 20 * time.Second}, 1, 4)
		So(sum.Cases["once at a time"], ShouldBeGreaterThan, 200)
		So(sum.Cases["linear"], ShouldBeGreaterThan, 200)
	})
}

func TestTrace_isDeterministic(t *testing.T) {
	Convey("The same seed has the same trace, byte for byte", t, func() {
		var firstTrace, secondTrace bytes.Buffer
		first := Run(Options{Seed: 4, FaultPeriod: 10 * time.Second, Trace: &firstTrace})
		again := Run(Options{Seed: 4, FaultPeriod: 10 * time.Second, Trace: &secondTrace})
		So(firstTrace.Len(), ShouldBeGreaterThan, 10000)
		So(bytes.Equal(firstTrace.Bytes(), secondTrace.Bytes()), ShouldBeTrue)
		So(again.TraceHash, ShouldEqual, first.TraceHash)
		So(Run(Options{Seed: 5, FaultPeriod: 10 * time.Second}).TraceHash, ShouldNotEqual, first.TraceHash)
	})
}

// TestMinutes runs longer than TestSeeds and so covers other situations: leases that expire because they are not
// renewed for long, long queues, jobs with many attempts.
func TestMinutes(t *testing.T) {
	Convey("No invariant is violated in a few seeds of five minutes with all faults", t, func() {
		sum := runWithoutViolations(t, Options{FaultPeriod: 5 * time.Minute}, 641000, 641003)
		So(sum.Cases["not passed over"], ShouldBeGreaterThan, 100)
		So(sum.Cases["all ends"], ShouldEqual, 4)
	})
}

// TestMinutesWithPauses has longer intervals between the faults. With a fault every few hundred milliseconds, few tasks
// start before the faults end; here most do.
func TestMinutesWithPauses(t *testing.T) {
	Convey("No invariant is violated in two seeds of two minutes with a fault every 5 s", t, func() {
		sum := runWithoutViolations(t,
			Options{FaultPeriod: 2 * time.Minute, MeanFaultInterval: 5 * time.Second}, 641000, 641001)
		So(sum.Counts["starts under faults"], ShouldBeGreaterThan, 300)
	})
}
