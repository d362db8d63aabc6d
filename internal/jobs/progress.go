package jobs

import "crosstide/internal/errs"

// Progress records ends, then starts, then deletes workers. entryTerm is the term of the log entry that contains p.
// Failure: Stale (the leader of another term wrote p, or a newer term has made progress); the table is unchanged.
func (t *Table) Progress(entryTerm uint64, p Progress) (ProgressResult, error) {
	if p.Term != entryTerm || p.Term < t.Term {
		return ProgressResult{}, errs.New(errs.Stale,
			"progress of term %d in an entry of term %d, after one of term %d", p.Term, entryTerm, t.Term)
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
	t.dropWorkers(p.RemoveWorkers)
	return ProgressResult{Recorded: recorded}, nil
}

// changedJobs is a set of job IDs in the order of insertion.
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
