package controller

import (
	"context"
	"slices"
	"strings"
	"time"

	"crosstide/internal/controller/scheduler"
	"crosstide/internal/errs"
	"crosstide/internal/jobs"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

// readTable reads the job table if this node leads with its lease in force: then it has every commit. Failures: NotLeader with
// the leader's address as hint, Unavailable.
func (l *Leader) readTable(read func(*jobs.Table) error) (term uint64, err error) {
	term, hasLease := l.opt.Store.LeaderTerm(l.clock.Now())
	if term == 0 {
		leader, _ := l.opt.Store.Members()
		err := errs.New(errs.NotLeader, "this node does not lead")
		errs.Of(err).Hint = leader
		return 0, err
	}
	if !hasLease {
		return term, errs.New(errs.Unavailable, "the lead cannot be confirmed now")
	}
	l.opt.Store.View(func(s *state.State) { err = read(s.JobTable) })
	return term, errs.Pass(err, "look")
}

// queueAt finds the queue of a call.
func queueAt(table *jobs.Table, at Location) (*jobs.Queue, error) {
	if table.Config.Version == 0 {
		return nil, errs.New(errs.Unavailable, "there is no configuration yet")
	}
	q := table.QueueFor(at.Host, at.Path)
	if q == nil {
		return nil, errs.New(errs.Unknown, "no queue at %s%s", at.Host, at.Path)
	}
	return q, nil
}

// Submit accepts a job. A spec that names its queue needs no place.
func (l *Leader) Submit(ctx context.Context, call SubmitCall) (SubmitAnswer, error) {
	term, err := l.readTable(func(table *jobs.Table) error {
		if call.Spec.Queue != "" && table.Config.Version > 0 {
			return nil // the table refuses a queue that it does not have
		}
		q, err := queueAt(table, call.Location)
		if err != nil {
			return errs.Pass(err, "submit")
		}
		call.Spec.Queue = q.Name
		return nil
	})
	if err != nil {
		return SubmitAnswer{}, errs.Pass(err, "submit")
	}
	change := command.JobSubmit{Submit: jobs.Submit{Spec: call.Spec, Digest: call.Digest, At: l.clock.Wall()}}
	_, answer, err := l.opt.Store.ProposeIn(ctx, term, &change)
	state, _ := answer.(jobs.JobState)
	return SubmitAnswer{State: state}, errs.Pass(err, "submit")
}

// Job tells a job's state, or cancels it.
func (l *Leader) Job(ctx context.Context, call JobCall) (JobAnswer, error) {
	var answer JobAnswer
	id := call.Location.Path[strings.LastIndexByte(call.Location.Path, '/')+1:]
	term, err := l.readTable(func(table *jobs.Table) error {
		if _, err := queueAt(table, call.Location); err != nil {
			return errs.Pass(err, "job")
		}
		if j := table.Jobs[id]; j != nil {
			answer.State = j.State
		} else {
			answer.Gone = true
		}
		return nil
	})
	if err != nil || !call.Cancel || answer.Gone {
		return answer, errs.Pass(err, "job")
	}
	_, result, err := l.opt.Store.ProposeIn(ctx, term, &command.JobCancel{Cancel: jobs.Cancel{ID: id, At: l.clock.Wall()}})
	if errs.Is(err, errs.Unknown) {
		return JobAnswer{Gone: true}, nil
	}
	answer.State, _ = result.(jobs.JobState)
	return answer, errs.Pass(err, "cancel")
}

// Count tells how many jobs of a queue wait.
func (l *Leader) Count(_ context.Context, call CountCall) (answer CountAnswer, err error) {
	_, err = l.readTable(func(table *jobs.Table) error {
		q, err := queueAt(table, call.Location)
		if err == nil {
			answer.Waiting = table.QueuedCount(q.Name)
		}
		return errs.Pass(err, "count")
	})
	return answer, errs.Pass(err, "count")
}

// Config gives the configuration in force.
func (l *Leader) Config(context.Context, ConfigCall) (config jobs.Config, err error) {
	_, err = l.readTable(func(table *jobs.Table) error {
		config = table.Config
		config.Queues, config.Services = slices.Clone(config.Queues), slices.Clone(config.Services)
		return nil
	})
	return config, errs.Pass(err, "configuration")
}

// Configure changes the configuration.
func (l *Leader) Configure(ctx context.Context, call jobs.Configure) (ConfigureAnswer, error) {
	return ConfigureAnswer{}, errs.Pass(l.propose(ctx, &command.JobConfigure{Configure: call}), "configure")
}

// Evacuate starts or withdraws the evacuation of a zone.
func (l *Leader) Evacuate(ctx context.Context, call jobs.Evacuate) (EvacuateAnswer, error) {
	return EvacuateAnswer{}, errs.Pass(l.propose(ctx, &command.JobEvacuate{Evacuate: call}), "evacuate")
}

func (l *Leader) propose(ctx context.Context, c command.Command) error {
	term, err := l.readTable(func(*jobs.Table) error { return nil })
	if err != nil {
		return errs.Pass(err, "change")
	}
	_, _, err = l.opt.Store.ProposeIn(ctx, term, c)
	return errs.Pass(err, "change")
}

// Heartbeat takes a worker's heartbeat. What it changes is durable, and known to the scheduler, before it is answered.
func (l *Leader) Heartbeat(ctx context.Context, call HeartbeatCall) (HeartbeatAnswer, error) {
	answer := HeartbeatAnswer{HeartbeatAddress: l.heartbeatAddress(call.Worker.ID)}
	worker := call.Worker
	changed := false
	term, err := l.readTable(func(table *jobs.Table) error {
		known := table.Workers[worker.ID]
		if call.Leaving {
			worker = leavingWorker(known, worker.ID)
		}
		changed = known == nil || !sameWorker(known, &worker)
		return nil
	})
	if err != nil {
		return HeartbeatAnswer{}, errs.Pass(err, "heartbeat")
	}
	if !l.isNewestHeartbeat(worker.ID, call) {
		return answer, nil
	}
	if changed {
		_, _, err := l.opt.Store.ProposeIn(ctx, term, &command.JobRegister{Register: jobs.Register{Workers: []jobs.Worker{worker}}})
		if err != nil {
			return HeartbeatAnswer{}, errs.Pass(err, "heartbeat")
		}
	}
	if !call.Leaving {
		l.enqueueEvent(func(c *scheduler.Core, now time.Duration) { c.Heartbeat(now, worker.ID, call.Clock, call.Remaining) })
	}
	if l.opt.Mailboxes != nil && call.Listing != nil {
		hasLease := func() bool { return l.hasLease(term) }
		answer.Orders = l.opt.Mailboxes.Exchange(ctx, worker.ID, call.Sequence, term, *call.Listing, hasLease)
	}
	return answer, nil
}

// leavingWorker is the record of a worker that says that it ends. One that is not known is recorded too: its first heartbeat
// may have been lost with a leader, or come late, and must not make it pass for a worker that takes starts.
func leavingWorker(known *jobs.Worker, id string) jobs.Worker {
	worker := jobs.Worker{ID: id}
	if known != nil {
		worker = *known
	}
	worker.Left = true
	return worker
}

// isNewestHeartbeat tells whether a heartbeat is newer than those taken before. One that announces the worker's end always is.
func (l *Leader) isNewestHeartbeat(id string, call HeartbeatCall) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if call.Leaving {
		return true
	}
	if call.Sequence < l.heartbeatSequences[id] {
		return false
	}
	l.heartbeatSequences[id] = call.Sequence
	return true
}

func sameWorker(known, reported *jobs.Worker) bool {
	return known.Address == reported.Address && known.Service == reported.Service && known.Zone == reported.Zone &&
		known.Rack == reported.Rack && known.Capacity == reported.Capacity && slices.Equal(known.Labels, reported.Labels) &&
		(known.Draining || !reported.Draining) && (known.Left || !reported.Left)
}

// Topology tells the leader and the members of the core, as this node knows them.
func (l *Leader) Topology(context.Context, TopologyCall) (TopologyAnswer, error) {
	leader, members := l.opt.Store.Members()
	if term, hasLease := l.opt.Store.LeaderTerm(l.clock.Now()); term != 0 && !hasLease {
		leader = "" // its own lead cannot be confirmed: nobody is to count on it
	}
	return TopologyAnswer{Leader: leader, Members: members}, nil
}
