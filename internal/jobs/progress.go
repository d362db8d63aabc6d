package jobs

import (
	"time"

	"crosstide/internal/errs"
)

// Progress is what the scheduler of a term has decided and what workers have reported: ends first, then starts. It is
// refused whole when the leader of another term wrote it; a start whose preconditions no longer hold is left out alone
// (with the other members of its gang).
type Progress struct {
	Term   uint64    `json:"term"`
	At     time.Time `json:"at"`
	Ends   []End     `json:"ends,omitempty"`
	Starts []Start   `json:"starts,omitempty"`
	Forget []string  `json:"forget,omitempty"` // IDs of workers that are gone; only those without handles are deleted
}

// EndReason is how a run ended or was proved dead. The strings are stored.
type EndReason string

// The reasons of an end. Only EndDone and EndFailed are the task's own; after the others it is due again.
const (
	EndDone         EndReason = "done"
	EndFailed       EndReason = "failed"
	EndStopped      EndReason = "stopped" // as ordered
	EndLeaseExpired EndReason = "lapsed"
	EndGangBroken   EndReason = "broken" // another member of its gang ended
	EndGangTimeout  EndReason = "alone"  // it waited too long for the other members
	EndLost         EndReason = "lost"   // proved dead without an end: never started, or its worker is gone
)

// End records the end of a run.
type End struct {
	Key        RunKey    `json:"r"`
	Worker     string    `json:"w"`
	Reason     EndReason `json:"h"`
	Checkpoint string    `json:"k,omitempty"` // newest saved progress, if any
}

// Start records one run of a task on a worker. The members of a gang are recorded in one Progress.
type Start struct {
	Task   TaskRef `json:"t"`
	Number int     `json:"n"` // above the task's LastRun; one number for all members of a gang
	Worker string  `json:"w"`
}

// Started answers Progress: Recorded says of each start, in order, whether it was recorded.
type Started struct {
	Recorded []bool `json:"recorded,omitempty"`
}

// Progress records ends, then starts, then deletes workers. entryTerm is the term of the log entry that carries it.
// Failure: Stale (the leader of another term wrote it); nothing is changed.
func (t *Table) Progress(entryTerm uint64, p Progress) (Started, error) {
	if p.Term != entryTerm || p.Term < t.Term {
		return Started{}, errs.New(errs.Stale, "progress of term %d in an entry of term %d, after one of term %d",
			p.Term, entryTerm, t.Term)
	}
	t.Term = p.Term
	changed := changedJobs{seen: map[string]bool{}}
	for _, end := range p.Ends {
		if t.recordEnd(end, p.At) {
			changed.add(end.Key.Task.Job)
		}
	}
	recorded := t.recordStarts(p.Term, p.At, p.Starts)
	for i := range recorded {
		if recorded[i] {
			changed.add(p.Starts[i].Task.Job)
		}
	}
	for _, id := range changed.ids {
		t.notify(JobChanged, id)
	}
	t.dropWorkers(p.Forget)
	return Started{Recorded: recorded}, nil
}

// changedJobs lists jobs once each, in the order of their first change.
type changedJobs struct {
	ids  []string
	seen map[string]bool
}

func (c *changedJobs) add(id string) {
	if !c.seen[id] {
		c.seen[id] = true
		c.ids = append(c.ids, id)
	}
}
