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

// RunSeeds runs the seeds from..to, width at a time and each on one goroutine, and returns their reports in the order
// of the seeds. After maxBreaches breaches it starts no further seed (0: it runs all); the reports of the others have
// no events.
func RunSeeds(options Options, from, to uint64, width, maxBreaches int) []Report {
	reports := make([]Report, to-from+1)
	var breaches atomic.Int64
	routine.Each(len(reports), width, func(i int) {
		seeded := options
		seeded.Seed = from + uint64(i)
		if maxBreaches > 0 && breaches.Load() >= int64(maxBreaches) {
			reports[i].Seed = seeded.Seed
			return
		}
		if reports[i] = Run(seeded); reports[i].Breach != nil {
			breaches.Add(1)
		}
	})
	return reports
}

// Summary is the sum of the reports of a set of runs.
type Summary struct {
	Seeds, Broken                          int
	Events                                 uint64
	Promise, Faults, Counts                map[string]uint64 // see Report
	Breaches                               []Report          // those of the broken seeds
	UnexercisedPromises, UnexercisedFaults []string          // required ones without a case
	Resumes, CalmResumes, Attached         []time.Duration   // see Report
}

// Summarize adds up reports. wanted are the names of faults that must have cases, as all of promises must.
func Summarize(reports []Report, wanted []string) Summary {
	s := Summary{Promise: map[string]uint64{}, Faults: map[string]uint64{}, Counts: map[string]uint64{}}
	for _, r := range reports {
		if r.Events > 0 {
			s.add(r)
		}
	}
	s.Require(promises)
	for _, name := range wanted {
		if s.Faults[faultCounter(name)] == 0 {
			s.UnexercisedFaults = append(s.UnexercisedFaults, name)
		}
	}
	return s
}

func (s *Summary) add(r Report) {
	s.Seeds++
	s.Events += r.Events
	addCounts(s.Promise, r.Promise)
	addCounts(s.Faults, r.Faults)
	addCounts(s.Counts, r.Counts)
	s.Resumes = append(s.Resumes, r.Resumes...)
	s.CalmResumes = append(s.CalmResumes, r.CalmResumes...)
	s.Attached = append(s.Attached, r.Attached...)
	if r.Breach != nil {
		s.Broken++
		s.Breaches = append(s.Breaches, r)
	}
}

func addCounts(to, from map[string]uint64) {
	for name, n := range from {
		to[name] += n
	}
}

// Require adds those of the invariants that have no case to UnexercisedPromises.
func (s *Summary) Require(promises []string) {
	for _, promise := range promises {
		if s.Promise[promise] == 0 {
			s.UnexercisedPromises = append(s.UnexercisedPromises, promise)
		}
	}
}

// Print prints a line with the number of cases for each invariant, fault and count, one for each kind of duration, and
// one for each that was required and has no case.
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
	line("%d seeds, %d events, %d broken", s.Seeds, s.Events, s.Broken)
	counts("promise", s.Promise)
	counts("fault", s.Faults)
	counts("count", s.Counts)
	times("resumed after a top-up, under faults", s.Resumes)
	times("resumed after a top-up, faults over", s.CalmResumes)
	times("lasting task attached again", s.Attached)
	for _, promise := range s.UnexercisedPromises {
		line("NOT EXERCISED promise %s", promise)
	}
	for _, fault := range s.UnexercisedFaults {
		line("NOT EXERCISED fault %s", fault)
	}
	return errs.Wrap(err, errs.Disk, "print")
}
