package policysim

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/routine"
)

// RunSeeds runs the seeds from..to, parallelism at a time and each on one goroutine, and returns their reports in the
// order of the seeds. After maxViolations violations it starts no further seeds (0: no limit); the report of a seed
// that was not run has no events.
func RunSeeds(options Options, from, to uint64, parallelism, maxViolations int) []Report {
	reports := make([]Report, to-from+1)
	var violations atomic.Int64
	routine.Each(len(reports), parallelism, func(i int) {
		seeded := options
		seeded.Seed = from + uint64(i)
		if maxViolations > 0 && violations.Load() >= int64(maxViolations) {
			reports[i].Seed = seeded.Seed
			return
		}
		if reports[i] = Run(seeded); reports[i].Violation != nil {
			violations.Add(1)
		}
	})
	return reports
}

// Summary is the sum of the reports of a set of runs.
type Summary struct {
	Seeds, Violated                                       int
	Events                                                uint64
	Cases, Faults, Counts                                 map[string]uint64 // see Report
	Violations                                            []Report          // of the seeds with a violation
	UncheckedInvariants, UnexercisedFaults                []string          // required, but without a case
	ResumeDelays, ResumeDelaysAfterFaults, ReattachDelays []time.Duration   // see Report
}

// Summarize adds up reports. The faults named in requiredFaults must have cases, as must all of invariants.
func Summarize(reports []Report, requiredFaults []string) Summary {
	s := Summary{Cases: map[string]uint64{}, Faults: map[string]uint64{}, Counts: map[string]uint64{}}
	for _, r := range reports {
		if r.Events > 0 {
			s.add(r)
		}
	}
	s.Require(invariants)
	for _, name := range requiredFaults {
		if s.Faults[faultCounter(name)] == 0 {
			s.UnexercisedFaults = append(s.UnexercisedFaults, name)
		}
	}
	return s
}

func (s *Summary) add(r Report) {
	s.Seeds++
	s.Events += r.Events
	addCounts(s.Cases, r.Cases)
	addCounts(s.Faults, r.Faults)
	addCounts(s.Counts, r.Counts)
	s.ResumeDelays = append(s.ResumeDelays, r.ResumeDelays...)
	s.ResumeDelaysAfterFaults = append(s.ResumeDelaysAfterFaults, r.ResumeDelaysAfterFaults...)
	s.ReattachDelays = append(s.ReattachDelays, r.ReattachDelays...)
	if r.Violation != nil {
		s.Violated++
		s.Violations = append(s.Violations, r)
	}
}

func addCounts(to, from map[string]uint64) {
	for name, n := range from {
		to[name] += n
	}
}

// Require adds the invariants that have no case to UncheckedInvariants.
func (s *Summary) Require(invariants []string) {
	for _, invariant := range invariants {
		if s.Cases[invariant] == 0 {
			s.UncheckedInvariants = append(s.UncheckedInvariants, invariant)
		}
	}
}

// Print prints a line with the number of cases for each invariant, fault and count, a line for each kind of duration,
// and a line for each required invariant or fault without a case.
func (s Summary) Print(w io.Writer) error {
	var err error
	line := func(format string, args ...any) {
		if err == nil {
			_, err = fmt.Fprintf(w, format+"\n", args...)
		}
	}
	counts := func(title string, counts map[string]uint64) {
		for _, name := range slices.Sorted(maps.Keys(counts)) {
			line("%-8s %9d  %s", title, counts[name], name)
		}
	}
	times := func(title string, times []time.Duration) {
		if n := len(times); n > 0 {
			sorted := slices.Sorted(slices.Values(times))
			line("time     %9d  %s: p50 %s, max %s", n, title, sorted[n/2], sorted[n-1])
		}
	}
	line("%d seeds, %d events, %d broken", s.Seeds, s.Events, s.Violated)
	counts("promise", s.Cases)
	counts("fault", s.Faults)
	counts("count", s.Counts)
	times("resumed after a top-up, under faults", s.ResumeDelays)
	times("resumed after a top-up, after the faults", s.ResumeDelaysAfterFaults)
	times("long-running task restarted", s.ReattachDelays)
	for _, invariant := range s.UncheckedInvariants {
		line("NOT EXERCISED promise %s", invariant)
	}
	for _, fault := range s.UnexercisedFaults {
		line("NOT EXERCISED fault %s", fault)
	}
	return errs.Wrap(err, errs.Disk, "print")
}
