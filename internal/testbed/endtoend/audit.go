package endtoend

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/jobs"
	"crosstide/internal/testbed/jobsworker"
)

// Report is what an audit found.
type Report struct {
	Runs       int                    // that began
	Ends       map[jobs.EndReason]int // runs that ended, by reason
	Failed     map[string]int         // runs that failed, by job
	Refused    map[string]int         // starts that workers refused, by reason
	Violations []string               // of the invariants; none: all held
}

// Evacuation is a period in which a zone was evacuated: from the answer to the order until just before the restore.
type Evacuation struct {
	Zone     string
	From, To time.Time
}

// evacuationGrace is how long after the answer to an evacuation a start order that was sent before it may still arrive.
const evacuationGrace = 500 * time.Millisecond

// auditor is an audit in progress: the events are observed in order of time, then each job is checked.
type auditor struct {
	report      Report
	evacuations []Evacuation
	specs       map[string]jobs.Spec          // of accepted jobs
	programs    map[string]jobsworker.Program // of accepted jobs
	workers     map[string]jobsworker.Event   // by ID: EventWorkerStart
	tasks       map[jobs.TaskRef]*history
	running     map[string][]*span // by worker: runs that have not ended
	tokens      map[string]uint64  // by worker: newest token of a start
}

// span is one run as its worker journaled it.
type span struct {
	worker     string
	number     int
	needs      jobs.Resources
	task       jobs.TaskRef
	began      time.Time
	reason     jobs.EndReason // empty: it has not ended
	resumed    string         // checkpoint of its start
	checkpoint string         // at its end
}

func (s *span) hasEnded() bool { return s.reason != "" }

// history is all runs of one task, in the order they began.
type history struct{ spans []*span }

// Audit checks the journals of all workers against the jobs that were accepted. All workers' clocks are one machine's.
// The invariants:
//
//   - nothing lost: every task of a job that succeeded has a run that ended done;
//   - nothing twice: no two runs of a task overlap, none begins after one that ended done, no worker starts under a
//     lower token than before;
//   - order: a step begins after the steps before it, a round not before its time;
//   - placement: no worker runs more than its capacity, labels and the most per worker are kept, nothing begins in a
//     zone while that is evacuated;
//   - a gang's run begins on all members; a run resumes from the checkpoint that the last one saved; a job that failed
//     used its attempts, no more.
func Audit(accepted []Job, evacuations []Evacuation, events []jobsworker.Event) (Report, error) {
	a := &auditor{evacuations: evacuations, specs: map[string]jobs.Spec{}, programs: map[string]jobsworker.Program{},
		workers: map[string]jobsworker.Event{}, tasks: map[jobs.TaskRef]*history{}, running: map[string][]*span{},
		tokens: map[string]uint64{}}
	a.report = Report{Ends: map[jobs.EndReason]int{}, Failed: map[string]int{}, Refused: map[string]int{}}
	for _, job := range accepted {
		spec, err := job.spec()
		if err != nil {
			return Report{}, errs.Pass(err, "audit")
		}
		a.specs[job.ID], a.programs[job.ID] = spec, job.Program
	}
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(x, y jobsworker.Event) int { return x.At.Compare(y.At) })
	for _, e := range events {
		a.observe(e)
	}
	for _, job := range accepted {
		a.checkJob(job)
	}
	return a.report, nil
}

// violate adds a violation.
func (a *auditor) violate(format string, args ...any) {
	a.report.Violations = append(a.report.Violations, fmt.Sprintf(format, args...))
}

// observe applies an event to the auditor's state. A run is checked when it starts.
func (a *auditor) observe(e jobsworker.Event) {
	switch e.Event {
	case jobsworker.EventWorkerStart:
		a.workers[e.Worker] = e
	case jobsworker.EventRunStart:
		a.onStart(e)
	case jobsworker.EventRunEnd:
		a.onEnd(e)
	case jobsworker.EventRunRefuse:
		a.report.Refused[e.Reason]++
	}
}

func (a *auditor) onEnd(e jobsworker.Event) {
	key, reason := e.Run.Key(), jobs.EndReason(e.Reason)
	a.report.Ends[reason]++
	if reason == jobs.EndFailed {
		a.report.Failed[key.Task.Job]++
	}
	if reason == jobs.EndDone && key.Number <= a.programs[key.Task.Job].Fails {
		a.violate("run %d of %v ended well, though it was to fail", key.Number, key.Task)
	}
	for i, s := range a.running[e.Worker] {
		if s.task == key.Task && s.number == key.Number {
			s.reason, s.checkpoint = reason, cmp.Or(e.Checkpoint, s.resumed)
			a.running[e.Worker] = slices.Delete(a.running[e.Worker], i, i+1)
			return
		}
	}
	a.violate("%v ended on %s: it did not run there", key, e.Worker)
}
