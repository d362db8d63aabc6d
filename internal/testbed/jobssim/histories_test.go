package jobssim

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/testbed/golden"
)

// TestHistories compares the hashes of the traces of fixed seeds with testdata/histories.golden. A change that keeps the
// behaviour keeps each trace to the byte. A change of the decisions of the scheduler updates the file, and its commit
// states the reason.
func TestHistories(t *testing.T) {
	Convey("Fixed seeds have the traces recorded in the golden file", t, func() {
		var lines strings.Builder
		for seed := uint64(101); seed <= 112; seed++ {
			digest := sha256.New()
			report := Run(Options{Seed: seed, Trace: digest})
			fmt.Fprintf(&lines, "seed %d: %d events, %d jobs, %d starts, %x\n",
				seed, report.Events, report.Jobs, report.Starts, digest.Sum(nil))
		}
		golden.Compare(t, "histories", lines.String())
	})
}
