package jobs

import (
	"net"
	"slices"
	"strings"
)

// IsStepReady reports whether the steps that a step of a round waits for are done. It does not check whether the round
// is due. It is false for a retired job.
func (*Table) IsStepReady(job *Job, round, step int) bool {
	remaining := job.index.remaining
	if round < 0 || round >= len(remaining) || step < 0 || step >= len(job.Spec.Steps) {
		return false
	}
	for _, before := range job.Spec.Steps[step].After {
		if remaining[round][before] > 0 {
			return false
		}
	}
	return true
}

// QueueFor returns the queue for a call: of the queues of the host, which may have a port, the one with the longest
// prefix of the path; nil if there is none.
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

// QueuedCount returns the number of jobs of a queue that are Queued.
func (t *Table) QueuedCount(queue string) int { return t.indexes.queued[queue] }

// Used returns the resources that the handles on a worker use.
func (t *Table) Used(worker string) Resources {
	if o := t.indexes.occupancy[worker]; o != nil {
		return o.used
	}
	return Resources{}
}

// RunCount returns the number of runs with a handle on a worker.
func (t *Table) RunCount(worker string) int {
	if o := t.indexes.occupancy[worker]; o != nil {
		return len(o.runs)
	}
	return 0
}

// RunsOn returns the runs with a handle on a worker, in the order of RunKey.Compare.
func (t *Table) RunsOn(worker string) []RunKey {
	o := t.indexes.occupancy[worker]
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

// runsOfStep returns the number of handles of a step of a round on a worker.
func (t *Table) runsOfStep(worker string, step stepRef) int {
	if o := t.indexes.occupancy[worker]; o != nil {
		return o.steps[step]
	}
	return 0
}
