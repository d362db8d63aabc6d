package scheduler

import (
	"cmp"

	"crosstide/internal/jobs"
)

// Cause is the reason for which the work of a run was discarded. The values are part of metric labels.
type Cause string

// The causes for which work is discarded. A failure of the run itself isn't among them: its client pays for it.
const (
	CauseJobOver      Cause = "job_over"   // its job was cancelled or has failed
	CausePreempted    Cause = "preempted"  // stopped for a more urgent one
	CauseMoved        Cause = "moved"      // stopped on a slow worker, to restart elsewhere
	CauseGang         Cause = "gang"       // another member of its gang had ended
	CauseUnanswered   Cause = "unanswered" // its start got no answer, and it was stopped lest it start late
	CauseLeaseExpired Cause = "lapsed"     // the lease of its worker expired
	CauseLost         Cause = "lost"       // its worker is gone, or didn't list it any more
	CauseGangTimeout  Cause = "alone"      // it waited too long for the other members of its gang
)

// Discarded is the work discarded for one cause.
type Discarded struct {
	Runs int
	// CoreSeconds is the work of those runs that had no checkpoint, an accelerator counting as coresPerGPU cores. It
	// excludes long-running tasks and runs that an earlier leader started.
	CoreSeconds float64
}

// endCauses maps the reason of an end to its cause, which counts if the run was not stopped for another one. Ends for
// other reasons discard nothing.
var endCauses = map[jobs.EndReason]Cause{
	jobs.EndLeaseExpired: CauseLeaseExpired,
	jobs.EndGangBroken:   CauseGang,
	jobs.EndGangTimeout:  CauseGangTimeout,
	jobs.EndLost:         CauseLost,
	jobs.EndStopped:      CauseLost,
}

// countDiscarded counts the work of a run that neither ended well nor failed by itself. The cause for which it was
// stopped takes precedence over the reason of its end.
func (c *Core) countDiscarded(r *run, reason jobs.EndReason, checkpoint string) {
	cause, known := endCauses[reason]
	if !known || !r.start.sent {
		return
	}
	cause = cmp.Or(r.stop.cause, cause)
	sum := c.discarded[cause]
	sum.Runs++
	if r.ownTerm && !r.longRunning && r.progress.checkpoint == "" && checkpoint == "" {
		sum.CoreSeconds += (c.now - r.start.sentAt).Seconds() * coresOf(r.needs)
	}
	c.discarded[cause] = sum
}
