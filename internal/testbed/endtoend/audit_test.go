package endtoend

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/httpapi/workerapi"
	"crosstide/internal/jobs"
	"crosstide/internal/testbed/jobsworker"
)

// eventLog is a journal whose events are one millisecond apart.
type eventLog struct {
	events []jobsworker.Event
	at     time.Time
}

func newEventLog() *eventLog {
	s := &eventLog{at: time.Unix(1000, 0)}
	capacity := jobs.Resources{MilliCPU: 400, MemoryMB: 100}
	s.add(jobsworker.Event{Event: jobsworker.EventWorkerStart, Worker: "a", Needs: capacity, Labels: []string{"ssd"},
		Zone: "z"})
	s.add(jobsworker.Event{Event: jobsworker.EventWorkerStart, Worker: "b", Needs: capacity})
	return s
}

func (s *eventLog) add(e jobsworker.Event) {
	s.at = s.at.Add(time.Millisecond)
	e.At = s.at
	s.events = append(s.events, e)
}

// runKey returns the key of a run of a task of job j.
func runKey(step, index, number int) workerapi.Run {
	return workerapi.Run{Job: "j", Step: step, Index: index, Number: number}
}

func (s *eventLog) start(worker string, r workerapi.Run, change ...func(*jobsworker.Event)) {
	e := jobsworker.Event{Event: jobsworker.EventRunStart, Worker: worker, Run: r, Token: 1,
		Needs: jobs.Resources{MilliCPU: 200, MemoryMB: 32}}
	for _, apply := range change {
		apply(&e)
	}
	s.add(e)
}

func (s *eventLog) end(worker string, r workerapi.Run, reason jobs.EndReason) {
	s.endWith(worker, r, reason, "")
}

// endWith journals the end of a run that has saved a checkpoint.
func (s *eventLog) endWith(worker string, r workerapi.Run, reason jobs.EndReason, checkpoint string) {
	s.add(jobsworker.Event{Event: jobsworker.EventRunEnd, Worker: worker, Run: r, Reason: string(reason),
		Checkpoint: checkpoint})
}

// succeed journals a run that starts and ends done.
func (s *eventLog) succeed(worker string, r workerapi.Run) {
	s.start(worker, r)
	s.end(worker, r, jobs.EndDone)
}

func job(wantState jobs.JobState, steps ...Step) Job {
	return newJob("j", Urgent, wantState, jobsworker.Program{MS: 1}, steps...)
}

