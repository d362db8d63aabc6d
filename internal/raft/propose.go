package raft

import (
	"encoding/json"
	"time"

	"crosstide/internal/errs"
)

// Propose appends data as Normal entries first.. of term; they are committed once Ready hands them out with that term.
// Failures: NotLeader (Hint: the leader's address), Unavailable while leadership is transferred. Example:
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

// checkProposable is NotLeader unless this node leads, and Unavailable while it transfers its leadership: entries
// appended then would keep the transferee from having the whole log.
func (c *Core) checkProposable() error {
	if c.role != Leader {
		return errs.Pass(c.notLeader(), "not the leader")
	}
	if c.leadership.transferee != "" {
		return errs.New(errs.Unavailable, "handing over to %s", c.leadership.transferee)
	}
	return nil
}

// notLeader returns the failure of a call that only the leader takes.
func (c *Core) notLeader() error {
	err := errs.New(errs.NotLeader, "%s is %s in term %d", c.cfg.ID, c.role, c.hardState.Term)
	errs.Of(err).Hint = c.leaderAddress()
	return err
}
