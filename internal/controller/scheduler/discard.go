package scheduler

import (
	"cmp"

	"crosstide/internal/jobs"
)

// Cause is why the work of a run was discarded. The values are used as metric labels.
type Cause string

// The causes of discarded work. A run that fails isn't among them: its client pays for it.
const (
	CauseJobOver      Cause = "job_over"   // its job was cancelled or has failed
	CausePreempted    Cause = "preempted"  // stopped for a more urgent one
	CauseReclaimed    Cause = "reclaimed"  // backfilled, and stopped for the unit for which its capacity was set aside
	CauseMoved        Cause = "moved"      // stopped on a slow worker, to restart elsewhere
	CauseGang         Cause = "gang"       // another member of its gang had ended
	CauseUnanswered   Cause = "unanswered" // its start got no answer, and it was stopped so that it can't start late
	CauseLeaseExpired Cause = "lapsed"     // the lease of its worker expired
	CauseLost         Cause = "lost"       // its worker is gone or no longer lists it
	CauseGangTimeout  Cause = "alone"      // it waited too long for the other members of its gang
)

// Discarded is the work discarded for one cause.
type Discarded struct {
	Runs int
	// CoreSeconds is the work of the runs without a checkpoint; an accelerator counts as coresPerGPU cores. It excludes
	// long-running tasks and runs that an earlier leader started.
	CoreSeconds float64
}

// endCauses maps end reasons to causes, for runs without a stop cause. Ends for other reasons discard nothing.
var endCauses = map[jobs.EndReason]Cause{
	jobs.EndLeaseExpired: CauseLeaseExpired,
	jobs.EndGangBroken:   CauseGang,
	jobs.EndGangTimeout:  CauseGangTimeout,
	jobs.EndLost:         CauseLost,
	jobs.EndStopped:      CauseLost,
}

// countDiscarded counts the work that the end of a run discards. The cause of its stop takes precedence over the reason
// of its end.
func (c *Core) countDiscarded(r *run, reason jobs.EndReason, checkpoint string) {
	cause, known := endCauses[reason]
	if !known || !r.start.sent {
		return
	}
	cause = cmp.Or(r.stop.cause, cause)
	total := c.discarded[cause]
	total.Runs++
	if r.ownTerm && !r.longRunning && r.progress.checkpoint == "" && checkpoint == "" {
		total.CoreSeconds += (c.now - r.start.sentAt).Seconds() * coresOf(r.needs)
	}
	c.discarded[cause] = total
}
