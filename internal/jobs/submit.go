package jobs

import (
	"fmt"

	"crosstide/internal/errs"
)

// Submit accepts a job. For a repetition of an accepted job it returns the job's current state. A job whose ID was
// cancelled early is accepted as a cancelled job. If the spec has a Location, its Queue is set to the queue that serves
// it. Failures: Conflict (the ID belongs to another job), Unknown (no such queue), Invalid (invalid steps).
func (t *Table) Submit(c Submit) (JobState, error) {
	if job := t.Jobs[c.Spec.ID]; job != nil {
		if job.Digest != c.Digest {
			return "", errs.Field(errs.Conflict, "id", "job ID %q is already used by another job", c.Spec.ID)
		}
		return job.State, nil
	}
	if t.Schema < SchemaLocations {
		c.Spec.Location = nil
	}
	queue := t.servingQueue(&c.Spec)
	if queue == nil {
		return "", errs.Field(errs.Unknown, "queue", "no queue %q", c.Spec.Queue)
	}
	c.Spec.Queue = queue.Name
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
	if t.isCancelledEarly(c.Spec.ID) {
		t.forgetCancel(c.Spec.ID)
		t.finish(job, Cancelled, c.At)
	}
	t.succeedIfDone(job, c.At) // true only of a job without tasks
	t.notify(JobChanged, c.Spec.ID)
	return job.State, nil
}

// validateSteps checks the counts and dependencies of steps. Failure: Invalid.
func validateSteps(steps []Step) error {
	for i, step := range steps {
		if step.Count < 0 {
			return errs.Field(errs.Invalid, fmt.Sprintf("steps[%d].count", i),
				"must not be negative, is %d", step.Count)
		}
		for _, before := range step.After {
			if before < 0 || before >= i {
				return errs.Field(errs.Invalid, fmt.Sprintf("steps[%d].after", i),
					"must be indexes of earlier steps, %d is not", before)
			}
		}
	}
	return nil
}
