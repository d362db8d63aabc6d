package controller

import (
	"context"
	"slices"
	"strings"

	"crosstide/internal/errs"
	"crosstide/internal/jobs"
	"crosstide/internal/state"
)

// readTable calls read with the job table, holding the store's lock. This node must lead with its lease in force, which
// guarantees that the table holds every committed change. It returns the term in which to propose commands that depend
// on the data read. The error is errs.NotLeader with the leader's address as hint, errs.Unavailable if leadership
// cannot be confirmed, or the error of read.
func (l *Leader) readTable(read func(*jobs.Table) error) (term uint64, err error) {
	term, hasLease := l.opt.Store.LeaderTerm(l.clock.Now())
	if term == 0 {
		leader, _ := l.opt.Store.Members()
		err := errs.New(errs.NotLeader, "this node is not the leader")
		errs.Of(err).Hint = leader
		return 0, err
	}
	if !hasLease {
		return term, errs.New(errs.Unavailable, "leadership cannot be confirmed")
	}
	l.opt.Store.View(func(s *state.State) { err = read(s.JobTable) })
	return term, errs.Pass(err, "read the job table")
}

// requireConfig fails with Unavailable before the first configuration.
func requireConfig(table *jobs.Table) error {
	if table.Config.Version == 0 {
		return errs.New(errs.Unavailable, "no configuration has been set")
	}
	return nil
}

// queueAt returns the queue that serves a location.
func queueAt(table *jobs.Table, at Location) (*jobs.Queue, error) {
	if err := requireConfig(table); err != nil {
		return nil, errs.Pass(err, "queue")
	}
	queue := table.QueueFor(at.Host, at.Path)
	if queue == nil {
		return nil, errs.New(errs.Unknown, "no queue serves %s%s", at.Host, at.Path)
	}
	return queue, nil
}

// jobByID returns the job with the given ID.
func jobByID(table *jobs.Table, id string) (*jobs.Job, error) {
	if job := table.Jobs[id]; job != nil {
		return job, nil
	}
	return nil, errs.Field(errs.Unknown, "id", "job %q does not exist", id)
}

// Count returns the number of a queue's waiting jobs.
func (l *Leader) Count(_ context.Context, call CountCall) (answer CountAnswer, err error) {
	_, err = l.readTable(func(table *jobs.Table) error {
		queue, err := queueAt(table, call.Location)
		if err == nil {
			answer.Waiting = table.QueuedCount(queue.Name)
		}
		return errs.Pass(err, "count")
	})
	return answer, errs.Pass(err, "count")
}

// Config returns the configuration in force.
func (l *Leader) Config(context.Context, ConfigCall) (config jobs.Config, err error) {
	_, err = l.readTable(func(table *jobs.Table) error {
		config = table.Config
		config.Queues, config.Services = slices.Clone(config.Queues), slices.Clone(config.Services)
		return nil
	})
	return config, errs.Pass(err, "configuration")
}

// Show returns a job's state and the progress of its steps.
func (l *Leader) Show(_ context.Context, call ShowCall) (view JobView, err error) {
	_, err = l.readTable(func(table *jobs.Table) error {
		job, err := jobByID(table, call.ID)
		if err == nil {
			view = viewOf(table, job)
		}
		return errs.Pass(err, "show")
	})
	return view, errs.Pass(err, "show")
}

func viewOf(table *jobs.Table, job *jobs.Job) JobView {
	view := JobView{
		ID: job.Spec.ID, Queue: table.QueueName(job), State: job.State, Accepted: job.AcceptedAt, Ended: job.EndedAt,
		Steps: make([]StepView, len(job.Spec.Steps)),
	}
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
	if len(task.Handles) > 0 {
		v.Running++
	}
}

// List returns one page of jobs.
func (l *Leader) List(_ context.Context, call ListCall) (ListAnswer, error) {
	answer := ListAnswer{Jobs: []JobSummary{}}
	_, err := l.readTable(func(table *jobs.Table) error {
		for id, job := range table.Jobs {
			queue := table.QueueName(job)
			if call.matches(job, queue) {
				answer.Jobs = append(answer.Jobs, JobSummary{
					ID: id, Queue: queue, State: job.State, Accepted: job.AcceptedAt, Ended: job.EndedAt,
				})
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

func (c ListCall) matches(job *jobs.Job, queue string) bool {
	return job.Spec.ID > c.After && (c.Queue == "" || c.Queue == queue) &&
		(c.State == "" || c.State == job.State)
}

// Queues lists the queues in the order of the configuration.
func (l *Leader) Queues(context.Context, QueuesCall) (QueuesAnswer, error) {
	answer := QueuesAnswer{Queues: []QueueView{}}
	_, err := l.readTable(func(table *jobs.Table) error {
		for _, queue := range table.Config.Queues {
			answer.Queues = append(answer.Queues, QueueView{
				Name: queue.Name, Service: queue.Service, Priority: queue.Priority,
				Waiting: table.QueuedCount(queue.Name),
			})
		}
		return nil
	})
	return answer, errs.Pass(err, "queues")
}

// Zone returns the state of a zone. No order is applied to a zone that was never named in one: its revision is 0.
func (l *Leader) Zone(_ context.Context, call ZoneCall) (answer ZoneAnswer, err error) {
	_, err = l.readTable(func(table *jobs.Table) error {
		answer = ZoneAnswer{Evacuated: table.Evacuated[call.Zone], Revision: table.ZoneRevisions[call.Zone]}
		return nil
	})
	return answer, errs.Pass(err, "zone")
}

// Workers lists the workers, sorted by ID, and the evacuated zones, sorted by name.
func (l *Leader) Workers(context.Context, WorkersCall) (WorkersAnswer, error) {
	answer := WorkersAnswer{Workers: []WorkerView{}, Evacuated: []string{}}
	_, err := l.readTable(func(table *jobs.Table) error {
		for id, worker := range table.Workers {
			view := WorkerView{Worker: *worker, Used: table.Used(id), Runs: table.RunCount(id)}
			answer.Workers = append(answer.Workers, view)
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

// Topology returns the leader and the members of the store known to this node, and the limits of the configuration if
// it is the leader.
func (l *Leader) Topology(context.Context, TopologyCall) (TopologyAnswer, error) {
	leader, members := l.opt.Store.Members()
	if term, hasLease := l.opt.Store.LeaderTerm(l.clock.Now()); term != 0 && !hasLease {
		leader = "" // without a valid lease, another node may already be the leader
	}
	answer := TopologyAnswer{Leader: leader, Members: members}
	_, _ = l.readTable(func(table *jobs.Table) error { // fails if this node is not the leader: no limits then
		answer.Limits = table.Config.Limits
		return nil
	})
	return answer, nil
}
