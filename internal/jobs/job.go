package jobs

import "time"

// JobState is the state of a job. Only Table.setState changes it.
type JobState string

// The states of a job. The last three are terminal. The strings are stored.
const (
	Queued    JobState = "queued"  // none of its tasks was started yet
	Running   JobState = "running" // from the first start on
	Succeeded JobState = "succeeded"
	Failed    JobState = "failed"    // a task failed as often as the queue allows
	Cancelled JobState = "cancelled" // by its client
)

// IsTerminal reports whether a job stays in the state.
func (s JobState) IsTerminal() bool { return s == Succeeded || s == Failed || s == Cancelled }

// Spec is a job as its client submitted it.
type Spec struct {
	ID       string        `json:"id"`
	Queue    string        `json:"q"`
	Payload  string        `json:"p,omitempty"` // handed to the worker with each start
	Steps    []Step        `json:"s"`
	Rounds   int           `json:"k,omitempty"` // 0: once, at once; else the number of times the steps are run
	FirstRun time.Time     `json:"f,omitzero"`  // when round 0 is due
	Interval time.Duration `json:"i,omitempty"` // round k is due at FirstRun + k*Interval
}

// Step is one step of a job: Count equal tasks.
type Step struct {
	Count         int           `json:"n"`
	Needs         Resources     `json:"r"`            // of each task
	Estimate      time.Duration `json:"e,omitempty"`  // rough guess of how long a task takes
	After         []int         `json:"a,omitempty"`  // earlier steps, counted from 0, that must be done first
	Label         string        `json:"l,omitempty"`  // that the worker must have
	PreferredRack string        `json:"d,omitempty"`  // that has the data; elsewhere tasks take longer
	MaxPerWorker  int           `json:"x,omitempty"`  // most tasks of the step (of one round) on a worker; 0: no bound
	Checkpoints   bool          `json:"k,omitempty"`  // tasks save their progress
	Gang          bool          `json:"gg,omitempty"` // all tasks of a run start together and end together
	SameRack      bool          `json:"sr,omitempty"` // a gang is faster in one rack
	Speculative   bool          `json:"sp,omitempty"` // copies may run side by side
	LongRunning   bool          `json:"ls,omitempty"` // tasks run until the job is cancelled
}

// Job is the record of a job.
type Job struct {
	Spec       Spec      `json:"spec"`   // without payload and steps once Rounds is nil
	Digest     string    `json:"digest"` // of the submission: tells a repeated one from another job
	State      JobState  `json:"state"`
	Sequence   uint64    `json:"seq"` // order of acceptance
	AcceptedAt time.Time `json:"at"`
	EndedAt    time.Time `json:"ended,omitzero"`

	// Rounds holds the tasks by round, step, index; nil once the job is terminal and has no handle.
	Rounds [][][]Task `json:"rounds,omitempty"`

	index jobIndex
}

// newRounds returns the tasks of a job, none of them started.
func newRounds(spec *Spec) [][][]Task {
	rounds := make([][][]Task, max(1, spec.Rounds))
	for round := range rounds {
		rounds[round] = make([][]Task, len(spec.Steps))
		for step := range spec.Steps {
			rounds[round][step] = make([]Task, spec.Steps[step].Count)
		}
	}
	return rounds
}

// members returns the tasks that start and end together with a task: of a gang all of the step, else it alone.
func (j *Job) members(ref TaskRef) []Task {
	tasks := j.Rounds[ref.Round][ref.Step]
	if j.Spec.Steps[ref.Step].Gang {
		return tasks
	}
	return tasks[ref.Index : ref.Index+1]
}
