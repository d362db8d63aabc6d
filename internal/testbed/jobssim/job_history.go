package jobssim

import (
	"time"

	"crosstide/internal/jobs"
)

// endRecord is the end of a run as listed by its worker.
type endRecord struct {
	run            *liveRun
	reason         jobs.EndReason
	at             time.Duration
	isAcknowledged bool       // it was acknowledged while the lease under which the run ended was in force
	isInvalidated  bool       // the lease of its worker expired before it was acknowledged
	starts         []*liveRun // runs of the task that began after this end and before its acknowledgement
}

// taskHistory holds the observed runs of a task or, for ends and checkpoints, of a gang.
type taskHistory struct {
	running     []*liveRun
	done        []*endRecord
	failed      []*endRecord
	checkpoints map[string]bool // saved by its runs
}

// jobHistory holds the observations of a job.
type jobHistory struct {
	job               *clientJob
	tasks             map[jobs.TaskRef]*taskHistory
	running           int           // number of its runs on workers
	idleSince         time.Duration // since when it is idle although it could run; 0: it is not
	idleSinceAnyCause time.Duration // the same, but excuses are ignored
	excusedUntil      time.Duration // until then it may be idle because a worker was disrupted
	succeeded         bool          // a client saw it as succeeded
}

// task returns the history of a task, which it creates if necessary.
func (j *jobHistory) task(ref jobs.TaskRef) *taskHistory {
	t := j.tasks[ref]
	if t == nil {
		t = &taskHistory{checkpoints: map[string]bool{}}
		j.tasks[ref] = t
	}
	return t
}

// endHistory returns the history that records the ends and checkpoints of a task. The members of a gang share that of
// the first member.
func (j *jobHistory) endHistory(ref jobs.TaskRef) *taskHistory {
	if j.job.spec.Steps[ref.Step].Gang {
		ref.Index = 0
	}
	return j.task(ref)
}

// stepDone reports whether every task of a step of a round is done.
func (j *jobHistory) stepDone(round, step int) bool {
	for index := range j.job.spec.Steps[step].Count {
		if len(j.endHistory(jobs.TaskRef{Job: j.job.spec.ID, Round: round, Step: step, Index: index}).done) == 0 {
			return false
		}
	}
	return true
}

// failedBefore returns the number of acknowledged failures of a run's task before the run began.
func (j *jobHistory) failedBefore(r *liveRun) int {
	count := 0
	for _, f := range j.endHistory(r.key.Task).failed {
		if f.isAcknowledged && f.at <= r.began && !r.step.LongRunning {
			count++
		}
	}
	return count
}

// rounds returns the number of rounds of a job, which is 1 for a job that does not repeat.
func rounds(spec *jobs.Spec) int { return max(1, spec.Rounds) }

// allDone reports whether every task of the job is done.
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

// attemptsExhausted reports whether a task has failed maxAttempts times.
func (j *jobHistory) attemptsExhausted() bool {
	for ref, t := range j.tasks {
		if !j.job.spec.Steps[ref.Step].LongRunning && len(t.failed) >= maxAttempts {
			return true
		}
	}
	return false
}
