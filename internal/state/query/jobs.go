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
	WaitReason string         `json:"waits,omitempty"` // why the bundle or the balance keeps its tasks from starting
	Submitted  time.Time      `json:"submitted,omitzero"`
	Ended      time.Time      `json:"ended,omitzero"`
	Steps      []StepView     `json:"steps,omitempty"`
}

// StepView counts the tasks of a step by their phases.
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
	Failures    int    `json:"faults,omitempty"` // failed runs of all tasks
	Lost        int    `json:"lost,omitempty"`   // runs of all tasks proved dead without a reported end
	Reason      string `json:"reason,omitempty"` // Task.Reason of the last task that has one and is not done
}

// Job returns the view of a job or of its tombstone. Failure: Unknown (the state has neither).
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

// Jobs returns the jobs of a team ("": any) in a phase ("": any) with keys above after, sorted by key and without their
// steps. It returns at most limit jobs; more reports whether others follow.
func Jobs(
	s *state.State, team string, phase state.JobPhase, after string, limit int,
) (jobs []JobView, more bool) {
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

func jobView(s *state.State, job *state.Job) JobView {
	view := JobView{
		Key: job.Spec.Key, Team: job.Spec.Team, Queue: job.Spec.Queue, State: job.Phase, Reason: job.Reason,
		Submitted: job.SubmittedAt, Ended: job.EndedAt, Steps: make([]StepView, len(job.Spec.Steps)),
	}
	if !job.Phase.IsTerminal() && job.Phase != state.JobStopping {
		if view.WaitReason = s.WaitReason(&job.Spec); view.WaitReason == "" {
			view.WaitReason = s.UnpaidReason(job)
		}
	}
	for i := range job.Spec.Steps {
		view.Steps[i] = stepView(&job.Spec.Steps[i], job.Tasks[i])
	}
	return view
}

func stepView(step *state.StepSpec, tasks []state.Task) StepView {
	view := StepView{Name: step.Name, Type: step.Type, Tasks: step.Tasks}
	taskCounts := map[state.TaskPhase]*int{
		state.TaskWaiting: &view.Waiting, state.TaskDue: &view.Due, state.TaskAssigned: &view.Assigned,
		state.TaskRunning: &view.Running, state.TaskUnconfirmed: &view.Unconfirmed, state.TaskDone: &view.Done,
		state.TaskFailed: &view.Failed, state.TaskSkipped: &view.Skipped,
	}
	for i := range tasks {
		t := &tasks[i]
		*taskCounts[t.Phase]++
		view.Failures += t.Failures
		view.Lost += t.Lost
		if t.Reason != "" && t.Phase != state.TaskDone {
			view.Reason = t.Reason
		}
	}
	return view
}
