package raft

import (
	"encoding/json"
	"time"

	"crosstide/internal/errs"
)

// Propose appends each data as a Normal entry, and returns the index of the first and their term. An entry is
// committed once a Ready hands it out in CommittedEntries; another term at that index means that it is lost. Failures:
// NotLeader (its Hint is the leader's address), Unavailable while leadership is transferred. Example:
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

// checkProposable returns NotLeader unless this node leads, and Unavailable while it transfers its leadership: with
// entries appended then, the transferee might never have the whole log.
func (c *Core) checkProposable() error {
	if c.role != Leader {
		return errs.Pass(c.notLeader(), "not the leader")
	}
	if c.leadership.transferee != "" {
		return errs.New(errs.Unavailable, "handing over to %s", c.leadership.transferee)
	}
	return nil
}

// notLeader returns the error of a call that only the leader accepts.
func (c *Core) notLeader() error {
	err := errs.New(errs.NotLeader, "%s is %s in term %d", c.cfg.ID, c.role, c.hardState.Term)
	errs.Of(err).Hint = c.leaderAddress()
	return err
}
