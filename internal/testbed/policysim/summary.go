package policysim

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/routine"
)

// RunSeeds runs the seeds from..to, width at once, each on one thread, and gives their reports in order of seeds. After
// many breaches no further seed is begun (0: all are run); the reports of those have no events.
func RunSeeds(opt Options, from, to uint64, width, many int) []Report {
	out := make([]Report, to-from+1)
	bad := make(chan struct{}, len(out))
	routine.Each(len(out), width, func(i int) {
		o := opt
		o.Seed = from + uint64(i)
		if many > 0 && len(bad) >= many {
			out[i].Seed = o.Seed
			return
		}
		if out[i] = Run(o); out[i].Breach != nil {
			bad <- struct{}{}
		}
	})
	return out
}

// Summary is what a set of runs showed together.
type Summary struct {
	Seeds, Broken                          int
	Events                                 uint64
	Promise, Faults, Counts                map[string]uint64
	Breaches                               []Report
	UnexercisedPromises, UnexercisedFaults []string
	Resumes, CalmResumes, Attached         []time.Duration // see Report
}

// Summarize sums up reports. wanted are the faults that must have been made.
func Summarize(reports []Report, wanted []string) Summary {
	s := Summary{Promise: map[string]uint64{}, Faults: map[string]uint64{}, Counts: map[string]uint64{}}
	for _, r := range reports {
		if r.Events == 0 {
			continue
		}
		s.Seeds++
		s.Events += r.Events
		for k, n := range r.Promise {
			s.Promise[k] += n
		}
		for k, n := range r.Faults {
			s.Faults[k] += n
		}
		for k, n := range r.Counts {
			s.Counts[k] += n
		}
		s.Resumes, s.CalmResumes = append(s.Resumes, r.Resumes...), append(s.CalmResumes, r.CalmResumes...)
		s.Attached = append(s.Attached, r.Attached...)
		if r.Breach != nil {
			s.Broken++
			s.Breaches = append(s.Breaches, r)
		}
	}
	for _, p := range Promises {
		if s.Promise[p] == 0 {
			s.UnexercisedPromises = append(s.UnexercisedPromises, p)
		}
	}
	for _, f := range wanted {
		if s.Faults[faultCounter(f)] == 0 {
			s.UnexercisedFaults = append(s.UnexercisedFaults, f)
		}
	}
	return s
}

// Require adds promises that must have been exercised.
func (s *Summary) Require(promises []string) {
	for _, p := range promises {
		if s.Promise[p] == 0 {
			s.UnexercisedPromises = append(s.UnexercisedPromises, p)
		}
	}
}

// Print prints a sum: a line for each promise, fault and count, with how many cases there were.
func (s Summary) Print(w io.Writer) error {
	var err error
	line := func(format string, args ...any) {
		if err == nil {
			_, err = fmt.Fprintf(w, format+"\n", args...)
		}
	}
	line("%d seeds, %d events, %d broken", s.Seeds, s.Events, s.Broken)
	part := func(title string, m map[string]uint64) {
		for _, k := range slices.Sorted(maps.Keys(m)) {
			line("%-8s %9d  %s", title, m[k], k)
		}
	}
	part("promise", s.Promise)
	part("fault", s.Faults)
	part("count", s.Counts)
	for _, t := range []struct {
		name  string
		times []time.Duration
	}{{"resumed after a top-up, under faults", s.Resumes}, {"resumed after a top-up, faults over", s.CalmResumes},
		{"lasting task attached again", s.Attached}} {
		if n := len(t.times); n > 0 {
			slices.Sort(t.times)
			line("time     %9d  %s: p50 %s, max %s", n, t.name, t.times[n/2], t.times[n-1])
		}
	}
	for _, p := range s.UnexercisedPromises {
		line("NOT EXERCISED promise %s", p)
	}
	for _, f := range s.UnexercisedFaults {
		line("NOT EXERCISED fault %s", f)
	}
	return errs.Wrap(err, errs.Disk, "print")
}
