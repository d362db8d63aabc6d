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

// look reads the job table if this node leads with its lease in force: then it has every commit. Failures: NotLeader with
// the leader's address as hint, Unavailable.
func (l *Leader) look(read func(*jobs.Table) error) (term uint64, err error) {
	term, held := l.opt.Store.LeaderTerm(l.clock.Now())
	if term == 0 {
		leader, _ := l.opt.Store.Members()
		err := errs.New(errs.NotLeader, "this node does not lead")
		errs.Of(err).Hint = leader
		return 0, err
	}
	if !held {
		return term, errs.New(errs.Unavailable, "the lead cannot be confirmed now")
	}
	l.opt.Store.View(func(s *state.State) { err = read(s.JobTable) })
	return term, errs.Pass(err, "look")
}

// locate finds the queue of a call.
func locate(table *jobs.Table, at Locate) (*jobs.Queue, error) {
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
	term, err := l.look(func(table *jobs.Table) error {
		if call.Spec.Queue != "" && table.Config.Version > 0 {
			return nil // the table refuses a queue that it does not have
		}
		q, err := locate(table, call.Locate)
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
	id := call.Locate.Path[strings.LastIndexByte(call.Locate.Path, '/')+1:]
	term, err := l.look(func(table *jobs.Table) error {
		if _, err := locate(table, call.Locate); err != nil {
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
	_, err = l.look(func(table *jobs.Table) error {
		q, err := locate(table, call.Locate)
		if err == nil {
			answer.Waiting = table.QueuedCount(q.Name)
		}
		return errs.Pass(err, "count")
	})
	return answer, errs.Pass(err, "count")
}

// Config gives the configuration in force.
func (l *Leader) Config(context.Context, ConfigCall) (config jobs.Config, err error) {
	_, err = l.look(func(table *jobs.Table) error {
		config = table.Config
		config.Queues, config.Services = slices.Clone(config.Queues), slices.Clone(config.Services)
		return nil
	})
	return config, errs.Pass(err, "configuration")
}

// Configure changes the configuration.
func (l *Leader) Configure(ctx context.Context, call jobs.Configure) (ConfigureAnswer, error) {
	return ConfigureAnswer{}, errs.Pass(l.change(ctx, &command.JobConfigure{Configure: call}), "configure")
}

// Evacuate starts or withdraws the evacuation of a zone.
func (l *Leader) Evacuate(ctx context.Context, call jobs.Evacuate) (EvacuateAnswer, error) {
	return EvacuateAnswer{}, errs.Pass(l.change(ctx, &command.JobEvacuate{Evacuate: call}), "evacuate")
}

func (l *Leader) change(ctx context.Context, c command.Command) error {
	term, err := l.look(func(*jobs.Table) error { return nil })
	if err != nil {
		return errs.Pass(err, "change")
	}
	_, _, err = l.opt.Store.ProposeIn(ctx, term, c)
	return errs.Pass(err, "change")
}

// Beat takes a worker's heartbeat. What it changes is durable, and known to the scheduler, before it is answered.
func (l *Leader) Beat(ctx context.Context, call BeatCall) (BeatAnswer, error) {
	answer := BeatAnswer{Home: l.home(call.Worker.ID)}
	worker := call.Worker
	changed := false
	term, err := l.look(func(table *jobs.Table) error {
		known := table.Workers[worker.ID]
		if call.Leaving {
			worker = leaving(known, worker.ID)
		}
		changed = known == nil || !sameWorker(known, &worker)
		return nil
	})
	if err != nil {
		return BeatAnswer{}, errs.Pass(err, "heartbeat")
	}
	if !l.newest(worker.ID, call) {
		return answer, nil
	}
	if changed {
		_, _, err := l.opt.Store.ProposeIn(ctx, term, &command.JobRegister{Register: jobs.Register{Workers: []jobs.Worker{worker}}})
		if err != nil {
			return BeatAnswer{}, errs.Pass(err, "heartbeat")
		}
	}
	if !call.Leaving {
		l.tell(func(c *scheduler.Core, now time.Duration) { c.Heartbeat(now, worker.ID, call.Clock, call.Remaining) })
	}
	if l.opt.Mailboxes != nil && call.Listing != nil {
		leads := func() bool { return l.leads(term) }
		answer.Orders = l.opt.Mailboxes.Exchange(ctx, worker.ID, call.Sequence, term, *call.Listing, leads)
	}
	return answer, nil
}

// leaving is the record of a worker that says that it ends. One that is not known is recorded too: its first heartbeat
// may have been lost with a leader, or come late, and must not make it pass for a worker that takes starts.
func leaving(known *jobs.Worker, id string) jobs.Worker {
	worker := jobs.Worker{ID: id}
	if known != nil {
		worker = *known
	}
	worker.Left = true
	return worker
}

// newest tells whether a heartbeat is newer than those taken before. One that announces the worker's end always is.
func (l *Leader) newest(id string, call BeatCall) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if call.Leaving {
		return true
	}
	if call.Sequence < l.beats[id] {
		return false
	}
	l.beats[id] = call.Sequence
	return true
}

func sameWorker(known, told *jobs.Worker) bool {
	return known.Address == told.Address && known.Service == told.Service && known.Zone == told.Zone &&
		known.Rack == told.Rack && known.Capacity == told.Capacity && slices.Equal(known.Labels, told.Labels) &&
		(known.Draining || !told.Draining) && (known.Left || !told.Left)
}

// Topology tells the leader and the members of the core, as this node knows them.
func (l *Leader) Topology(context.Context, TopologyCall) (TopologyAnswer, error) {
	leader, members := l.opt.Store.Members()
	if term, held := l.opt.Store.LeaderTerm(l.clock.Now()); term != 0 && !held {
		leader = "" // its own lead cannot be confirmed: nobody is to count on it
	}
	return TopologyAnswer{Leader: leader, Members: members}, nil
}
