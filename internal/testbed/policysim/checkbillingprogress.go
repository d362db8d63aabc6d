package policysim

import (
	"encoding/json"
	"slices"
	"time"

	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

const (
	// resumeTimeout bounds the time from the acknowledgement of a top-up to the next start, without faults.
	resumeTimeout = time.Second
	// reattachTimeout bounds the time from the loss of a long-running task's worker to the task's next start, without
	// faults.
	reattachTimeout = 10 * time.Second
)

// resumption is a top-up for which tasks waited. One of them must start within resumeTimeout.
type resumption struct {
	key            string // key of the top-up
	team           string
	runID          uint64        // the newest run ID before the top-up
	acknowledgedAt time.Duration // when the operator had the answer; 0: not yet
	startedAt      time.Duration // when the first run after it started; 0: not yet
}

// reattachment is a long-running task that lost its worker and must be restarted.
type reattachment struct {
	ref       state.TaskRef
	runID     uint64        // of the lost run
	since     time.Duration // when its worker was killed
	exhausted bool          // the balance did not cover a start at that time
}

// checkDeadlines checks the pending resumption and reattachments every 100 ms.
func (bc *billingChecker) checkDeadlines() {
	bc.sim.schedule(100*time.Millisecond, bc.checkDeadlines)
	bc.checkResume()
	bc.checkReattached()
}

// applyTopUp calls apply, which applies a top-up, and then expects a start if a task waited for the top-up.
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

// observeStart records that a worker starts a run (invariant: attached). A nil checker ignores it.
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
	bc.pendingReattachments = slices.DeleteFunc(bc.pendingReattachments, func(a reattachment) bool {
		if a.ref != ref || runID <= a.runID {
			return false
		}
		s.countCase("attached")
		s.report.ReattachDelays = append(s.report.ReattachDelays, s.now-a.since)
		if a.exhausted {
			s.report.Counts["lasting tasks attached again while dry"]++
		}
		return true
	})
}

// isAfterRecovery reports whether, by the time at, recoveryTime had passed since the faults ended. The timeouts apply
// only then.
func (bc *billingChecker) isAfterRecovery(at time.Duration) bool {
	return at > bc.sim.options.FaultPeriod+recoveryTime
}

// finishResume checks the time of a resumption (invariant: resumes in time) once both the acknowledgement and the start
// have been observed, in either order.
func (bc *billingChecker) finishResume() {
	s, r := bc.sim, bc.pendingResume
	if r.acknowledgedAt == 0 || r.startedAt == 0 {
		return
	}
	took := max(0, r.startedAt-r.acknowledgedAt)
	if bc.isAfterRecovery(r.acknowledgedAt) {
		s.countCase("resumes in time")
		s.report.ResumeDelaysAfterFaults = append(s.report.ResumeDelaysAfterFaults, took)
		if took > resumeTimeout {
			s.reportViolation("resumes in time", "work went on %v after the top-up %s was acknowledged", took, r.key)
		}
	} else {
		s.report.ResumeDelays = append(s.report.ResumeDelays, took)
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
	if bc.isAfterRecovery(r.acknowledgedAt) {
		s.reportViolation("resumes in time", "nothing started since the top-up %s was acknowledged at %v",
			r.key, r.acknowledgedAt)
	}
}

// expectReattachment records a long-running task that loses its worker now and must be restarted.
func (bc *billingChecker) expectReattachment(lost *workerRun) {
	cost := int64(corePrice * 5)
	bc.pendingReattachments = append(bc.pendingReattachments,
		reattachment{ref: lost.ref, runID: lost.runID, since: bc.sim.now,
			exhausted: !bc.sim.checker.reference.Accounts.Covers(limitedParty, cost)})
}

// checkReattached checks that long-running tasks are restarted in time after the loss of their worker (invariant:
// attached).
func (bc *billingChecker) checkReattached() {
	s := bc.sim
	bc.pendingReattachments = slices.DeleteFunc(bc.pendingReattachments, func(a reattachment) bool {
		j := s.checker.reference.Jobs[a.ref.Job]
		if j == nil || j.Phase != state.JobRunning || s.checker.jobs[a.ref.Job].cancelRequested {
			return true // it was cancelled
		}
		if s.now-a.since > reattachTimeout {
			s.reportViolation("attached", "%v, lost at %v, does not run again", a.ref, a.since)
		}
		return false
	})
}

// hasWaitingTask reports whether a worker has capacity for a due task of the team that a party pays for and for which
// isPayable returns payable.
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

// isPayable reports whether a due task can start without a top-up: no party pays for it, or the balance covers it and
// no job of the party that is older has a task which the balance does not cover. For a nil checker every task is
// payable.
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

// dueTogether returns the number of due tasks of a step that start together: all of a gang, otherwise 1.
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
