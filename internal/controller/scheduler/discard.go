package scheduler

import (
	"cmp"

	"crosstide/internal/jobs"
)

// Cause says why the work of a run was thrown away.
type Cause string

// The causes for which work is thrown away. A run that fails by its own fault is not among them: its client pays for it.
const (
	CauseJobOver      Cause = "job_over"   // its job was cancelled or given up
	CausePreempted    Cause = "preempted"  // stopped for a more urgent one
	CauseMoved        Cause = "moved"      // stopped on a slow worker, to begin anew elsewhere
	CauseGang         Cause = "gang"       // another member of its gang had ended
	CauseUnanswered   Cause = "unanswered" // its start was never answered, and it was stopped lest it begins late
	CauseLeaseExpired Cause = "lapsed"     // the lease of its worker was over
	CauseLost         Cause = "lost"       // its worker was gone, or did not list it any more
	CauseGangTimeout  Cause = "alone"      // it waited too long for the other members of its gang
)

// Discarded is the work thrown away for one cause.
type Discarded struct {
	Runs int
	// CoreSeconds is the work of those runs that had no checkpoint, an accelerator counting as coresPerGPU cores. Lasting
	// tasks are not in it, nor runs that an earlier leader started.
	CoreSeconds float64
}

// endCauses are the causes that the end of a run tells by itself.
var endCauses = map[jobs.EndReason]Cause{
	jobs.EndLeaseExpired: CauseLeaseExpired, jobs.EndGangBroken: CauseGang, jobs.EndGangTimeout: CauseGangTimeout, jobs.EndLost: CauseLost, jobs.EndStopped: CauseLost,
}

// discard counts a run that ended neither well nor by its own fault. Why it was stopped goes before how it ended.
func (c *Core) discard(r *run, reason jobs.EndReason, checkpoint string) {
	cause, known := endCauses[reason]
	if !known || !r.sent {
		return
	}
	cause = cmp.Or(r.cause, cause)
	sum := c.discarded[cause]
	sum.Runs++
	if r.ownTerm && !r.longRunning && r.checkpoint == "" && checkpoint == "" {
		sum.CoreSeconds += (c.now - r.sentAt).Seconds() * coresOf(r.needs)
	}
	c.discarded[cause] = sum
}
