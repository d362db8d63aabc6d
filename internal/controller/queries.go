package controller

import (
	"context"
	"slices"
	"strings"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/jobs"
	"crosstide/internal/rpc"
	"crosstide/internal/state/command"
)

// ShowCall asks for a job by its ID alone.
type ShowCall struct {
	ID string `json:"id"`
}

// StepView tells how far the tasks of one step are, all rounds together.
type StepView struct {
	Tasks    int `json:"tasks"`
	Done     int `json:"done"`
	Running  int `json:"running"` // tasks with a run that is not over
	Failures int `json:"failures,omitempty"`
}

// JobView is a job as its client sees it. Steps is empty once the job is over and nothing of it runs.
type JobView struct {
	ID       string        `json:"id"`
	Queue    string        `json:"queue"`
	State    jobs.JobState `json:"state"`
	Accepted time.Time     `json:"accepted"`
	Ended    time.Time     `json:"ended,omitzero"`
	Steps    []StepView    `json:"steps,omitempty"`
}

// CancelCall cancels a job by its ID alone.
type CancelCall struct {
	ID string `json:"id"`
}

// ListCall asks for jobs in the order of their IDs; an empty filter takes all.
type ListCall struct {
	Queue string        `json:"queue,omitempty"`
	State jobs.JobState `json:"state,omitempty"`
	After string        `json:"after,omitempty"` // only IDs above it
	Limit int           `json:"limit"`
}

// JobSummary is a job in a list.
type JobSummary struct {
	ID       string        `json:"id"`
	Queue    string        `json:"queue"`
	State    jobs.JobState `json:"state"`
	Accepted time.Time     `json:"accepted"`
	Ended    time.Time     `json:"ended,omitzero"`
}

// ListAnswer is one page of a list. More: there are jobs after the last one.
type ListAnswer struct {
	Jobs []JobSummary `json:"jobs"`
	More bool         `json:"more,omitempty"`
}

// QueuesCall asks for the queues of the configuration.
type QueuesCall struct{}

// QueueView is one queue and how many of its jobs wait.
type QueueView struct {
	Name     string `json:"name"`
	Service  string `json:"service"`
	Priority int    `json:"priority"`
	Waiting  int    `json:"waiting"`
}

// QueuesAnswer lists the queues in the order of the configuration.
type QueuesAnswer struct {
	Queues []QueueView `json:"queues"`
}

// WorkersCall asks for the workers.
type WorkersCall struct{}

// WorkerView is one worker and what the runs on it take.
type WorkerView struct {
	jobs.Worker
	Used jobs.Resources `json:"used"`
	Runs int            `json:"runs"`
}

// WorkersAnswer lists the workers by ID, and the zones that are evacuated by name.
type WorkersAnswer struct {
	Workers   []WorkerView `json:"workers"`
	Evacuated []string     `json:"evacuated"`
}

// The calls that find jobs by ID alone. Failures are those of the other calls; errs.Unknown: no such job.
var (
	ShowPair    = rpc.Endpoint[ShowCall, JobView]{Path: "/c/show"}
	CancelPair  = rpc.Endpoint[CancelCall, JobAnswer]{Path: "/c/cancel"}
	ListPair    = rpc.Endpoint[ListCall, ListAnswer]{Path: "/c/list"}
	QueuesPair  = rpc.Endpoint[QueuesCall, QueuesAnswer]{Path: "/c/queues"}
	WorkersPair = rpc.Endpoint[WorkersCall, WorkersAnswer]{Path: "/c/workers"}
)

// Show tells a job's state and how far it is.
func (l *Leader) Show(_ context.Context, call ShowCall) (view JobView, err error) {
	_, err = l.readTable(func(table *jobs.Table) error {
		job := table.Jobs[call.ID]
		if job == nil {
			return errs.Field(errs.Unknown, "id", "no job %q", call.ID)
		}
		view = viewOf(job)
		return nil
	})
	return view, errs.Pass(err, "show")
}

func viewOf(job *jobs.Job) JobView {
	view := JobView{ID: job.Spec.ID, Queue: job.Spec.Queue, State: job.State, Accepted: job.AcceptedAt, Ended: job.EndedAt}
	view.Steps = make([]StepView, len(job.Spec.Steps))
	for _, round := range job.Rounds {
		for step, tasks := range round {
			for _, task := range tasks {
				view.Steps[step].count(task)
			}
		}
	}
	return view
}

func (v *StepView) count(task jobs.Task) {
	v.Tasks++
	v.Failures += task.Failures
	if task.Done {
		v.Done++
	}
	if len(task.Runs) > 0 {
		v.Running++
	}
}

