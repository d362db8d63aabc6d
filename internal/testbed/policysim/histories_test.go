package policysim

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/testbed/golden"
)

// TestHistories compares digests of the traces of fixed seeds. A change that keeps the behaviour keeps every trace byte
// for byte. A change of decisions updates the golden file with -update and says so in its commit.
func TestHistories(t *testing.T) {
	Convey("Fixed seeds have the histories of the golden file", t, func() {
		var lines strings.Builder
		for seed := uint64(101); seed <= 108; seed++ {
			digest := sha256.New()
			report := Run(Options{Seed: seed, FaultPeriod: 20 * time.Second, Parties: seed%2 == 0, Trace: digest})
			fmt.Fprintf(&lines, "seed %d: %d events, %d cases of once at a time, %d starts under faults, %x\n",
				seed, report.Events, report.Cases["once at a time"], report.Counts["starts under faults"],
				digest.Sum(nil))
		}
		golden.Compare(t, "histories", lines.String())
	})
}
