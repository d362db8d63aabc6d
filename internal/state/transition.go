package state

import (
	"slices"

	"crosstide/internal/errs"
)

// EnqueueJob puts a new job into the inbox. Its tasks wait until AdmitJobs admits the job.
func (s *State) EnqueueJob(j *Job) {
	j.Tasks = make([][]Task, len(j.Spec.Steps))
	for i, step := range j.Spec.Steps {
		j.Tasks[i] = make([]Task, step.Tasks)
	}
	j.rebuildIndex()
	s.indexes.addOpenJob(j.Spec.Team, 1)
	s.Jobs[j.Spec.Key] = j
	s.Inbox = append(s.Inbox, j.Spec.Key)
	s.notify(Event{Kind: EventJobSubmitted, Name: j.Spec.Key})
}

// AdmitJobs moves the jobs with numbers up to seq from the inbox to JobRunning, and makes the tasks of their first
// steps due.
func (s *State) AdmitJobs(seq uint64) {
	if seq <= s.AdmittedSeq {
		return
	}
	s.AdmittedSeq = min(seq, s.Seq)
	admitted := 0
	for admitted < len(s.Inbox) && s.Jobs[s.Inbox[admitted]].Seq <= seq {
		admitted++
	}
	keys := s.Inbox[:admitted]
	s.Inbox = append([]string(nil), s.Inbox[admitted:]...)
	for _, key := range keys {
		j := s.Jobs[key]
		j.Phase = JobRunning
		s.makeReadyTasksDue(j)
	}
}

// StopJob fixes the outcome of a job, which must be a terminal phase. No task of the job starts afterwards, and its
// runs are to be stopped. A job that is stopping or terminal is left unchanged.
func (s *State) StopJob(j *Job, outcome JobPhase, reason string) {
	if j.Phase.IsTerminal() || j.Phase == JobStopping {
		return
	}
	if j.Phase == JobAccepted {
		if i := slices.Index(s.Inbox, j.Spec.Key); i >= 0 {
			s.Inbox = append(s.Inbox[:i:i], s.Inbox[i+1:]...)
		}
	}
	j.Phase, j.Outcome, j.Reason = JobStopping, outcome, reason
	for i := range j.Tasks {
		for k := range j.Tasks[i] {
			if t := &j.Tasks[i][k]; t.Phase == TaskWaiting || t.Phase == TaskDue {
				must(s.applyTaskPhase(j, t, TaskRef{j.Spec.Key, i, k}, TaskSkipped, nil))
			}
		}
	}
	s.notify(Event{Kind: EventJobStopping, Name: j.Spec.Key})
	s.finishIfComplete(j)
}

// SetTaskPhase changes a task's phase and updates its handle, step and job accordingly. h is the new handle if to is
// TaskAssigned, otherwise nil. Failures: Stale (no such task, or taskTransitions does not allow the change), Conflict
// or Unknown (the party that pays has no account). A failure changes nothing. Example:
//
//	err := s.SetTaskPhase(h.Ref, state.TaskDone, nil) // the run of h succeeded
func (s *State) SetTaskPhase(ref TaskRef, to TaskPhase, h *Handle) error {
	j, t := s.TaskOf(ref)
	if t == nil {
		return errs.New(errs.Stale, "no task %v", ref)
	}
	if err := s.applyTaskPhase(j, t, ref, to, h); err != nil {
		return errs.Pass(err, "move")
	}
	if to == TaskDone && j.index.remaining[ref.Step] == 0 && j.Phase == JobRunning {
		s.makeReadyTasksDue(j)
	}
	s.finishIfComplete(j)
	return nil
}

// applyTaskPhase changes a task's phase and its handle, including the indexes and the reservation of the handle, but
// does not advance its step or job.
func (s *State) applyTaskPhase(j *Job, t *Task, ref TaskRef, to TaskPhase, h *Handle) error {
	from := t.Phase
	if !slices.Contains(taskTransitions[from], to) {
		return errs.New(errs.Stale, "task %v is %q, cannot become %q", ref, from, to)
	}
	if to == TaskAssigned {
		if err := s.reserve(j, ref, h.RunID); err != nil {
			return errs.Pass(err, "task %v", ref)
		}
	}
	t.Phase = to
	switch {
	case to == TaskAssigned:
		s.addHandle(j, t, h)
	case from.HasHandle() && to.HasHandle():
		s.Handles[t.RunID].Phase = to
	case from.HasHandle():
		s.releaseHandle(j, s.Handles[t.RunID])
	}
	switch to {
	case TaskDone:
		j.index.remaining[ref.Step]--
	case TaskDue:
		s.notify(Event{Kind: EventTaskDue, Ref: ref})
	}
	return nil
}

func (s *State) addHandle(j *Job, t *Task, h *Handle) {
	t.RunID = h.RunID
	h.Phase = TaskAssigned
	s.Handles[h.RunID] = h
	s.indexes.addHandle(h)
	j.index.handles++
	s.notify(Event{Kind: EventHandleCreated, Handle: h, Ref: h.Ref})
}

// releaseHandle removes a handle and debits the time of its run.
func (s *State) releaseHandle(j *Job, h *Handle) {
	delete(s.Handles, h.RunID)
	s.indexes.removeHandle(h)
	s.debitRun(h.RunID)
	j.index.handles--
	s.notify(Event{Kind: EventHandleReleased, Handle: h, Ref: h.Ref})
}

// makeReadyTasksDue makes the waiting tasks due of every step whose preceding steps are done.
func (s *State) makeReadyTasksDue(j *Job) {
	for i := range j.Spec.Steps {
		if !j.isReady(&j.Spec.Steps[i]) {
			continue
		}
		for k := range j.Tasks[i] {
			if t := &j.Tasks[i][k]; t.Phase == TaskWaiting {
				must(s.applyTaskPhase(j, t, TaskRef{j.Spec.Key, i, k}, TaskDue, nil))
			}
		}
	}
}

// finishIfComplete moves a job to its terminal phase if it is complete: a running job if all its tasks are done, a
// stopping job if none of its tasks has a handle.
func (s *State) finishIfComplete(j *Job) {
	switch {
	case j.Phase == JobStopping && j.index.handles == 0:
		j.Phase = j.Outcome
	case j.Phase == JobRunning && j.isDone():
		j.Phase = JobDone
	default:
		return
	}
	j.Outcome, j.EndedAt = "", s.At
	s.indexes.addOpenJob(j.Spec.Team, -1)
	s.EndedJobs = append(s.EndedJobs, j.Spec.Key)
}
