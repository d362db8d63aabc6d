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

// Report is the result of an audit.
type Report struct {
	Runs       int                    // runs that began
	Ends       map[jobs.EndReason]int // runs that ended, by reason
	Failed     map[string]int         // runs that failed, by job
	Refused    map[string]int         // starts that workers refused, by reason
	Violations []string               // of invariants; empty if all held
}

// Evacuation is the period in which no run may start in a zone: from the answer to the evacuate request until just
// before the restore request is sent.
type Evacuation struct {
	Zone     string
	From, To time.Time
}

// evacuationGrace is how long after the answer to an evacuate request a start order that was sent earlier may arrive.
const evacuationGrace = 500 * time.Millisecond

// auditor is an audit in progress: it observes all events in order of time, then checks each job.
type auditor struct {
	report      Report
	evacuations []Evacuation
	specs       map[string]jobs.Spec          // of accepted jobs
	programs    map[string]jobsworker.Program // of accepted jobs
	workers     map[string]jobsworker.Event   // the EventWorkerStart of each worker, by ID
	tasks       map[jobs.TaskRef]*history
	running     map[string][]*span // by worker: runs that have not ended
	tokens      map[string]uint64  // by worker: highest token of a start
}

// span is one run as its worker journaled it.
type span struct {
	worker     string
	number     int
	needs      jobs.Resources
	task       jobs.TaskRef
	began      time.Time
	reason     jobs.EndReason // empty until it ends
	resumed    string         // checkpoint that it started from
	checkpoint string         // last one at its end; that of its start if it saved none
}

func (s *span) hasEnded() bool { return s.reason != "" }

// history lists all runs of one task, in the order they began.
type history struct{ spans []*span }

// Audit checks the journals of all workers against the accepted jobs. It orders the events by their timestamps, so all
// workers must run on one machine. The invariants:
//
//   - nothing lost: every task of a job that succeeded has a run that ended done;
//   - nothing twice: no two runs of a task overlap, no run begins after one that ended done, no worker starts a run
//     under a lower token than before;
//   - order: a step begins after the steps before it are done, a round not before it is due;
//   - placement: the runs on a worker never exceed its capacity, labels and the maximum per worker are respected, no
//     run begins in a zone while that is evacuated;
//   - a gang's run begins on all members; a run resumes from the checkpoint that the previous one saved; a job that
//     failed used all its attempts and no more.
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

// onEnd counts the end of a run and removes the run from those in progress on its worker.
func (a *auditor) onEnd(e jobsworker.Event) {
	key, reason := e.Run.Key(), jobs.EndReason(e.Reason)
	a.report.Ends[reason]++
	if reason == jobs.EndFailed {
		a.report.Failed[key.Task.Job]++
	}
	if reason == jobs.EndDone && key.Number <= a.programs[key.Task.Job].Fails {
		a.violate("run %d of %v succeeded, but its program fails", key.Number, key.Task)
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
