package controller

import (
	"context"
	"strings"

	"github.com/go-kit/log/level"

	"crosstide/internal/errs"
	"crosstide/internal/jobs"
	"crosstide/internal/rpc"
	"crosstide/internal/state/command"
)

// Submit accepts a job. The location is ignored if the spec names its queue; otherwise the job keeps it, if the schema
// of the table allows. Submit is idempotent: if a job with the same ID and digest exists, its state is returned.
func (l *Leader) Submit(ctx context.Context, call SubmitCall) (SubmitAnswer, error) {
	release := func() {}
	term, err := l.readTable(func(table *jobs.Table) (err error) {
		// The table rejects a named queue that does not exist.
		if call.Spec.Queue == "" || table.Config.Version == 0 {
			queue, err := queueAt(table, call.Location)
			if err != nil {
				return errs.Pass(err, "submit")
			}
			call.Spec.Queue = queue.Name
			if table.Schema >= jobs.SchemaLocations {
				call.Spec.Location = (*jobs.Location)(&call.Location)
			}
		}
		release, err = l.jobMemory.reserve(table, &call.Spec)
		return errs.Pass(err, "submit")
	})
	if err != nil {
		return SubmitAnswer{}, errs.Pass(err, "submit")
	}
	defer release()
	submit := command.JobSubmit{Submit: jobs.Submit{Spec: call.Spec, Digest: call.Digest, At: l.clock.Wall()}}
	answer, err := l.proposeIn(ctx, term, &submit)
	state, _ := answer.(jobs.JobState)
	return SubmitAnswer{State: state}, errs.Pass(err, "submit")
}

// Job reads or cancels a job. The job's ID is the last segment of the location's path. An accepted job is found whether
// or not a queue serves the location: its queue may have been removed since. The cancellation of a job that does not
// exist is committed too, before it is answered with NotFound: a submission that was sent earlier may still arrive.
func (l *Leader) Job(ctx context.Context, call JobCall) (JobAnswer, error) {
	var answer JobAnswer
	id := call.Location.Path[strings.LastIndexByte(call.Location.Path, '/')+1:]
	term, err := l.readTable(func(table *jobs.Table) error {
		if err := requireConfig(table); err != nil {
			return errs.Pass(err, "job")
		}
		if job := table.Jobs[id]; job != nil {
			answer.State = job.State
		} else {
			answer.NotFound = true
		}
		return nil
	})
	if err != nil || !call.Cancel {
		return answer, errs.Pass(err, "job")
	}
	state, err := l.cancelJob(ctx, term, id)
	if err != nil {
		return JobAnswer{}, errs.Pass(err, "cancel")
	}
	return JobAnswer{State: state, NotFound: state == ""}, nil
}

// Cancel cancels a job by ID. A job that does not exist is errs.Unknown once that is committed, as by Job.
func (l *Leader) Cancel(ctx context.Context, call CancelCall) (JobAnswer, error) {
	term, err := l.readTable(func(*jobs.Table) error { return nil })
	if err != nil {
		return JobAnswer{}, errs.Pass(err, "cancel")
	}
	state, err := l.cancelJob(ctx, term, call.ID)
	if err == nil && state == "" {
		err = errs.Field(errs.Unknown, "id", "job %q does not exist", call.ID)
	}
	return JobAnswer{State: state}, errs.Pass(err, "cancel")
}

// cancelJob commits a job's cancellation and returns the resulting state, which is empty if the job does not exist.
func (l *Leader) cancelJob(ctx context.Context, term uint64, id string) (jobs.JobState, error) {
	cancel := command.JobCancel{Cancel: jobs.Cancel{ID: id, At: l.clock.Wall(), Remember: true}}
	answer, err := l.proposeIn(ctx, term, &cancel)
	state, _ := answer.(jobs.JobState)
	return state, errs.Pass(err, "propose")
}

// Configure changes the configuration.
func (l *Leader) Configure(ctx context.Context, call jobs.Configure) (ConfigureAnswer, error) {
	return ConfigureAnswer{}, errs.Pass(l.propose(ctx, &command.JobConfigure{Configure: call}), "configure")
}

// Evacuate starts or ends the evacuation of a zone. Failure: Stale if another order for the zone was applied since the
// base of the call.
func (l *Leader) Evacuate(ctx context.Context, call jobs.Evacuate) (EvacuateAnswer, error) {
	if err := l.propose(ctx, &command.JobEvacuate{Evacuate: call}); err != nil {
		return EvacuateAnswer{}, errs.Pass(err, "evacuate")
	}
	_ = level.Info(l.log).Log("msg", "zone order applied", "zone", call.Zone, "evacuate", call.Start)
	return EvacuateAnswer{}, nil
}

// propose commits a command if this node leads and its lease is in force.
func (l *Leader) propose(ctx context.Context, c command.Command) error {
	term, err := l.readTable(func(*jobs.Table) error { return nil })
	if err != nil {
		return errs.Pass(err, "propose")
	}
	_, err = l.proposeIn(ctx, term, c)
	return errs.Pass(err, "propose")
}

// proposeIn commits a command of a caller in a term and returns its answer. A command whose caller no longer waits is
// not proposed: the caller may have sent a newer one elsewhere.
func (l *Leader) proposeIn(ctx context.Context, term uint64, c command.Command) (any, error) {
	if err := rpc.CheckCaller(ctx); err != nil {
		return nil, errs.Pass(err, "propose")
	}
	_, answer, err := l.opt.Store.ProposeIn(ctx, term, c)
	return answer, errs.Pass(err, "propose")
}