func TestAudit(t *testing.T) {
	single, two := job(jobs.Succeeded, smallStep(1)), job(jobs.Succeeded, smallStep(2))
	chain := job(jobs.Succeeded, smallStep(1), smallStep(1).with(func(s *Step) { s.After = []int{0} }))
	gang := job(jobs.Succeeded, smallStep(2).with(func(s *Step) { s.Gang = true }))
	labelled := job(jobs.Succeeded, smallStep(1).with(func(s *Step) { s.Label = "ssd" }))
	apart := job(jobs.Succeeded, smallStep(2).with(func(s *Step) { s.MostPerWorker = 1 }))
	saving := job(jobs.Succeeded, smallStep(1).with(func(s *Step) { s.Checkpoints = true }))
	timed := single
	timed.Times = &Times{First: time.Unix(1001, 0), Every: "1s", Rounds: 1}
	cases := []struct {
		name        string
		job         Job
		write       func(s *eventLog)
		violation   string // substring of the only violation; empty if none is expected
		evacuations []Evacuation
	}{
		{"a task runs once", single, func(s *eventLog) { s.succeed("a", runKey(0, 0, 1)) }, "", nil},
		{"a task is lost", two, func(s *eventLog) { s.succeed("a", runKey(0, 0, 1)) }, "1 of 2 tasks", nil},
		{"a task was stopped and not started again", single, func(s *eventLog) {
			s.start("a", runKey(0, 0, 1))
			s.end("a", runKey(0, 0, 1), jobs.EndStopped)
		}, "0 of 1 tasks", nil},
		{"a task is done twice", single, func(s *eventLog) {
			s.succeed("a", runKey(0, 0, 1))
			s.succeed("b", runKey(0, 0, 2))
		}, "was done", nil},
		{"a task runs twice at once", single, func(s *eventLog) {
			s.start("a", runKey(0, 0, 1))
			s.succeed("b", runKey(0, 0, 2))
		}, "was in progress on a", nil},
		{"a run number is reused", single, func(s *eventLog) {
			s.start("a", runKey(0, 0, 1))
			s.end("a", runKey(0, 0, 1), jobs.EndStopped)
			s.succeed("b", runKey(0, 0, 1))
		}, "after run 1", nil},
		{"a task is started again", single, func(s *eventLog) {
			s.start("a", runKey(0, 0, 1))
			s.end("a", runKey(0, 0, 1), jobs.EndStopped)
			s.succeed("b", runKey(0, 0, 2))
		}, "", nil},
		{"a run of a job that was not accepted", single, func(s *eventLog) {
			s.succeed("a", runKey(0, 0, 1))
			s.start("a", workerapi.Run{Job: "k", Number: 1})
		}, "no such job", nil},
		{"an end without a run", single, func(s *eventLog) {
			s.succeed("a", runKey(0, 0, 1))
			s.end("b", runKey(0, 0, 2), jobs.EndDone)
		}, "did not run there", nil},
		{"a start under a lower token", two, func(s *eventLog) {
			s.start("a", runKey(0, 0, 1), func(e *jobsworker.Event) { e.Token = 2 })
			s.end("a", runKey(0, 0, 1), jobs.EndDone)
			s.succeed("a", runKey(0, 1, 1))
		}, "under token 1 after 2", nil},
		{"steps in order", chain, func(s *eventLog) {
			s.succeed("a", runKey(0, 0, 1))
			s.succeed("b", runKey(1, 0, 1))
		}, "", nil},
		{"a step starts before the previous one is done", chain, func(s *eventLog) {
			s.start("a", runKey(0, 0, 1))
			s.succeed("b", runKey(1, 0, 1))
			s.end("a", runKey(0, 0, 1), jobs.EndDone)
		}, "0 of 1 tasks of step 0 done", nil},
		{"a round starts before it is due", timed, func(s *eventLog) {
			s.succeed("a", runKey(0, 0, 1))
		}, "before its round was due", nil},
		{"a round starts when it is due", timed, func(s *eventLog) {
			s.at = time.Unix(1001, 0)
			s.succeed("a", runKey(0, 0, 1))
		}, "", nil},
		{"the worker lacks the label", labelled, func(s *eventLog) { s.succeed("b", runKey(0, 0, 1)) }, "no label ssd", nil},
		{"the worker has the label", labelled, func(s *eventLog) { s.succeed("a", runKey(0, 0, 1)) }, "", nil},
		{"the capacity is exceeded", two, func(s *eventLog) {
			s.start("a", runKey(0, 0, 1))
			s.start("a", runKey(0, 1, 1), func(e *jobsworker.Event) { e.Needs.MilliCPU = 201 })
			s.end("a", runKey(0, 0, 1), jobs.EndDone)
			s.end("a", runKey(0, 1, 1), jobs.EndDone)
		}, "MilliCPU:401", nil},
		{"two tasks at once exceed the maximum per worker", apart, func(s *eventLog) {
			s.start("a", runKey(0, 0, 1))
			s.start("a", runKey(0, 1, 1))
			s.end("a", runKey(0, 0, 1), jobs.EndDone)
			s.end("a", runKey(0, 1, 1), jobs.EndDone)
		}, "2 tasks of the step run on a", nil},
		{"one task after the other within the maximum per worker", apart, func(s *eventLog) {
			s.succeed("a", runKey(0, 0, 1))
			s.succeed("a", runKey(0, 1, 1))
		}, "", nil},
		{"a whole gang", gang, func(s *eventLog) {
			s.start("a", runKey(0, 0, 1))
			s.start("b", runKey(0, 1, 1))
			s.end("a", runKey(0, 0, 1), jobs.EndDone)
			s.end("b", runKey(0, 1, 1), jobs.EndStopped)
		}, "", nil},
		{"half a gang", gang, func(s *eventLog) { s.succeed("a", runKey(0, 0, 1)) }, "1 of 2 members", nil},
		{"a start in an evacuated zone", single, func(s *eventLog) {
			s.at = time.Unix(1003, 0)
			s.succeed("a", runKey(0, 0, 1))
		}, "after zone z was evacuated",
			[]Evacuation{{"z", time.Unix(1002, 0), time.Unix(1004, 0)}}},
		{"starts before and after an evacuation", two, func(s *eventLog) {
			s.at = time.Unix(1002, 0)
			s.succeed("a", runKey(0, 0, 1))
			s.at = time.Unix(1004, 0)
			s.succeed("a", runKey(0, 1, 1))
		}, "", []Evacuation{{"z", time.Unix(1002, 0), time.Unix(1004, 0)}}},
		{"a start in another zone", single, func(s *eventLog) {
			s.at = time.Unix(1003, 0)
			s.succeed("b", runKey(0, 0, 1))
		}, "",
			[]Evacuation{{"z", time.Unix(1002, 0), time.Unix(1004, 0)}}},
		{"a run resumes from the checkpoint", saving, func(s *eventLog) {
			s.start("a", runKey(0, 0, 1))
			s.endWith("a", runKey(0, 0, 1), jobs.EndStopped, "300")
			s.start("b", runKey(0, 0, 2), func(e *jobsworker.Event) { e.Checkpoint = "300" })
			s.end("b", runKey(0, 0, 2), jobs.EndDone)
		}, "", nil},
		{"a run ignores the checkpoint", saving, func(s *eventLog) {
			s.start("a", runKey(0, 0, 1))
			s.endWith("a", runKey(0, 0, 1), jobs.EndStopped, "300")
			s.succeed("b", runKey(0, 0, 2))
		}, `resumed from "", but run 1 had saved "300"`, nil},
		{"too few attempts", job(jobs.Failed, smallStep(1)), func(s *eventLog) {
			s.start("a", runKey(0, 0, 1))
			s.end("a", runKey(0, 0, 1), jobs.EndFailed)
		}, "after 1 failed runs", nil},
	}
	Convey("Each violation is found, and no other", t, func() {
		for _, c := range cases {
			s := newEventLog()
			c.write(s)
			report, err := Audit([]Job{c.job}, c.evacuations, s.events)
			So(err, ShouldBeNil)
			violations := strings.Join(report.Violations, "\n")
			if c.violation == "" {
				So(c.name+": "+violations, ShouldEqual, c.name+": ")
				continue
			}
			So(c.name+": "+violations, ShouldContainSubstring, c.violation)
			So(len(report.Violations), ShouldEqual, 1)
		}
	})
	Convey("Runs, ends and refusals are counted", t, func() {
		s := newEventLog()
		s.succeed("a", runKey(0, 0, 1))
		s.add(jobsworker.Event{Event: jobsworker.EventRunRefuse, Worker: "a", Run: runKey(0, 0, 2), Reason: "room"})
		report, err := Audit([]Job{single}, nil, s.events)
		So(err, ShouldBeNil)
		So([]any{report.Runs, report.Ends[jobs.EndDone], report.Refused["room"]}, ShouldResemble, []any{1, 1, 1})
	})
}
