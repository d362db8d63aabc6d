package jobssim

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/testbed/golden"
)

// TestHistories pins what happened in runs of fixed seeds, line by line. A change that keeps behaviour keeps each
// history to the byte; one that changes the scheduler's decisions writes the file anew, and its commit says why.
func TestHistories(t *testing.T) {
	Convey("Fixed seeds have the histories that are kept", t, func() {
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
