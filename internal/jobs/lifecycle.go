package jobs

import (
	"container/heap"
	"fmt"
	"time"

	"crosstide/internal/errs"
)

// Submit accepts a job, or finds it if it was accepted before. Failures: Conflict: the ID is another job's; Unknown: no
// such queue; Invalid: a step cannot be built.
func (t *Table) Submit(c Submit) (JobState, error) {
	if job := t.Jobs[c.Spec.ID]; job != nil {
		if job.Digest != c.Digest {
			return "", errs.Field(errs.Conflict, "id", "%q is the ID of another job", c.Spec.ID)
		}
		return job.State, nil
	}
	if t.Config.Queue(c.Spec.Queue) == nil {
		return "", errs.Field(errs.Unknown, "queue", "no queue %q", c.Spec.Queue)
	}
	if err := validateSteps(c.Spec.Steps); err != nil {
		return "", errs.Pass(err, "job %q", c.Spec.ID)
	}
	t.Sequence++
	job := &Job{
		Spec: c.Spec, Digest: c.Digest, State: Queued, Sequence: t.Sequence, AcceptedAt: c.At,
		Rounds: newRounds(&c.Spec),
	}
	t.Jobs[c.Spec.ID] = job
	t.indexJob(job)
	t.succeedIfDone(job, c.At) // only a job without tasks
	t.notify(JobChanged, c.Spec.ID)
	return job.State, nil
}

// validateSteps refuses what the table could not hold.
func validateSteps(steps []Step) error {
	for i, step := range steps {
		if step.Count < 0 {
			return errs.Field(errs.Invalid, fmt.Sprintf("steps[%d].count", i), "must not be negative, is %d", step.Count)
		}
		for _, before := range step.After {
			if before < 0 || before >= i {
				return errs.Field(errs.Invalid, fmt.Sprintf("steps[%d].after", i), "%d is no earlier step", before)
			}
		}
	}
	return nil
}

func newRounds(spec *Spec) [][][]Task {
	rounds := make([][][]Task, max(1, spec.Rounds))
	for round := range rounds {
		rounds[round] = make([][]Task, len(spec.Steps))
		for step := range spec.Steps {
			rounds[round][step] = make([]Task, spec.Steps[step].Count)
		}
	}
	return rounds
}

// Cancel ends a job that is not over. Its handles stay until their ends. Failure: Unknown.
func (t *Table) Cancel(c Cancel) (JobState, error) {
	job := t.Jobs[c.ID]
	if job == nil {
		return "", errs.New(errs.Unknown, "no job %q", c.ID)
	}
	if !job.State.IsTerminal() {
		t.finish(job, Cancelled, c.At)
		t.notify(JobChanged, c.ID)
	}
	return job.State, nil
}

// Purge drops the jobs that ended before a time and have no handle out.
func (t *Table) Purge(before time.Time) {
	for len(t.retired) > 0 && t.retired[0].EndedAt.Before(before) {
		job := heap.Pop(&t.retired).(*Job)
		delete(t.Jobs, job.Spec.ID)
		t.notify(JobChanged, job.Spec.ID)
	}
}

// succeedIfDone ends a job that has no task left.
func (t *Table) succeedIfDone(job *Job, at time.Time) {
	if job.index.undone == 0 && !job.State.IsTerminal() {
		t.finish(job, Succeeded, at)
	}
}

// finish puts a job that is not over into a final state.
func (t *Table) finish(job *Job, to JobState, at time.Time) {
	t.setState(job, to)
	job.EndedAt = at
	t.retire(job)
}

// retire lets go of what nobody needs any more of a job that is over and has no handle out.
func (t *Table) retire(job *Job) {
	if !job.State.IsTerminal() || job.index.handles > 0 {
		return
	}
	job.Rounds = nil
	job.Spec.Payload, job.Spec.Steps = "", nil
	job.index = jobIndex{}
	heap.Push(&t.retired, job)
}

// setState is the one place that changes a job's state.
func (t *Table) setState(job *Job, to JobState) {
	if job.State == Queued {
		if t.queued[job.Spec.Queue]--; t.queued[job.Spec.Queue] == 0 {
			delete(t.queued, job.Spec.Queue)
		}
	}
	job.State = to
}
