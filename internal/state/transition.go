package state

import (
	"slices"

	"crosstide/internal/errs"
)

// EnqueueJob puts a new job into the inbox. Its tasks wait until AdmitJobs admits the job.
func (s *State) EnqueueJob(job *Job) {
	job.Tasks = make([][]Task, len(job.Spec.Steps))
	for i, step := range job.Spec.Steps {
		job.Tasks[i] = make([]Task, step.Tasks)
	}
	job.rebuildIndex()
	s.indexes.addOpenJob(job.Spec.Team, 1)
	s.Jobs[job.Spec.Key] = job
	s.Inbox = append(s.Inbox, job.Spec.Key)
	s.notify(Event{Kind: EventJobSubmitted, Name: job.Spec.Key})
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
		job := s.Jobs[key]
		job.Phase = JobRunning
		s.makeReadyTasksDue(job)
	}
}

// StopJob fixes the outcome of a job, which must be a terminal phase. No task of the job starts afterwards, and its
// runs are to be stopped. A job that is stopping or terminal is left unchanged.
func (s *State) StopJob(job *Job, outcome JobPhase, reason string) {
	if job.Phase.IsTerminal() || job.Phase == JobStopping {
		return
	}
	if job.Phase == JobAccepted {
		if i := slices.Index(s.Inbox, job.Spec.Key); i >= 0 {
			s.Inbox = append(s.Inbox[:i:i], s.Inbox[i+1:]...)
		}
	}
	job.Phase, job.Outcome, job.Reason = JobStopping, outcome, reason
	for i := range job.Tasks {
		for k := range job.Tasks[i] {
			if task := &job.Tasks[i][k]; task.Phase == TaskWaiting || task.Phase == TaskDue {
				must(s.applyTaskPhase(job, task, TaskRef{job.Spec.Key, i, k}, TaskSkipped, nil))
			}
		}
	}
	s.notify(Event{Kind: EventJobStopping, Name: job.Spec.Key})
	s.finishIfComplete(job)
}

// SetTaskPhase changes a task's phase and updates its handle, step and job accordingly. handle is the new handle if to
// is TaskAssigned, otherwise nil. Failures: Stale (no such task, or taskTransitions does not allow the change),
// Conflict or Unknown (the party that pays has no account). A failure changes nothing. Example:
//
//	err := s.SetTaskPhase(handle.Ref, state.TaskDone, nil) // the run succeeded
func (s *State) SetTaskPhase(ref TaskRef, to TaskPhase, handle *Handle) error {
	job, task := s.TaskOf(ref)
	if task == nil {
		return errs.New(errs.Stale, "no task %v", ref)
	}
	if err := s.applyTaskPhase(job, task, ref, to, handle); err != nil {
		return errs.Pass(err, "move")
	}
	if to == TaskDone && job.index.remaining[ref.Step] == 0 && job.Phase == JobRunning {
		s.makeReadyTasksDue(job)
	}
	s.finishIfComplete(job)
	return nil
}

// applyTaskPhase changes a task's phase and its handle, including the indexes and the reservation of the handle, but
// does not advance its step or job. The failures are those of SetTaskPhase.
func (s *State) applyTaskPhase(job *Job, task *Task, ref TaskRef, to TaskPhase, handle *Handle) error {
	from := task.Phase
	if !slices.Contains(taskTransitions[from], to) {
		return errs.New(errs.Stale, "task %v is %q, cannot become %q", ref, from, to)
	}
	if to == TaskAssigned {
		if err := s.reserve(job, ref, handle.RunID); err != nil {
			return errs.Pass(err, "task %v", ref)
		}
	}
	task.Phase = to
	switch {
	case to == TaskAssigned:
		s.addHandle(job, task, handle)
	case from.HasHandle() && to.HasHandle():
		s.Handles[task.RunID].Phase = to
	case from.HasHandle():
		s.releaseHandle(job, s.Handles[task.RunID])
	}
	switch to {
	case TaskDone:
		job.index.remaining[ref.Step]--
	case TaskDue:
		s.notify(Event{Kind: EventTaskDue, Ref: ref})
	}
	return nil
}

func (s *State) addHandle(job *Job, task *Task, handle *Handle) {
	task.RunID = handle.RunID
	handle.Phase = TaskAssigned
	s.Handles[handle.RunID] = handle
	s.indexes.addHandle(handle)
	job.index.handles++
	s.notify(Event{Kind: EventHandleCreated, Handle: handle, Ref: handle.Ref})
}

// releaseHandle removes a handle and debits the time of its run.
func (s *State) releaseHandle(job *Job, handle *Handle) {
	delete(s.Handles, handle.RunID)
	s.indexes.removeHandle(handle)
	s.debitRun(handle.RunID)
	job.index.handles--
	s.notify(Event{Kind: EventHandleReleased, Handle: handle, Ref: handle.Ref})
}

// makeReadyTasksDue makes the waiting tasks of a step due, for every step whose preceding steps (After) are done.
func (s *State) makeReadyTasksDue(job *Job) {
	for i := range job.Spec.Steps {
		if !job.isReady(&job.Spec.Steps[i]) {
			continue
		}
		for k := range job.Tasks[i] {
			if task := &job.Tasks[i][k]; task.Phase == TaskWaiting {
				must(s.applyTaskPhase(job, task, TaskRef{job.Spec.Key, i, k}, TaskDue, nil))
			}
		}
	}
}

// finishIfComplete moves a job to its terminal phase if it is complete: a running job if all its tasks are done, a
// stopping job if none of its tasks has a handle.
func (s *State) finishIfComplete(job *Job) {
	switch {
	case job.Phase == JobStopping && job.index.handles == 0:
		job.Phase = job.Outcome
	case job.Phase == JobRunning && job.isDone():
		job.Phase = JobDone
	default:
		return
	}
	job.Outcome, job.EndedAt = "", s.At
	s.indexes.addOpenJob(job.Spec.Team, -1)
	s.EndedJobs = append(s.EndedJobs, job.Spec.Key)
}
