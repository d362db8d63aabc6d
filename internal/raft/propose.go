package raft

import (
	"encoding/json"
	"time"

	"crosstide/internal/errs"
)

// Propose appends each data as a Normal entry, and returns the index of the first entry and the term of all. An entry
// is committed once Ready returns it in CommittedEntries; if an entry with another term is committed at its index, the
// proposal is lost. Failures: NotLeader (its Hint is the leader's address), Unavailable while leadership is
// transferred. Example:
//
//	first, term, err := core.Propose(now, a, b) // a is entry first, b is first+1
func (c *Core) Propose(now time.Duration, data ...json.RawMessage) (first, term uint64, err error) {
	c.advanceClock(now)
	if err := c.checkProposable(); err != nil {
		return 0, 0, errs.Pass(err, "propose")
	}
	first = c.log.last() + 1
	for _, d := range data {
		c.appendOwn(Normal, d)
	}
	return first, c.hardState.Term, nil
}

// checkProposable returns NotLeader unless this node is the leader, and Unavailable while it transfers its leadership:
// if entries were appended then, the transferee might never have the complete log.
func (c *Core) checkProposable() error {
	if c.role != Leader {
		return errs.Pass(c.notLeader(), "not the leader")
	}
	if c.leadership.transferee != "" {
		return errs.New(errs.Unavailable, "leadership is being transferred to %s", c.leadership.transferee)
	}
	return nil
}

// notLeader returns the error for a call that only the leader accepts.
func (c *Core) notLeader() error {
	err := errs.New(errs.NotLeader, "%s is %s in term %d", c.cfg.ID, c.role, c.hardState.Term)
	errs.Of(err).Hint = c.leaderAddress()
	return err
}
