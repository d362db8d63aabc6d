package command

import (
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/jobs"
	"crosstide/internal/state"
)

// JobSubmit accepts a job into the job table; the answer is its jobs.JobState.
type JobSubmit struct{ jobs.Submit }

// Op is "job-submit".
func (c *JobSubmit) Op() string { return "job-submit" }

func (c *JobSubmit) apply(s *state.State, _ uint64) (any, error) {
	answer, err := s.JobTable.Submit(c.Submit)
	return answer, errs.Pass(err, "submit")
}

// JobCancel cancels a job of the job table; the answer is its jobs.JobState.
type JobCancel struct{ jobs.Cancel }

// Op is "job-cancel".
func (c *JobCancel) Op() string { return "job-cancel" }

func (c *JobCancel) apply(s *state.State, _ uint64) (any, error) {
	answer, err := s.JobTable.Cancel(c.Cancel)
	return answer, errs.Pass(err, "cancel")
}

// JobConfigure changes the configuration of the job table.
type JobConfigure struct{ jobs.Configure }

// Op is "job-configure".
func (c *JobConfigure) Op() string { return "job-configure" }

func (c *JobConfigure) apply(s *state.State, _ uint64) (any, error) {
	return nil, errs.Pass(s.JobTable.Configure(c.Configure), "configure")
}

// JobEvacuate starts or withdraws the evacuation of a zone.
type JobEvacuate struct{ jobs.Evacuate }

// Op is "job-evacuate".
func (c *JobEvacuate) Op() string { return "job-evacuate" }

func (c *JobEvacuate) apply(s *state.State, _ uint64) (any, error) {
	return nil, errs.Pass(s.JobTable.Evacuate(c.Evacuate), "evacuate")
}

// JobRegister records workers that are new or have changed.
type JobRegister struct{ jobs.Register }

// Op is "job-register".
func (c *JobRegister) Op() string { return "job-register" }

func (c *JobRegister) apply(s *state.State, _ uint64) (any, error) {
	return nil, errs.Pass(s.JobTable.Register(c.Register), "register")
}

// JobProgress records what the scheduler has decided and heard; the answer is jobs.Started. The term of its log entry
// must be its own.
type JobProgress struct{ jobs.Progress }

// Op is "job-progress".
func (c *JobProgress) Op() string { return "job-progress" }

func (c *JobProgress) apply(s *state.State, _ uint64) (any, error) {
	answer, err := s.JobTable.Progress(s.Term, c.Progress)
	return answer, errs.Pass(err, "progress")
}

// JobPurge drops the jobs of the job table that ended before a time.
type JobPurge struct {
	Before time.Time `json:"before"`
}

// Op is "job-tidy".
func (c *JobPurge) Op() string { return "job-tidy" }

func (c *JobPurge) apply(s *state.State, _ uint64) (any, error) {
	s.JobTable.Purge(c.Before)
	return nil, nil
}
