package state

import "time"

// TaskPhase is the phase of a task. Only State.SetTaskPhase and the functions beside it change it, and only as
// taskTransitions allows.
type TaskPhase string

// The phases of a task. The last three are terminal. The strings are stored.
const (
	TaskWaiting     TaskPhase = ""  // its step waits for others, or the job is in the inbox
	TaskDue         TaskPhase = "d" // may be assigned from Task.DueAt on
	TaskAssigned    TaskPhase = "h" // has a handle; its worker has not yet reported it as running
	TaskRunning     TaskPhase = "r" // reported as running
	TaskUnconfirmed TaskPhase = "?" // an answer about it was lost; its handle stays until it is proved dead
	TaskDone        TaskPhase = "e" // ended well
	TaskFailed      TaskPhase = "x" // ended in failure once more than its retries allow
	TaskSkipped     TaskPhase = "s" // never to run: the job was cancelled or has failed
)

// IsTerminal reports whether a task stays in the phase.
func (p TaskPhase) IsTerminal() bool { return p == TaskDone || p == TaskFailed || p == TaskSkipped }

// HasHandle reports whether a task in this phase has a handle.
func (p TaskPhase) HasHandle() bool {
	return p == TaskAssigned || p == TaskRunning || p == TaskUnconfirmed
}

// taskTransitions are the changes of a task's phase that exist; State.applyTaskPhase refuses all others. A due task
// becomes done when the end of its run is reported after its handle was released by a proof.
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
	Failures int       `json:"n,omitempty"` // ends in failure so far
	Lost     int       `json:"l,omitempty"` // handles proved dead without an end
	RunID    uint64    `json:"t,omitempty"` // of its newest run, also after the handle is released
	DueAt    time.Time `json:"d,omitzero"`  // store time from which it may start
	Reason   string    `json:"w,omitempty"` // of its newest failure
}

// TaskRef names a task: its job by key, its step and itself by position.
type TaskRef struct {
	Job  string `json:"j"`
	Step int    `json:"s"`
	Task int    `json:"k"`
}

// TaskOf finds a task and its job; nil if there is none.
func (s *State) TaskOf(ref TaskRef) (*Job, *Task) {
	j := s.Jobs[ref.Job]
	if j == nil || ref.Step < 0 || ref.Step >= len(j.Tasks) || ref.Task < 0 || ref.Task >= len(j.Tasks[ref.Step]) {
		return nil, nil
	}
	return j, &j.Tasks[ref.Step][ref.Task]
}
