package command

import "crosstide/internal/state"

// Start requests a run ID for a due task on a worker. Adjacent starts with the same Group, if above 0, are assigned
// together or not at all.
type Start struct {
	Ref         state.TaskRef `json:"r"`
	Worker      string        `json:"m"`
	Incarnation string        `json:"b"` // of the worker when the scheduler planned
	Group       int           `json:"g,omitempty"`
}

// The refusals in addition to those of State.PlacementRefusal.
const (
	RefusedBundle   state.Refusal = "charter version" // the bundle in force is not the one of the plan
	RefusedJob      state.Refusal = "job"             // the job is not running, or has no such task
	RefusedTask     state.Refusal = "task"            // the task is not due
	RefusedCapacity state.Refusal = "room"            // the worker has too little free capacity
	RefusedBalance  state.Refusal = "balance"         // the party's balance does not cover the start
)

// groupEnd returns the position after the last start of the group whose first start is at first.
func (c *Plan) groupEnd(first int) int {
	end := first + 1
	if group := c.Starts[first].Group; group > 0 {
		for end < len(c.Starts) && c.Starts[end].Group == group {
			end++
		}
	}
	return end
}

// groupRefusal returns why the starts of a group may not be assigned together; "" if they may. Capacity and balance
// must suffice for all of them.
func (c *Plan) groupRefusal(s *state.State, group []Start) state.Refusal {
	if c.BundleVersion != s.Bundle.Version {
		return RefusedBundle
	}
	taken := map[string]needs{} // by worker: needs of the starts of the group so far
	seen := map[state.TaskRef]bool{}
	var fees groupFees
	for _, start := range group {
		if seen[start.Ref] {
			return RefusedTask // it would no longer be due at its second start
		}
		seen[start.Ref] = true
		if refusal := startRefusal(s, start); refusal != "" {
			return refusal
		}
		taken[start.Worker] = taken[start.Worker].plus(stepOf(s, start.Ref))
		if !taken[start.Worker].fits(s.Workers[start.Worker], s.UsageOf(start.Worker)) {
			return RefusedCapacity
		}
		if !fees.add(s, start.Ref) {
			return RefusedBalance
		}
	}
	return ""
}

// startRefusal returns why one start may not be assigned, regardless of the rest of its group; "" if it may.
func startRefusal(s *state.State, start Start) state.Refusal {
	job, task := s.TaskOf(start.Ref)
	worker := s.Workers[start.Worker]
	switch {
	case task == nil || job.Phase != state.JobRunning:
		return RefusedJob
	case task.Phase != state.TaskDue:
		return RefusedTask
	case worker == nil || worker.Incarnation != start.Incarnation:
		return state.RefusedIncarnation
	}
	return s.PlacementRefusal(&job.Spec, stepOf(s, start.Ref), worker)
}

// assign issues a run ID and records the handle of a start that was not refused.
func (c *Plan) assign(s *state.State, start Start) uint64 {
	job, _ := s.TaskOf(start.Ref)
	step := stepOf(s, start.Ref)
	s.LastRunID++
	must(s.SetTaskPhase(start.Ref, state.TaskAssigned, &state.Handle{
		RunID: s.LastRunID, Ref: start.Ref, Worker: start.Worker, Incarnation: start.Incarnation,
		Epoch: c.Epoch, BundleVersion: c.BundleVersion, Type: step.Type, Cores: step.Cores, GPUs: step.GPUs,
		LeaseTTL: s.Bundle.LeaseTTLFor(job.Spec.Queue, c.LeaseTTL),
	}))
	return s.LastRunID
}

func stepOf(s *state.State, ref state.TaskRef) *state.StepSpec {
	return &s.Jobs[ref.Job].Spec.Steps[ref.Step]
}

// needs is the sum of the resources that some starts need on one worker.
type needs struct{ cores, gpus int }

func (n needs) plus(step *state.StepSpec) needs {
	return needs{n.cores + step.Cores, n.gpus + step.GPUs}
}

// fits reports whether a worker has enough free capacity for n beside its handles.
func (n needs) fits(w *state.Worker, used *state.Usage) bool {
	return used.Cores+n.cores <= w.Cores && used.GPUs+n.gpus <= w.GPUs
}

// groupFees is the sum of the fees of a group's starts. All belong to one job, and so to one party.
type groupFees struct{ sum state.Fee }

// add adds the fee of a start, and reports whether the party's balance covers the sum.
func (f *groupFees) add(s *state.State, ref state.TaskRef) bool {
	j, _ := s.TaskOf(ref)
	fee := s.Fee(j, ref)
	if fee.Party == "" {
		return true
	}
	f.sum.Party = fee.Party
	f.sum.Cost += fee.Cost
	return s.Covers(f.sum)
}
