// Package query reads the replicated state.
package query

import (
	"sort"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/state"
)

// JobView is a job as clients see it. Its JSON is the answer of GET /v1/jobs/{key}.
type JobView struct {
	Key        string         `json:"key"`
	Team       string         `json:"team,omitempty"`
	Queue      string         `json:"queue,omitempty"`
	State      state.JobPhase `json:"state"`
	Reason     string         `json:"reason,omitempty"`
	WaitReason string         `json:"waits,omitempty"` // why bundle or balance let nothing of it start
	Submitted  time.Time      `json:"submitted,omitzero"`
	Ended      time.Time      `json:"ended,omitzero"`
	Steps      []StepView     `json:"steps,omitempty"`
}

// StepView counts the tasks of a step by where they stand.
type StepView struct {
	Name        string `json:"name"`
	Type        string `json:"type"`
	Tasks       int    `json:"tasks"`
	Waiting     int    `json:"waiting,omitempty"`
	Due         int    `json:"due,omitempty"`
	Assigned    int    `json:"held,omitempty"`
	Running     int    `json:"running,omitempty"`
	Unconfirmed int    `json:"doubtful,omitempty"`
	Done        int    `json:"done,omitempty"`
	Failed      int    `json:"spent,omitempty"`
	Skipped     int    `json:"skipped,omitempty"`
	Failures    int    `json:"faults,omitempty"`
	Lost        int    `json:"lost,omitempty"`
	Reason      string `json:"reason,omitempty"` // of the newest failure of a task that is not done
}

// Job gives a job, or what its tombstone still tells; errs.Unknown if the store has neither.
func Job(s *state.State, key string) (JobView, error) {
	if j := s.Jobs[key]; j != nil {
		v := jobView(s, j)
		if v.WaitReason == "" {
			v.WaitReason = waitsBehindReason(s, j)
		}
		return v, nil
	}
	if t := s.Tombstones[key]; t != nil {
		return JobView{Key: key, Team: t.Team, State: t.Phase, Reason: t.Reason, Ended: t.EndedAt}, nil
	}
	return JobView{}, errs.Field(errs.Unknown, "key", "no job %q", key)
}

func jobView(s *state.State, j *state.Job) JobView {
	v := JobView{Key: j.Spec.Key, Team: j.Spec.Team, Queue: j.Spec.Queue, State: j.Phase, Reason: j.Reason,
		Submitted: j.SubmittedAt, Ended: j.EndedAt, Steps: make([]StepView, len(j.Spec.Steps))}
	if !j.Phase.IsTerminal() && j.Phase != state.JobStopping {
		if v.WaitReason = s.WaitReason(&j.Spec); v.WaitReason == "" {
			v.WaitReason = s.UnpaidReason(j)
		}
	}
	for i, step := range j.Spec.Steps {
		sv := &v.Steps[i]
		sv.Name, sv.Type, sv.Tasks = step.Name, step.Type, step.Tasks
		taskCounts := map[state.TaskPhase]*int{
			state.TaskWaiting: &sv.Waiting, state.TaskDue: &sv.Due, state.TaskAssigned: &sv.Assigned,
			state.TaskRunning: &sv.Running, state.TaskUnconfirmed: &sv.Unconfirmed, state.TaskDone: &sv.Done,
			state.TaskFailed: &sv.Failed, state.TaskSkipped: &sv.Skipped,
		}
		for k := range j.Tasks[i] {
			t := &j.Tasks[i][k]
			*taskCounts[t.Phase]++
			sv.Failures += t.Failures
			sv.Lost += t.Lost
			if t.Reason != "" && t.Phase != state.TaskDone {
				sv.Reason = t.Reason
			}
		}
	}
	return v
}

// Jobs gives the jobs of a team ("" any) in a state ("" any) with keys after `after`, in order of keys, at most
// limit; more tells whether there are others.
func Jobs(s *state.State, team string, phase state.JobPhase, after string, limit int) (jobs []JobView, more bool) {
	keys := make([]string, 0, 64)
	for key, j := range s.Jobs {
		if key > after && (team == "" || j.Spec.Team == team) && (phase == "" || j.Phase == phase) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	if more = len(keys) > limit; more {
		keys = keys[:limit]
	}
	for _, key := range keys {
		v := jobView(s, s.Jobs[key])
		v.Steps = nil
		jobs = append(jobs, v)
	}
	return jobs, more
}

// Counts counts what is in the store.
type Counts struct {
	Jobs, Inbox, Tombstones, Handles, Workers int
	RunningCounts                             map[string]int
}

// Count gives the Figures of s.
func Count(s *state.State) Counts {
	return Counts{len(s.Jobs), len(s.Inbox), len(s.Tombstones), len(s.Handles), len(s.Workers), s.RunningCounts()}
}

// WorkerView is a minion with what is out on it.
type WorkerView struct {
	state.Worker
	RunCount  int `json:"tickets"`
	UsedCores int `json:"used_cores"`
	UsedGPUs  int `json:"used_gpus"`
}

// Workers gives every minion in order of names.
func Workers(s *state.State) []WorkerView {
	out := make([]WorkerView, 0, len(s.Workers))
	for _, name := range s.WorkerNames() {
		r := s.UsageOf(name)
		out = append(out, WorkerView{*s.Workers[name], len(r.Handles), r.Cores, r.GPUs})
	}
	return out
}
