package policysim

import (
	"encoding/json"
	"slices"
	"time"

	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

const (
	// resumeTimeout is from the acknowledgement of a top-up until work goes on, once the faults are over.
	resumeTimeout = time.Second
	// reattachTimeout is from the loss of a long-running task's worker until it runs again, once the faults are over.
	reattachTimeout = 10 * time.Second
)

// resumption is a top-up after which work must go on that waited for it.
type resumption struct {
	key            string // of the top-up
	team           string
	runID          uint64        // the newest before the top-up
	acknowledgedAt time.Duration // to the operator; 0: not yet
	startedAt      time.Duration // of the first run after it; 0: not yet
}

// attachment is a long-running task that lost its worker and must run again.
type attachment struct {
	ref       state.TaskRef
	runID     uint64 // that was lost
	since     time.Duration
	exhausted bool // the account could not pay for it then
}

// checkDeadlines checks what must happen in time, every 100 ms.
func (bc *billingChecker) checkDeadlines() {
	bc.sim.schedule(100*time.Millisecond, bc.checkDeadlines)
	bc.checkResume()
	bc.checkAttached()
}

// applyTopUp applies a top-up by calling apply. If work waited for just that, it must go on.
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

// observeTopUpAnswer takes in that the operator has the acknowledgement of a top-up.
func (bc *billingChecker) observeTopUpAnswer(topUp *command.AccountTopUp) {
	if r := bc.pendingResume; r != nil && r.key == topUp.Key {
		r.acknowledgedAt = bc.sim.now
		bc.finishResume()
	}
}

// observeStart takes in that a worker starts a run (invariant: attached). A nil checker does nothing.
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

// isCalm tells whether a moment is so long after the faults that work must go on in time.
func (bc *billingChecker) isCalm(at time.Duration) bool {
	return at > bc.sim.options.FaultPeriod+recoveryTime
}

// finishResume checks the time of a resumption (invariant: resumes in time), once both the acknowledgement and the
// start are known. They come in any order.
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

// checkResume checks for work that does not go on after a top-up (invariant: resumes in time).
func (bc *billingChecker) checkResume() {
	s, r := bc.sim, bc.pendingResume
	if r == nil || r.acknowledgedAt == 0 || s.now-r.acknowledgedAt <= resumeTimeout {
		return
	}
	if !bc.hasWaitingTask(r.team, true) { // it was cancelled, or others took the capacity
		bc.pendingResume = nil
		return
	}
	if bc.isCalm(r.acknowledgedAt) {
		s.reportBreach("resumes in time", "nothing started since the top-up %s was acknowledged at %v",
			r.key, r.acknowledgedAt)
	}
}

// expectAttachment lets a long-running task, whose worker is lost now, be one that must run again.
func (bc *billingChecker) expectAttachment(lost *workerRun) {
	cost := int64(corePrice * 5)
	bc.pendingAttachments = append(bc.pendingAttachments,
		attachment{ref: lost.ref, runID: lost.runID, since: bc.sim.now,
			exhausted: !bc.sim.checker.reference.Accounts.Covers(limitedParty, cost)})
}

// checkAttached checks for long-running tasks that were lost and do not run again (invariant: attached).
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

// hasWaitingTask tells whether a due task of a team that a party pays for has capacity on a worker, and is payable or
// not.
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

// isPayable tells whether a due task needs no top-up: nobody pays for it, or the balance covers it and no older task of
// the party waits for that balance. For a nil checker every task is payable.
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

// dueTogether is how many due tasks of a step start together.
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

// hasUncoveredTask tells whether a job of the party has a due task that the balance does not cover.
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
