package jobs

import (
	"cmp"
	"net"
	"slices"
	"strings"
)

// IsStepReady tells whether the steps that a step of a round waits for are done. It says nothing of when the round is
// due. False for a job whose rounds were let go.
func (t *Table) IsStepReady(job *Job, round, step int) bool {
	if round < 0 || round >= len(job.index.remaining) || step < 0 || step >= len(job.Spec.Steps) {
		return false
	}
	for _, before := range job.Spec.Steps[step].After {
		if job.index.remaining[round][before] > 0 {
			return false
		}
	}
	return true
}

// QueueFor finds the queue of a call: the one of the host, with or without a port, with the longest prefix of the path.
// Nil if there is none.
func (t *Table) QueueFor(host, path string) *Queue {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	var found *Queue
	for i := range t.Config.Queues {
		queue := &t.Config.Queues[i]
		if !strings.EqualFold(queue.Host, host) || !strings.HasPrefix(path, queue.Prefix) {
			continue
		}
		if found == nil || len(queue.Prefix) > len(found.Prefix) {
			found = queue
		}
	}
	return found
}

// QueuedCount counts the jobs of a queue of which nothing was started yet.
func (t *Table) QueuedCount(queue string) int { return t.queued[queue] }

// Used is what the handles on a worker take.
func (t *Table) Used(worker string) Resources {
	if o := t.occupancy[worker]; o != nil {
		return o.used
	}
	return Resources{}
}

// RunCount counts the runs whose handles are on a worker.
func (t *Table) RunCount(worker string) int {
	if o := t.occupancy[worker]; o != nil {
		return len(o.runs)
	}
	return 0
}

// RunsOn lists the runs whose handles are on a worker, by job, round, step, index and number.
func (t *Table) RunsOn(worker string) []RunKey {
	o := t.occupancy[worker]
	if o == nil {
		return nil
	}
	runs := make([]RunKey, 0, len(o.runs))
	for key := range o.runs {
		runs = append(runs, key)
	}
	slices.SortFunc(runs, RunKey.Compare)
	return runs
}

// Compare orders runs by job, round, step, index and number.
func (k RunKey) Compare(other RunKey) int {
	return cmp.Or(
		cmp.Compare(k.Task.Job, other.Task.Job),
		cmp.Compare(k.Task.Round, other.Task.Round),
		cmp.Compare(k.Task.Step, other.Task.Step),
		cmp.Compare(k.Task.Index, other.Task.Index),
		cmp.Compare(k.Number, other.Number),
	)
}

// runsOfStep counts the handles of a step of a round on a worker.
func (t *Table) runsOfStep(worker string, step stepRef) int {
	if o := t.occupancy[worker]; o != nil {
		return o.steps[step]
	}
	return 0
}

// findTask gives a task and its job; nil if there is none (any more).
func (t *Table) findTask(ref TaskRef) (*Job, *Task) {
	job := t.Jobs[ref.Job]
	if job == nil || ref.Round < 0 || ref.Round >= len(job.Rounds) {
		return nil, nil
	}
	steps := job.Rounds[ref.Round]
	if ref.Step < 0 || ref.Step >= len(steps) || ref.Index < 0 || ref.Index >= len(steps[ref.Step]) {
		return nil, nil
	}
	return job, &steps[ref.Step][ref.Index]
}
