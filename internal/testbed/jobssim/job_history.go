package jobssim

import (
	"time"

	"crosstide/internal/jobs"
)

// endRecord is an end of a run as a worker listed it.
type endRecord struct {
	run            *liveRun
	reason         jobs.EndReason
	at             time.Duration
	isAcknowledged bool       // it was acknowledged while the lease that it ended under was in force
	isInvalidated  bool       // the lease of its worker lapsed before it was acknowledged
	starts         []*liveRun // of the task after this end, before it was acknowledged
}

// taskHistory is what became of a task, or of a gang.
type taskHistory struct {
	running     []*liveRun
	done        []*endRecord
	failed      []*endRecord
	checkpoints map[string]bool // that its runs saved
}

// jobHistory is what became of a job.
type jobHistory struct {
	job               *clientJob
	tasks             map[jobs.TaskRef]*taskHistory
	running           int           // runs on workers
	idleSince         time.Duration // since when it is idle although it could run; 0: it is not
	idleSinceAnyCause time.Duration // the same without any excuse of the scheduler
	excusedUntil      time.Duration // until then a disruption of a worker may keep it from running
	succeeded         bool          // it was shown as succeeded
}

func (j *jobHistory) task(ref jobs.TaskRef) *taskHistory {
	t := j.tasks[ref]
	if t == nil {
		t = &taskHistory{checkpoints: map[string]bool{}}
		j.tasks[ref] = t
	}
	return t
}

// ending returns the history that counts for the end of a task: its own, or that of its gang's first member.
func (j *jobHistory) ending(ref jobs.TaskRef) *taskHistory {
	if j.job.spec.Steps[ref.Step].Gang {
		ref.Index = 0
	}
	return j.task(ref)
}

// stepDone reports whether every task of a step of a round has ended done.
func (j *jobHistory) stepDone(round, step int) bool {
	for index := range j.job.spec.Steps[step].Count {
		if len(j.ending(jobs.TaskRef{Job: j.job.spec.ID, Round: round, Step: step, Index: index}).done) == 0 {
			return false
		}
	}
	return true
}

// failedBefore counts the acknowledged failures of a run's task before it began.
func (j *jobHistory) failedBefore(r *liveRun) int {
	count := 0
	for _, f := range j.ending(r.key.Task).failed {
		if f.isAcknowledged && f.at <= r.began && !r.step.LongRunning {
			count++
		}
	}
	return count
}

// rounds returns how many times the steps of a job are run.
func rounds(spec *jobs.Spec) int { return max(1, spec.Rounds) }

// allDone reports whether every task has ended done.
func (j *jobHistory) allDone() bool {
	for round := range rounds(&j.job.spec) {
		for step := range j.job.spec.Steps {
			if !j.stepDone(round, step) {
				return false
			}
		}
	}
	return true
}

// attemptsExhausted reports whether a task has failed as often as it may.
func (j *jobHistory) attemptsExhausted() bool {
	for ref, t := range j.tasks {
		if !j.job.spec.Steps[ref.Step].LongRunning && len(t.failed) >= maxAttempts {
			return true
		}
	}
	return false
}
