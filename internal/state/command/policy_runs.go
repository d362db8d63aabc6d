package command

import (
	"time"

	"crosstide/internal/state"
)

// End is the reported end of a run. Ref identifies its task, so that a success counts even if the handle of the run was
// released before.
type End struct {
	RunID  uint64        `json:"t"`
	Ref    state.TaskRef `json:"f,omitzero"`
	OK     bool          `json:"ok"`
	Reason string        `json:"w,omitempty"` // of a failure
}

// Proof states that the run of a handle is dead without a reported end, and why.
type Proof struct {
	RunID  uint64    `json:"t"`
	Kind   ProofKind `json:"w"`
	Reason string    `json:"r,omitempty"` // recorded as Task.Reason unless empty
}

// ProofKind is the kind of a proof. The strings are stored.
type ProofKind string

// The kinds of proof. A worker that has received a floor no longer starts run IDs at or below it.
const (
	ProofFloor          ProofKind = "floor"  // the worker received a floor at or above the run ID and lists no such run
	ProofNewIncarnation ProofKind = "boot"   // the worker runs under another incarnation; not written: see recordReport
	ProofLeaseExpired   ProofKind = "lapse"  // its lease has expired even with clock differences
	ProofUnsent         ProofKind = "unsent" // the scheduler never sent its start order
	ProofRefuse         ProofKind = "refuse" // the worker refused to start it
	ProofStop           ProofKind = "stop"   // the worker stopped it as ordered
)

// startsAnything is the state.Worker.Kind of a worker that starts every run it is ordered to, without checking the
// incarnation in the order.
const startsAnything = "obey"

// recordEnd records a reported end. A failed task is due again after a backoff until its retries are used up; a
// long-running task is always retried.
func recordEnd(s *state.State, end End) {
	handle := s.Handles[end.RunID]
	if handle == nil {
		recordLateEnd(s, end)
		return
	}
	if end.OK {
		must(s.SetTaskPhase(handle.Ref, state.TaskDone, nil))
		return
	}
	job, task := s.TaskOf(handle.Ref)
	task.Failures++
	task.Reason = end.Reason
	if isOutOfRetries(s, job, task, handle.Ref) {
		must(s.SetTaskPhase(handle.Ref, state.TaskFailed, nil))
		s.StopJob(job, state.JobFailed, "step "+stepOf(s, handle.Ref).Name+" gave up: "+end.Reason)
		return
	}
	task.DueAt = s.At.Add(s.Bundle.Backoff.After(task.Failures))
	requeueTask(s, handle)
}

// isOutOfRetries reports whether the newest failure of a task makes its job fail.
func isOutOfRetries(s *state.State, job *state.Job, task *state.Task, ref state.TaskRef) bool {
	step := stepOf(s, ref)
	return task.Failures > s.Bundle.RetriesFor(job.Spec.Queue, step.Retries) && !step.LongRunning &&
		job.Phase == state.JobRunning
}

// recordLateEnd records the success of a run whose handle was released by a proof before its end was reported. It
// counts unless a newer run of the task has been assigned.
func recordLateEnd(s *state.State, e End) {
	if _, t := s.TaskOf(e.Ref); e.OK && t != nil && t.RunID == e.RunID && t.Phase == state.TaskDue {
		must(s.SetTaskPhase(e.Ref, state.TaskDone, nil))
	}
}

// recordReport records a worker's report of itself. After a change of incarnation the older runs are dead, because a
// worker kills them before it reports the new one. A start order that is still in flight, however, may reach a worker
// that starts anything: the handle of such a run is kept until the scheduler proves the run dead.
func recordReport(s *state.State, worker state.Worker) {
	old := s.Workers[worker.Name]
	if old == nil {
		return // the worker was retired after the report
	}
	worker.Closed, worker.Addr = old.Closed, old.Addr
	s.PutWorker(&worker)
	if worker.Incarnation == old.Incarnation {
		return
	}
	for _, id := range s.RunIDsOn(worker.Name) {
		handle := s.Handles[id]
		maySurvive := worker.Kind == startsAnything && handle.Phase != state.TaskRunning
		if handle.Incarnation != worker.Incarnation && !maySurvive {
			s.RefundRun(handle.RunID)
			requeueLost(s, handle, "the minion came back under a new boot")
		}
	}
}

// recordPhase records runs as running or unconfirmed. Run IDs without a handle are ignored: an end or a proof has
// released the handle.
func recordPhase(s *state.State, runIDs []uint64, to state.TaskPhase) {
	for _, id := range runIDs {
		if h := s.Handles[id]; h != nil && h.Phase != to {
			must(s.SetTaskPhase(h.Ref, to, nil))
		}
	}
}

// recordProof releases the handle of a run that was proved dead. The run is refunded unless it was stopped as ordered.
func recordProof(s *state.State, proof Proof) {
	handle := s.Handles[proof.RunID]
	if handle == nil {
		return
	}
	if proof.Kind != ProofStop {
		s.RefundRun(handle.RunID)
	}
	requeueLost(s, handle, proof.Reason)
}

// requeueLost releases a handle whose run has no reported end: its task may start again at once.
func requeueLost(s *state.State, handle *state.Handle, reason string) {
	_, task := s.TaskOf(handle.Ref)
	task.DueAt = time.Time{}
	if reason != "" {
		task.Reason = reason
	}
	task.Lost++
	requeueTask(s, handle)
}

// requeueTask releases a handle and makes its task due again at the DueAt that the caller has set. If the job is not
// running, the task is skipped instead.
func requeueTask(s *state.State, handle *state.Handle) {
	to := state.TaskDue
	if s.Jobs[handle.Ref.Job].Phase != state.JobRunning {
		to = state.TaskSkipped
	}
	must(s.SetTaskPhase(handle.Ref, to, nil))
}
