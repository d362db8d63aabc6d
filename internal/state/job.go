package state

import (
	"encoding/json"
	"time"
)

// JobPhase is the phase of a job. Only the functions of transition.go change it.
type JobPhase string

// The phases of a job, in their order. The last three are terminal. The strings are stored and sent to clients.
const (
	JobAccepted  JobPhase = "accepted"  // in the inbox, not yet admitted by the scheduler
	JobRunning   JobPhase = "running"   // admitted: its tasks become due step by step
	JobStopping  JobPhase = "stopping"  // its outcome is fixed, some tasks still have handles
	JobDone      JobPhase = "done"      // every task succeeded
	JobFailed    JobPhase = "fault"     // a task failed after its retries
	JobCancelled JobPhase = "cancelled" // cancelled by a client; no task has a handle
)

// IsTerminal reports whether p is a final phase.
func (p JobPhase) IsTerminal() bool { return p == JobDone || p == JobFailed || p == JobCancelled }

// Spec is a job as its client submits it. Its JSON is the body of POST /v1/jobs.
type Spec struct {
	Key   string     `json:"key"`
	Team  string     `json:"team"`
	Queue string     `json:"queue"`
	Steps []StepSpec `json:"steps"`
}

// StepSpec is one step of a job: a number of identical tasks, which become due when the steps in After are done.
type StepSpec struct {
	Name        string          `json:"name"`
	Type        string          `json:"type"`
	After       []string        `json:"after,omitempty"` // names of the steps to wait for
	Tasks       int             `json:"tasks"`
	Cores       int             `json:"cores"` // of each task
	GPUs        int             `json:"gpus,omitempty"`
	Labels      Labels          `json:"labels,omitempty"`   // that a worker must have
	Retries     int             `json:"retries"`            // bounded by Bundle.RetriesFor
	Run         json.RawMessage `json:"run,omitempty"`      // sent to the worker with each start
	LongRunning bool            `json:"standing,omitempty"` // tasks run until the job is cancelled
	Gang        bool            `json:"gang,omitempty"`     // all tasks start together
}

// Job is the record of a job of the policy deployment.
type Job struct {
	Spec        Spec      `json:"spec"`
	Digest      string    `json:"digest"` // of the submitted body; distinguishes a repeated submission from another job
	Phase       JobPhase  `json:"phase"`
	Outcome     JobPhase  `json:"outcome,omitempty"` // the terminal phase to come; only in JobStopping
	Reason      string    `json:"reason,omitempty"`
	Seq         uint64    `json:"seq"` // order of submission
	SubmittedAt time.Time `json:"at"`
	EndedAt     time.Time `json:"ended,omitzero"`
	Tasks       [][]Task  `json:"tasks"` // by step, by task

	index jobIndex
}

// HandleCount returns the number of tasks of the job that have a handle.
func (j *Job) HandleCount() int { return j.index.handles }

// jobIndex is derived from a job's spec and tasks, so that no transition has to scan all tasks.
type jobIndex struct {
	remaining []int          // by step: tasks that are not done
	handles   int            // tasks with a handle
	steps     map[string]int // step name to position
}

func (j *Job) rebuildIndex() {
	j.index = jobIndex{remaining: make([]int, len(j.Tasks)), steps: make(map[string]int, len(j.Spec.Steps))}
	for i, step := range j.Spec.Steps {
		j.index.steps[step.Name] = i
	}
	for i, tasks := range j.Tasks {
		for k := range tasks {
			if tasks[k].Phase != TaskDone {
				j.index.remaining[i]++
			}
			if tasks[k].Phase.HasHandle() {
				j.index.handles++
			}
		}
	}
}

// isReady reports whether all steps that a step waits for are done.
func (j *Job) isReady(step *StepSpec) bool {
	for _, name := range step.After {
		if j.index.remaining[j.index.steps[name]] > 0 {
			return false
		}
	}
	return true
}

// isDone reports whether every task of every step is done.
func (j *Job) isDone() bool {
	for _, n := range j.index.remaining {
		if n > 0 {
			return false
		}
	}
	return true
}