// Cancel ends a job.
func (l *Leader) Cancel(ctx context.Context, call CancelCall) (JobAnswer, error) {
	term, err := l.readTable(func(table *jobs.Table) error {
		if table.Jobs[call.ID] == nil {
			return errs.Field(errs.Unknown, "id", "no job %q", call.ID)
		}
		return nil
	})
	if err != nil {
		return JobAnswer{}, errs.Pass(err, "cancel")
	}
	_, result, err := l.opt.Store.ProposeIn(ctx, term, &command.JobCancel{Cancel: jobs.Cancel{ID: call.ID, At: l.clock.Wall()}})
	state, _ := result.(jobs.JobState)
	return JobAnswer{State: state}, errs.Pass(err, "cancel")
}

// List gives one page of jobs.
func (l *Leader) List(_ context.Context, call ListCall) (ListAnswer, error) {
	answer := ListAnswer{Jobs: []JobSummary{}}
	_, err := l.readTable(func(table *jobs.Table) error {
		for id, job := range table.Jobs {
			if call.matches(job) {
				answer.Jobs = append(answer.Jobs, JobSummary{ID: id, Queue: job.Spec.Queue, State: job.State,
					Accepted: job.AcceptedAt, Ended: job.EndedAt})
			}
		}
		return nil
	})
	slices.SortFunc(answer.Jobs, func(a, b JobSummary) int { return strings.Compare(a.ID, b.ID) })
	if limit := max(call.Limit, 0); len(answer.Jobs) > limit {
		answer.Jobs, answer.More = answer.Jobs[:limit], true
	}
	return answer, errs.Pass(err, "list")
}

func (c ListCall) matches(job *jobs.Job) bool {
	return job.Spec.ID > c.After && (c.Queue == "" || c.Queue == job.Spec.Queue) && (c.State == "" || c.State == job.State)
}

// Queues lists the queues.
func (l *Leader) Queues(context.Context, QueuesCall) (QueuesAnswer, error) {
	answer := QueuesAnswer{Queues: []QueueView{}}
	_, err := l.readTable(func(table *jobs.Table) error {
		for _, queue := range table.Config.Queues {
			answer.Queues = append(answer.Queues, QueueView{Name: queue.Name, Service: queue.Service, Priority: queue.Priority,
				Waiting: table.QueuedCount(queue.Name)})
		}
		return nil
	})
	return answer, errs.Pass(err, "queues")
}

// Workers lists the workers.
func (l *Leader) Workers(context.Context, WorkersCall) (WorkersAnswer, error) {
	answer := WorkersAnswer{Workers: []WorkerView{}, Evacuated: []string{}}
	_, err := l.readTable(func(table *jobs.Table) error {
		for id, worker := range table.Workers {
			answer.Workers = append(answer.Workers, WorkerView{Worker: *worker, Used: table.Used(id), Runs: table.RunCount(id)})
		}
		for zone := range table.Evacuated {
			answer.Evacuated = append(answer.Evacuated, zone)
		}
		return nil
	})
	slices.SortFunc(answer.Workers, func(a, b WorkerView) int { return strings.Compare(a.ID, b.ID) })
	slices.Sort(answer.Evacuated)
	return answer, errs.Pass(err, "workers")
}

// Show asks for a job.
func (c *Client) Show(ctx context.Context, call ShowCall) (JobView, error) {
	answer, err := callPair(ctx, c, ShowPair, call, query{hedge: true})
	return answer, errs.Pass(err, "show")
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, call CancelCall) (JobAnswer, error) {
	answer, err := callPair(ctx, c, CancelPair, call, query{mutates: true})
	return answer, errs.Pass(err, "cancel")
}

// List asks for jobs.
func (c *Client) List(ctx context.Context, call ListCall) (ListAnswer, error) {
	answer, err := callPair(ctx, c, ListPair, call, query{hedge: true, large: true})
	return answer, errs.Pass(err, "list")
}

// Queues asks for the queues.
func (c *Client) Queues(ctx context.Context, call QueuesCall) (QueuesAnswer, error) {
	answer, err := callPair(ctx, c, QueuesPair, call, query{hedge: true})
	return answer, errs.Pass(err, "queues")
}

// Workers asks for the workers.
func (c *Client) Workers(ctx context.Context, call WorkersCall) (WorkersAnswer, error) {
	answer, err := callPair(ctx, c, WorkersPair, call, query{hedge: true, large: true})
	return answer, errs.Pass(err, "workers")
}
