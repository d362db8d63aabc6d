package jobs

import (
	"net"
	"slices"
	"strings"
)

// IsStepReady reports whether, in the given round, all steps that the given step depends on (Step.After) are done. It
// does not check whether the round is due. It returns false for a retired job, and if the round or step does not exist.
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

// QueueFor returns the queue that a request addresses: among the queues of the host whose Prefix is a prefix of the
// path, the one with the longest Prefix, or nil if no queue matches. The case of host and a port in it are ignored.
func (t *Table) QueueFor(host, path string) *Queue {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	var longest *Queue
	for i := range t.Config.Queues {
		queue := &t.Config.Queues[i]
		if !strings.EqualFold(queue.Host, host) || !strings.HasPrefix(path, queue.Prefix) {
			continue
		}
		if longest == nil || len(queue.Prefix) > len(longest.Prefix) {
			longest = queue
		}
	}
	return longest
}

// QueuedCount returns the number of Queued jobs that a queue of the configuration serves.
func (t *Table) QueuedCount(queue string) int { return t.indexes.queued[queue] }

// Used returns the sum of the needs of the runs with a handle on a worker.
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

// RunsOn returns the runs with a handle on a worker, sorted by RunKey.Compare.
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

// runsOfStep returns the number of runs of a step with a handle on a worker.
func (t *Table) runsOfStep(worker string, step stepRef) int {
	if o := t.indexes.occupancy[worker]; o != nil {
		return o.steps[step]
	}
	return 0
}
