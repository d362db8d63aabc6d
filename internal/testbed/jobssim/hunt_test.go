package jobssim

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// TestHunt runs FLEETSIM_SEEDS seeds (none if it is not set), from FLEETSIM_FROM on. FLEETSIM_KINDS lists the
// disruptions, separated by commas, or FLEETSIM_DAY is the number of a scenario of Scenarios, from 1. FLEETSIM_BREAK is a
// guard to remove, FLEETSIM_PACE the DisruptionRate, FLEETSIM_FOR the DisruptionPeriod, FLEETSIM_LOAD the Load,
// FLEETSIM_TRACE a file for the trace.
func TestHunt(t *testing.T) {
	count, _ := strconv.ParseUint(os.Getenv("FLEETSIM_SEEDS"), 10, 64)
	from, _ := strconv.ParseUint(os.Getenv("FLEETSIM_FROM"), 10, 64)
	opt := Options{WithoutGuard: Guard(os.Getenv("FLEETSIM_BREAK")), Load: Load(os.Getenv("FLEETSIM_LOAD"))}
	opt.DisruptionRate, _ = strconv.ParseFloat(os.Getenv("FLEETSIM_PACE"), 64)
	opt.DisruptionPeriod, _ = time.ParseDuration(os.Getenv("FLEETSIM_FOR"))
	if kinds := os.Getenv("FLEETSIM_KINDS"); kinds != "" {
		for kind := range strings.SplitSeq(kinds, ",") {
			opt.Disruptions = append(opt.Disruptions, Disruption(kind))
		}
	}
	if day, err := strconv.Atoi(os.Getenv("FLEETSIM_DAY")); err == nil {
		opt.Disruptions = Scenarios()[day-1].Disruptions
	}
	if path := os.Getenv("FLEETSIM_TRACE"); path != "" {
		file, err := os.Create(path)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = file.Close() }()
		opt.Trace = file
	}
	cases, seen, periods, longest := map[Invariant]int{}, map[string]int{}, 0, time.Duration(0)
	for seed := from; seed < from+count; seed++ {
		opt.Seed = seed
		report := Run(opt)
		for _, b := range report.Violations {
			t.Errorf("seed %d breaks %s at %s: %s", seed, b.Invariant, b.At, b.Detail)
		}
		for rule, n := range report.Cases {
			cases[rule] += n
		}
		for what, n := range report.Counts {
			seen[what] += n
		}
		periods += report.IdlePeriods
		longest = max(longest, report.LongestIdle)
	}
	t.Log(cases)
	t.Log(seen, "idle spells", periods, "longest", longest)
}
