package jobssim

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// TestHunt searches for violations with other seeds and options. It is configured by environment variables:
//
//	FLEETSIM_SEEDS  number of seeds to run, default 0
//	FLEETSIM_FROM   first seed
//	FLEETSIM_KINDS  disruptions, separated by commas
//	FLEETSIM_DAY    number of a scenario in Scenarios, from 1; overrides FLEETSIM_KINDS
//	FLEETSIM_BREAK  guard to remove
//	FLEETSIM_PACE   Options.DisruptionRate
//	FLEETSIM_FOR    Options.DisruptionPeriod
//	FLEETSIM_LOAD   Options.Load
//	FLEETSIM_TRACE  file to which the trace is written
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
	if scenario, err := strconv.Atoi(os.Getenv("FLEETSIM_DAY")); err == nil {
		opt.Disruptions = Scenarios()[scenario-1].Disruptions
	}
	if path := os.Getenv("FLEETSIM_TRACE"); path != "" {
		file, err := os.Create(path)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = file.Close() }()
		opt.Trace = file
	}
	cases, counts, idlePeriods, longest := map[Invariant]int{}, map[string]int{}, 0, time.Duration(0)
	for seed := from; seed < from+count; seed++ {
		opt.Seed = seed
		report := Run(opt)
		for _, v := range report.Violations {
			t.Errorf("seed %d violates %s at %s: %s", seed, v.Invariant, v.At, v.Detail)
		}
		for invariant, n := range report.Cases {
			cases[invariant] += n
		}
		for what, n := range report.Counts {
			counts[what] += n
		}
		idlePeriods += report.IdlePeriods
		longest = max(longest, report.LongestIdle)
	}
	t.Log(cases)
	t.Log(counts, "idle periods", idlePeriods, "longest", longest)
}
