package policysim

import (
	"encoding/json"
	"slices"
	"time"

	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

const (
	// resumeTimeout bounds the time from the acknowledgement of a top-up to the next start, once the faults are over.
	resumeTimeout = time.Second
	// reattachTimeout bounds the time from the loss of a long-running task's worker to its next start, once the faults
	// are over.
	reattachTimeout = 10 * time.Second
)

// resumption is a top-up for which tasks waited: one of them must start soon after it.
type resumption struct {
	key            string // of the top-up
	team           string
	runID          uint64        // the newest run ID before the top-up
	acknowledgedAt time.Duration // when the operator had the answer; 0: not yet
	startedAt      time.Duration // when the first run after it started; 0: not yet
}

// attachment is a long-running task that lost its worker and must run again.
type attachment struct {
	ref       state.TaskRef
	runID     uint64        // of the lost run
	since     time.Duration // when its worker was killed
	exhausted bool          // the balance did not cover a start at that time
}

// checkDeadlines checks the pending resumption and attachments, every 100 ms.
func (bc *billingChecker) checkDeadlines() {
	bc.sim.schedule(100*time.Millisecond, bc.checkDeadlines)
	bc.checkResume()
	bc.checkAttached()
}

// applyTopUp applies a top-up by calling apply, and expects a start if a task waited for it.
func (bc *billingChecker) applyTopUp(body []byte, apply func()) {
	var topUp command.AccountTopUp
	must(json.Unmarshal(body, &topUp))
	newest, waited := bc.sim.checker.reference.LastRunID, bc.hasWaitingTask(limitedTeam, false)
	apply()
	bc.observeTopUp(&topUp)
	if waited && bc.hasWaitingTask(limitedTeam, true) && bc.pendingResume == nil {
		bc.pendingResume = &resumption{key: topUp.Key, team: limitedTeam, runID: newest}
	}
}

// observeTopUpAnswer records when the operator got the acknowledgement of a top-up.
func (bc *billingChecker) observeTopUpAnswer(topUp *command.AccountTopUp) {
	if r := bc.pendingResume; r != nil && r.key == topUp.Key {
		r.acknowledgedAt = bc.sim.now
		bc.finishResume()
	}
}

// observeStart records that a worker starts a run (invariant: attached). A nil checker does nothing.
func (bc *billingChecker) observeStart(ref state.TaskRef, runID uint64) {
	if bc == nil {
		return
	}
	s := bc.sim
	spec := s.checker.jobs[ref.Job].spec
	if r := bc.pendingResume; r != nil && r.startedAt == 0 && spec.Team == r.team && runID > r.runID &&
		!spec.Steps[ref.Step].LongRunning {
		r.startedAt = s.now
		bc.finishResume()
	}
	bc.pendingAttachments = slices.DeleteFunc(bc.pendingAttachments, func(a attachment) bool {
		if a.ref != ref || runID <= a.runID {
			return false
		}
		s.countCase("attached")
		s.report.Attached = append(s.report.Attached, s.now-a.since)
		if a.exhausted {
			s.report.Counts["lasting tasks attached again while dry"]++
		}
		return true
	})
}

// isCalm reports whether a moment is so long after the faults that the timeouts apply.
func (bc *billingChecker) isCalm(at time.Duration) bool {
	return at > bc.sim.options.FaultPeriod+recoveryTime
}

// finishResume checks the time of a resumption (invariant: resumes in time), once both the acknowledgement and the
// start are known. They arrive in any order.
func (bc *billingChecker) finishResume() {
	s, r := bc.sim, bc.pendingResume
	if r.acknowledgedAt == 0 || r.startedAt == 0 {
		return
	}
	took := max(0, r.startedAt-r.acknowledgedAt)
	if bc.isCalm(r.acknowledgedAt) {
		s.countCase("resumes in time")
		s.report.CalmResumes = append(s.report.CalmResumes, took)
		if took > resumeTimeout {
			s.reportBreach("resumes in time", "work went on %v after the top-up %s was acknowledged", took, r.key)
		}
	} else {
		s.report.Resumes = append(s.report.Resumes, took)
	}
	bc.pendingResume = nil
}

// checkResume checks that a start follows a top-up for which tasks waited (invariant: resumes in time).
func (bc *billingChecker) checkResume() {
	s, r := bc.sim, bc.pendingResume
	if r == nil || r.acknowledgedAt == 0 || s.now-r.acknowledgedAt <= resumeTimeout {
		return
	}
	if !bc.hasWaitingTask(r.team, true) { // the task was cancelled, or others took the capacity
		bc.pendingResume = nil
		return
	}
	if bc.isCalm(r.acknowledgedAt) {
		s.reportBreach("resumes in time", "nothing started since the top-up %s was acknowledged at %v",
			r.key, r.acknowledgedAt)
	}
}

// expectAttachment records a long-running task that loses its worker now and must run again.
func (bc *billingChecker) expectAttachment(lost *workerRun) {
	cost := int64(corePrice * 5)
	bc.pendingAttachments = append(bc.pendingAttachments,
		attachment{ref: lost.ref, runID: lost.runID, since: bc.sim.now,
			exhausted: !bc.sim.checker.reference.Accounts.Covers(limitedParty, cost)})
}

// checkAttached checks that long-running tasks which lost their worker run again in time (invariant: attached).
func (bc *billingChecker) checkAttached() {
	s := bc.sim
	bc.pendingAttachments = slices.DeleteFunc(bc.pendingAttachments, func(a attachment) bool {
		j := s.checker.reference.Jobs[a.ref.Job]
		if j == nil || j.Phase != state.JobRunning || s.checker.jobs[a.ref.Job].cancelRequested {
			return true // it was cancelled
		}
		if s.now-a.since > reattachTimeout {
			s.reportBreach("attached", "%v, lost at %v, does not run again", a.ref, a.since)
		}
		return false
	})
}

// hasWaitingTask reports whether some worker has capacity for a due task of the team that a party pays for and whose
// isPayable is payable.
func (bc *billingChecker) hasWaitingTask(team string, payable bool) bool {
	ic := bc.sim.checker
	for _, key := range ic.runningJobs() {
		j := ic.reference.Jobs[key]
		if j.Spec.Team != team {
			continue
		}
		for ref := range tasksOf(j) {
			if ic.fitsNow(j, ref) && bc.isPayable(j, ref) == payable && ic.reference.Fee(j, ref).Party != "" {
				return true
			}
		}
	}
	return false
}

// isPayable reports whether a due task needs no top-up: nobody pays for it, or the balance covers it and no older task
// of the party waits for that balance. For a nil checker every task is payable.
func (bc *billingChecker) isPayable(j *state.Job, ref state.TaskRef) bool {
	if bc == nil {
		return true
	}
	ic := bc.sim.checker
	fee := ic.reference.Fee(j, ref)
	if fee.Party == "" {
		return true
	}
	fee.Cost *= dueTogether(j, ref.Step)
	if !ic.reference.Covers(fee) {
		return false
	}
	for _, key := range ic.runningJobs() {
		if older := ic.reference.Jobs[key]; older.Seq < j.Seq && bc.hasUncoveredTask(older, fee.Party) {
			return false
		}
	}
	return true
}

// dueTogether returns how many due tasks of a step start together: of a gang all, else one.
func dueTogether(j *state.Job, step int) int64 {
	if !j.Spec.Steps[step].Gang {
		return 1
	}
	due := int64(0)
	for i := range j.Tasks[step] {
		if j.Tasks[step][i].Phase == state.TaskDue {
			due++
		}
	}
	return due
}

// hasUncoveredTask reports whether a job of the party has a due task that the balance does not cover.
func (bc *billingChecker) hasUncoveredTask(j *state.Job, party string) bool {
	ic := bc.sim.checker
	if ic.reference.Bundle.PartyOf(j.Spec.Queue, j.Spec.Team) != party {
		return false
	}
	for ref := range tasksOf(j) {
		if j.Tasks[ref.Step][ref.Task].Phase != state.TaskDue || bc.sim.now < ic.dueAt[ref] {
			continue
		}
		fee := ic.reference.Fee(j, ref)
		fee.Cost *= dueTogether(j, ref.Step)
		if !ic.reference.Covers(fee) {
			return true
		}
	}
	return false
}
