package state

import "time"

// TaskPhase is the phase of a task. Only the functions of transition.go change it, and only as taskTransitions
// allows.
type TaskPhase string

// The phases of a task. The last three are terminal. The strings are stored.
const (
	TaskWaiting     TaskPhase = ""  // its step waits for others, or the job is in the inbox
	TaskDue         TaskPhase = "d" // may be assigned from Task.DueAt on
	TaskAssigned    TaskPhase = "h" // has a handle; its worker has not yet reported it as running
	TaskRunning     TaskPhase = "r" // reported as running
	TaskUnconfirmed TaskPhase = "?" // its start order or the answer was lost; the handle stays until a report or proof
	TaskDone        TaskPhase = "e" // succeeded
	TaskFailed      TaskPhase = "x" // failed more often than its retries allow
	TaskSkipped     TaskPhase = "s" // will not run: the job was cancelled or has failed
)

// IsTerminal reports whether p is a final phase.
func (p TaskPhase) IsTerminal() bool { return p == TaskDone || p == TaskFailed || p == TaskSkipped }

// HasHandle reports whether a task in this phase has a handle.
func (p TaskPhase) HasHandle() bool {
	return p == TaskAssigned || p == TaskRunning || p == TaskUnconfirmed
}

// taskTransitions lists the allowed changes of a task's phase; State.applyTaskPhase rejects all others. A due task
// becomes done if the success of its run is reported after a proof has released its handle.
var taskTransitions = map[TaskPhase][]TaskPhase{
	TaskWaiting:     {TaskDue, TaskSkipped},
	TaskDue:         {TaskAssigned, TaskDone, TaskSkipped},
	TaskAssigned:    {TaskRunning, TaskUnconfirmed, TaskDone, TaskDue, TaskFailed, TaskSkipped},
	TaskRunning:     {TaskUnconfirmed, TaskDone, TaskDue, TaskFailed, TaskSkipped},
	TaskUnconfirmed: {TaskRunning, TaskDone, TaskDue, TaskFailed, TaskSkipped},
}

// Task is one task of a step.
type Task struct {
	Phase    TaskPhase `json:"p,omitempty"`
	Failures int       `json:"n,omitempty"` // number of failed runs
	Lost     int       `json:"l,omitempty"` // number of runs proved dead without a reported end
	RunID    uint64    `json:"t,omitempty"` // of its newest run, kept after the handle is released
	DueAt    time.Time `json:"d,omitzero"`  // store time from which it may start
	Reason   string    `json:"w,omitempty"` // of its newest failed run, or of a newer lost run that has a reason
}

// TaskRef identifies a task by the key of its job, the position of its step and its own position in the step.
type TaskRef struct {
	Job  string `json:"j"`
	Step int    `json:"s"`
	Task int    `json:"k"`
}

// TaskOf returns the job and the task that ref identifies, or nil for both if the task does not exist.
func (s *State) TaskOf(ref TaskRef) (*Job, *Task) {
	j := s.Jobs[ref.Job]
	if j == nil || ref.Step < 0 || ref.Step >= len(j.Tasks) || ref.Task < 0 || ref.Task >= len(j.Tasks[ref.Step]) {
		return nil, nil
	}
	return j, &j.Tasks[ref.Step][ref.Task]
}
