package jobs

import "cmp"

// TaskRef names a task.
type TaskRef struct {
	Job   string `json:"j"`
	Round int    `json:"k,omitempty"`
	Step  int    `json:"s,omitempty"`
	Index int    `json:"i,omitempty"`
}

// RunKey names one run of a task.
type RunKey struct {
	Task   TaskRef `json:"t"`
	Number int     `json:"n"`
}

// Compare orders runs by job, round, step, index and number.
func (k RunKey) Compare(other RunKey) int {
	return cmp.Or(
		cmp.Compare(k.Task.Job, other.Task.Job),
		cmp.Compare(k.Task.Round, other.Task.Round),
		cmp.Compare(k.Task.Step, other.Task.Step),
		cmp.Compare(k.Task.Index, other.Task.Index),
		cmp.Compare(k.Number, other.Number),
	)
}

// Run is the durable handle of a run: recorded before its start order is sent, and kept until its end is reported or it
// is proved dead. Until then its task is not started again.
type Run struct {
	Number int    `json:"n"`
	Worker string `json:"w"` // worker ID
	Term   uint64 `json:"t"` // leadership term in which it was recorded: the fencing token of its start order
}

// Task is one task of a round.
type Task struct {
	Done       bool   `json:"d,omitempty"`
	LastRun    int    `json:"r,omitempty"`  // newest run number issued; numbers ascend and are never reused
	Failures   int    `json:"f,omitempty"`  // runs that ended failed; of a gang: counted at its first member
	FailedRun  int    `json:"fr,omitempty"` // of a gang's first member: the newest run number that counted as failed
	Checkpoint string `json:"k,omitempty"`  // newest saved progress
	Runs       []Run  `json:"h,omitempty"`  // handles; at most one
}

// findTask finds a task and its job; nil if there is none (any more).
func (t *Table) findTask(ref TaskRef) (*Job, *Task) {
	job := t.Jobs[ref.Job]
	if job == nil || ref.Round < 0 || ref.Round >= len(job.Rounds) {
		return nil, nil
	}
	steps := job.Rounds[ref.Round]
	if ref.Step < 0 || ref.Step >= len(steps) || ref.Index < 0 || ref.Index >= len(steps[ref.Step]) {
		return nil, nil
	}
	return job, &steps[ref.Step][ref.Index]
}
