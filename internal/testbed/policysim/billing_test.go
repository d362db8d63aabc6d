package policysim

import (
	"bytes"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestExhaustedPeriods(t *testing.T) {
	Convey("Where parties pay and the account of one is exhausted again and again, no invariant breaks in a fixed set of seeds with all faults", t, func() {
		sum := runUnbroken(t, Options{FaultPeriod: 20 * time.Second, Parties: true}, 1, 6)
		for promise, least := range map[string]uint64{"conserved": 3000, "paid for": 500, "bounded below zero": 100, "resumes in time": 6, "attached": 1} {
			So(sum.Promise[promise], ShouldBeGreaterThanOrEqualTo, least)
		}
		So(sum.Counts["dry spells"], ShouldBeGreaterThan, 20)
		So(sum.Counts["top-ups that came again"], ShouldBeGreaterThan, 5)
	})
	Convey("The same seed has the same trace also where parties pay, and another one than where nobody does", t, func() {
		var a, b bytes.Buffer
		first := Run(Options{Seed: 4, FaultPeriod: 10 * time.Second, Parties: true, Trace: &a})
		again := Run(Options{Seed: 4, FaultPeriod: 10 * time.Second, Parties: true, Trace: &b})
		So(bytes.Equal(a.Bytes(), b.Bytes()), ShouldBeTrue)
		So(again.TraceHash, ShouldEqual, first.TraceHash)
		So(Run(Options{Seed: 4, FaultPeriod: 10 * time.Second}).TraceHash, ShouldNotEqual, first.TraceHash)
	})
}

// Without the check of the balance in the commit of a start, the checker must find a start that was not paid for.
func TestMissingBalanceCheck(t *testing.T) {
	Convey("A start that the balance does not cover is found", t, func() {
		sum := Summarize(RunSeeds(Options{FaultPeriod: 20 * time.Second, WithoutGuard: "balance"}, 1, 6, 2, 0), nil)
		So(sum.Broken, ShouldBeGreaterThan, 0)
		for _, r := range sum.Breaches {
			So(r.Breach.Promise, ShouldEqual, "paid for")
		}
	})
}
