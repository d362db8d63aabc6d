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

// The kinds of proof.
const (
	ProofFloor          ProofKind = "floor"  // the worker has a floor at or above the run ID and lists no such run
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
func recordEnd(s *state.State, e End) {
	h := s.Handles[e.RunID]
	if h == nil {
		recordLateEnd(s, e)
		return
	}
	if e.OK {
		must(s.SetTaskPhase(h.Ref, state.TaskDone, nil))
		return
	}
	j, t := s.TaskOf(h.Ref)
	t.Failures++
	t.Reason = e.Reason
	if isOutOfRetries(s, j, t, h.Ref) {
		must(s.SetTaskPhase(h.Ref, state.TaskFailed, nil))
		s.StopJob(j, state.JobFailed, "step "+stepOf(s, h.Ref).Name+" gave up: "+e.Reason)
		return
	}
	t.DueAt = s.At.Add(s.Bundle.Backoff.After(t.Failures))
	requeueTask(s, h)
}

// isOutOfRetries reports whether the newest failure of a task makes its job fail.
func isOutOfRetries(s *state.State, j *state.Job, t *state.Task, ref state.TaskRef) bool {
	step := stepOf(s, ref)
	return t.Failures > s.Bundle.RetriesFor(j.Spec.Queue, step.Retries) && !step.LongRunning &&
		j.Phase == state.JobRunning
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
func recordReport(s *state.State, w state.Worker) {
	old := s.Workers[w.Name]
	if old == nil {
		return // the worker was retired after the report
	}
	w.Closed, w.Addr = old.Closed, old.Addr
	s.PutWorker(&w)
	if w.Incarnation == old.Incarnation {
		return
	}
	for _, id := range s.RunIDsOn(w.Name) {
		h := s.Handles[id]
		maySurvive := w.Kind == startsAnything && h.Phase != state.TaskRunning
		if h.Incarnation != w.Incarnation && !maySurvive {
			s.RefundRun(h.RunID)
			requeueLost(s, h, "the minion came back under a new boot")
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
func recordProof(s *state.State, p Proof) {
	h := s.Handles[p.RunID]
	if h == nil {
		return
	}
	if p.Kind != ProofStop {
		s.RefundRun(h.RunID)
	}
	requeueLost(s, h, p.Reason)
}

// requeueLost releases a handle whose run has no reported end: its task may start again at once.
func requeueLost(s *state.State, h *state.Handle, reason string) {
	_, t := s.TaskOf(h.Ref)
	t.DueAt = time.Time{}
	if reason != "" {
		t.Reason = reason
	}
	t.Lost++
	requeueTask(s, h)
}

// requeueTask releases a handle and makes its task due again at the DueAt that the caller has set. If the job is not
// running, the task is skipped instead.
func requeueTask(s *state.State, h *state.Handle) {
	to := state.TaskDue
	if s.Jobs[h.Ref.Job].Phase != state.JobRunning {
		to = state.TaskSkipped
	}
	must(s.SetTaskPhase(h.Ref, to, nil))
}
