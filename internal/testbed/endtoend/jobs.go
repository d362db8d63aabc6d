package endtoend

import (
	"encoding/json"
	"fmt"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/httpapi/jobsapi"
	"crosstide/internal/jobs"
	"crosstide/internal/testbed/jobsworker"
)

// The configuration of a scenario: one service and two queues.
const (
	Service  = "batch"
	Urgent   = "urgent" // the queue of higher priority
	Normal   = "normal"
	Attempts = 3 // of a task in either queue
)

// configOrder is the body of a request that replaces the configuration.
type configOrder struct {
	Base     uint64            `json:"base"`
	Queues   []jobsapi.Queue   `json:"queues"`
	Services []jobsapi.Service `json:"services"`
}

// configuration returns the body of a request that replaces version base with the scenario's configuration.
func configuration(base uint64) any {
	queue := func(name string, priority int) jobsapi.Queue {
		return jobsapi.Queue{Name: name, Service: Service, Priority: priority, Attempts: Attempts, Stretch: 1,
			Target: "1s", Timeout: "1h"}
	}
	return configOrder{Base: base, Services: []jobsapi.Service{{Name: Service}},
		Queues: []jobsapi.Queue{queue(Urgent, 0), queue(Normal, 5)}}
}

// Job is a job as a client submits it, with its program and expected state for the audit.
type Job struct {
	ID        string        `json:"id"`
	Queue     string        `json:"queue"`
	Payload   string        `json:"payload"`
	Times     *Times        `json:"times,omitempty"`
	Steps     []Step        `json:"steps"`
	WantState jobs.JobState `json:"-"` // expected at the end of the scenario
	// AcceptedAt is when its submission was acknowledged; CancelledAt is when its cancellation was sent, if it was.
	AcceptedAt  time.Time          `json:"-"`
	CancelledAt time.Time          `json:"-"`
	Program     jobsworker.Program `json:"-"`
}

// Times is the schedule of the rounds of a job.
type Times struct {
	First  time.Time `json:"first"`
	Every  string    `json:"every"`
	Rounds int       `json:"rounds"`
}

// Step is a step of a job as a client submits it.
type Step struct {
	Tasks         int    `json:"tasks"`
	MilliCPU      int    `json:"milli_cpu"`
	MemoryMB      int    `json:"memory_mb"`
	GPUs          int    `json:"gpus,omitempty"`
	Estimate      string `json:"estimate,omitempty"`
	After         []int  `json:"after,omitempty"`
	Label         string `json:"label,omitempty"`
	Near          string `json:"near,omitempty"`
	MostPerWorker int    `json:"most_per_worker,omitempty"`
	Checkpoints   bool   `json:"checkpoints,omitempty"`
	Gang          bool   `json:"gang,omitempty"`
	OneRack       bool   `json:"one_rack,omitempty"`
	Speculative   bool   `json:"speculative,omitempty"`
	LongRunning   bool   `json:"lasting,omitempty"`
}

// spec returns the job as crosstide parses it.
func (j Job) spec() (jobs.Spec, error) {
	body, err := json.Marshal(j)
	if err != nil {
		return jobs.Spec{}, errs.Wrap(err, errs.Internal, "encode job %s", j.ID)
	}
	spec, _, err := jobsapi.ParseJob(body)
	return spec, errs.Pass(err, "job %s", j.ID)
}

// smallStep returns a step of equal tasks with small needs.
func smallStep(tasks int) Step {
	return Step{Tasks: tasks, MilliCPU: 200, MemoryMB: 32, Estimate: "100ms"}
}

// with returns a copy of the step to which change was applied.
func (s Step) with(change func(*Step)) Step {
	change(&s)
	return s
}

// newJob returns a job whose tasks all run program, which is its payload.
func newJob(id, queue string, wantState jobs.JobState, program jobsworker.Program, steps ...Step) Job {
	payload, err := json.Marshal(program)
	if err != nil {
		panic("encode program: " + err.Error()) // a struct of numbers always encodes
	}
	return Job{ID: id, Queue: queue, Payload: string(payload), Steps: steps, WantState: wantState, Program: program}
}

// bulkJob returns low-priority work that fills the workers and writes checkpoints: more urgent work preempts it.
func bulkJob(workers int) Job {
	step := Step{Tasks: 4 * workers, MilliCPU: 1000, MemoryMB: 64, Estimate: "4s", Checkpoints: true}
	return newJob("bulk", Normal, jobs.Succeeded, jobsworker.Program{MS: 4000, SaveMS: 100}, step)
}

// longRunningJob returns a job that runs until it is cancelled.
func longRunningJob() Job {
	step := smallStep(1).with(func(s *Step) { s.LongRunning = true })
	return newJob("lasting", Urgent, jobs.Cancelled, jobsworker.Program{MS: -1}, step)
}

// mixedJobs returns a job of every kind that ends without being cancelled. The first round of the timed job is due at
// the time first.
func mixedJobs(first time.Time) []Job {
	quick, slow := jobsworker.Program{MS: 60}, jobsworker.Program{MS: 300}
	failing := func(ms, fails int) jobsworker.Program { return jobsworker.Program{MS: ms, Fails: fails} }
	succeeds := func(id string, program jobsworker.Program, steps ...Step) Job {
		return newJob(id, Urgent, jobs.Succeeded, program, steps...)
	}
	after := func(steps ...int) func(*Step) { return func(s *Step) { s.After = steps } }
	timed := succeeds("timed", quick, smallStep(2))
	timed.Times = &Times{First: first.UTC(), Every: "400ms", Rounds: 3}
	return []Job{
		newJob("plain", Normal, jobs.Succeeded, quick, smallStep(10)),
		succeeds("chain", quick, smallStep(4), smallStep(3).with(after(0)), smallStep(2).with(after(0, 1))),
		succeeds("gang", slow, smallStep(4).with(func(s *Step) { s.Gang, s.OneRack = true, true })),
		succeeds("gang-retried", failing(100, 1), smallStep(3).with(func(s *Step) { s.Gang = true })),
		succeeds("speculative", quick, smallStep(3).with(func(s *Step) { s.Speculative = true })),
		succeeds("labelled", quick, smallStep(4).with(func(s *Step) { s.Label = "ssd" })),
		succeeds("gpu", quick, smallStep(3).with(func(s *Step) { s.GPUs = 1 })),
		succeeds("near", quick, smallStep(3).with(func(s *Step) { s.Near = "r2" })),
		succeeds("apart", slow, smallStep(3).with(func(s *Step) { s.MostPerWorker = 1 })),
		succeeds("retried", failing(60, Attempts-1), smallStep(1)),
		newJob("hopeless", Urgent, jobs.Failed, failing(60, 1000), smallStep(1)),
		timed,
	}
}

// numberedJobs returns count small jobs with the IDs PREFIX-0, PREFIX-1, …
func numberedJobs(prefix string, count int) []Job {
	var numbered []Job
	for i := range count {
		id := fmt.Sprintf("%s-%d", prefix, i)
		numbered = append(numbered, newJob(id, Urgent, jobs.Succeeded, jobsworker.Program{MS: 60}, smallStep(2)))
	}
	return numbered
}
