package jobs

import (
	"container/heap"
	"time"

	"crosstide/internal/errs"
)

// Cancel cancels a job, and returns its state; a terminal job keeps its state. The job's handles stay until their runs
// have ended. If no job has the ID and c.Remember is set, the state is empty, and a later submission under the ID is
// accepted as a cancelled job. Failure: Unknown, without c.Remember.
func (t *Table) Cancel(c Cancel) (JobState, error) {
	job := t.Jobs[c.ID]
	if job == nil && c.Remember {
		t.rememberCancel(c.ID, c.At)
		return "", nil
	}
	if job == nil {
		return "", errs.New(errs.Unknown, "no job %q", c.ID)
	}
	if !job.State.IsTerminal() {
		t.finish(job, Cancelled, c.At)
		t.notify(JobChanged, c.ID)
	}
	return job.State, nil
}

// Purge deletes the terminal jobs that ended before a time and have no handles, and the early cancellations from before
// that time.
func (t *Table) Purge(before time.Time) {
	t.purgeCancels(before)
	retired := &t.indexes.retired
	for len(*retired) > 0 && (*retired)[0].EndedAt.Before(before) {
		job := heap.Pop(retired).(*Job)
		t.setFootprint(job, 0)
		delete(t.Jobs, job.Spec.ID)
		t.notify(JobChanged, job.Spec.ID)
	}
}

// succeedIfDone sets a job to Succeeded if all its tasks are done.
func (t *Table) succeedIfDone(job *Job, at time.Time) {
	if job.index.undone == 0 && !job.State.IsTerminal() {
		t.finish(job, Succeeded, at)
	}
}

// finish moves a job to a terminal state. The job must not be terminal yet.
func (t *Table) finish(job *Job, to JobState, at time.Time) {
	t.setState(job, to)
	job.EndedAt = at
	t.retire(job)
}

// retire drops the tasks, payload, steps, location and last queue of a job if it is terminal and has no handles. The
// rest of the record stays until Purge, to answer repeated submissions.
func (t *Table) retire(job *Job) {
	if !job.State.IsTerminal() || job.index.handles > 0 {
		return
	}
	job.Rounds = nil
	job.Spec.Payload, job.Spec.Steps, job.Spec.Location = "", nil, nil
	job.LastQueue = nil
	job.index = jobIndex{footprint: job.index.footprint}
	t.setFootprint(job, footprintOf(job))
	heap.Push(&t.indexes.retired, job)
}

// setState changes a job's state. All changes must go through it, so that the count of queued jobs stays correct.
func (t *Table) setState(job *Job, to JobState) {
	t.countQueued(job, -1)
	job.State = to
}
