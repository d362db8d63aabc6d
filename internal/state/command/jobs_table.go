package command

import (
	"encoding/json"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/jobs"
	"crosstide/internal/signature"
	"crosstide/internal/state"
)

// The commands on the job table wrap the changes of package jobs, which checks and makes them. This file adds the op,
// the JSON in the log and, for orders of operators, the signature.

// JobSubmit accepts a job into the job table; the answer is its jobs.JobState.
type JobSubmit struct{ jobs.Submit }

// Op returns "job-submit".
func (*JobSubmit) Op() string { return "job-submit" }

func (c *JobSubmit) apply(s *state.State, _ uint64) (any, error) {
	answer, err := s.JobTable.Submit(c.Submit)
	return answer, errs.Pass(err, "submit")
}

// JobCancel cancels a job of the job table; the answer is its jobs.JobState. It is empty if no job has the ID and the
// cancellation was remembered.
type JobCancel struct{ jobs.Cancel }

// Op returns "job-cancel".
func (*JobCancel) Op() string { return "job-cancel" }

func (c *JobCancel) apply(s *state.State, _ uint64) (any, error) {
	answer, err := s.JobTable.Cancel(c.Cancel)
	return answer, errs.Pass(err, "cancel")
}

// JobConfigure changes the configuration of the job table.
type JobConfigure struct{ jobs.Configure }

// Op returns "job-configure".
func (*JobConfigure) Op() string { return "job-configure" }

func (c *JobConfigure) apply(s *state.State, _ uint64) (any, error) {
	return nil, errs.Pass(s.JobTable.Configure(c.Configure), "configure")
}

// JobUpgradeSchema puts a newer schema of the job table in force. It must be proposed only once all members support the
// schema: a node of an earlier release ignores the command.
type JobUpgradeSchema struct{ jobs.UpgradeSchema }

// Op returns "job-schema".
func (*JobUpgradeSchema) Op() string { return "job-schema" }

func (c *JobUpgradeSchema) apply(s *state.State, _ uint64) (any, error) {
	return nil, errs.Pass(s.JobTable.UpgradeSchema(c.UpgradeSchema), "upgrade the schema")
}

// JobEvacuate starts or ends the evacuation of a zone.
type JobEvacuate struct{ jobs.Evacuate }

// Op returns "job-evacuate".
func (*JobEvacuate) Op() string { return "job-evacuate" }

func (c *JobEvacuate) apply(s *state.State, _ uint64) (any, error) {
	return nil, errs.Pass(s.JobTable.Evacuate(c.Evacuate), "evacuate")
}

// JobRegister records workers that are new or have changed.
type JobRegister struct{ jobs.Register }

// Op returns "job-register".
func (*JobRegister) Op() string { return "job-register" }

func (c *JobRegister) apply(s *state.State, _ uint64) (any, error) {
	s.JobTable.Register(c.Register)
	return nil, nil
}

// JobProgress records decisions of the scheduler and reports of workers; the answer is jobs.ProgressResult. It is
// rejected if its log entry has another term than the one in which it was decided.
type JobProgress struct{ jobs.Progress }

// Op returns "job-progress".
func (*JobProgress) Op() string { return "job-progress" }

func (c *JobProgress) apply(s *state.State, _ uint64) (any, error) {
	answer, err := s.JobTable.Progress(s.Term, c.Progress)
	return answer, errs.Pass(err, "progress")
}

// JobPurge deletes the jobs of the job table that ended before the time Before.
type JobPurge struct {
	Before time.Time `json:"before"`
}

// Op returns "job-tidy".
func (*JobPurge) Op() string { return "job-tidy" }

func (c *JobPurge) apply(s *state.State, _ uint64) (any, error) {
	s.JobTable.Purge(c.Before)
	return nil, nil
}

// JobParties sets which parties pay for which queues of the job table. Once operators are set, one of them must sign
// the text signature.JobParties, which contains the digest of the parties' JSON.
type JobParties struct {
	Order string `json:"order"`
	jobs.SetParties
	By  string `json:"by,omitempty"`
	Sig string `json:"sig,omitempty"`
}

// Op returns "job-parties".
func (*JobParties) Op() string { return "job-parties" }

func (c *JobParties) apply(s *state.State, _ uint64) (any, error) {
	answer, err := applyOnce(s, c.Order, c)
	return answer, errs.Pass(err, "parties")
}

func (c *JobParties) check(s *state.State) error {
	digest, err := c.Digest()
	if err != nil {
		return errs.Pass(err, "parties")
	}
	return errs.Pass(verifyIfOperatorsKnown(s, c.By, c.Sig, signature.JobParties(c.Order, digest)), "signature")
}

func (c *JobParties) change(s *state.State) (any, error) {
	return struct{}{}, errs.Pass(s.JobTable.SetParties(c.SetParties), "parties")
}

// Digest returns the SHA-256 of the parties' JSON, in hex.
func (c *JobParties) Digest() (string, error) {
	data, err := json.Marshal(c.SetParties)
	return signature.Digest(data), errs.Wrap(err, errs.Internal, "encode parties")
}
