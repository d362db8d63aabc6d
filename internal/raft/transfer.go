package raft

import (
	"time"

	"crosstide/internal/errs"
)

// TransferLeadership lets a voter take over, once it has the whole log. Until then proposals are rejected; the leader
// ends its lease when it asks the other to campaign. The transfer is abandoned after one election time-out.
// Failures: NotLeader, Unavailable while one runs, Invalid if to is not another voter.
func (c *Core) TransferLeadership(now time.Duration, to string) error {
	c.advanceClock(now)
	if err := c.checkProposable(); err != nil {
		return errs.Pass(err, "handover")
	}
	if to == c.cfg.ID || !isVoter(c.members(), to) {
		return errs.Field(errs.Invalid, "to", "%s is not another voter", to)
	}
	c.leadership.transferee, c.leadership.transferDeadline = to, c.now+c.cfg.ElectionTimeout
	c.sendTimeoutNow()
	return nil
}

// sendTimeoutNow asks the transferee to campaign if it has the whole log.
func (c *Core) sendTimeoutNow() {
	l := &c.leadership
	if p := l.progress[l.transferee]; p != nil && p.match == c.log.last() && !p.blank {
		l.timeoutNowSent = true
		c.messages = append(c.messages,
			Message{Kind: TimeoutNow, From: c.cfg.ID, To: l.transferee, Term: c.hardState.Term})
	}
}
