package raft

import (
	"time"

	"crosstide/internal/errs"
)

// TransferLeadership asks the voter with the ID to to campaign once it has the whole log, and rejects proposals until
// then. The leader ends its lease when it asks. After one election time-out it abandons the transfer, or steps down if
// it has asked already. Failures: NotLeader, Unavailable while a transfer is pending, Invalid if to is not another
// voter.
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

// sendTimeoutNow asks the transferee to campaign if it has the whole log. The lease ends first: from then on the
// transferee may win at any moment.
func (c *Core) sendTimeoutNow() {
	l := &c.leadership
	if p := l.progress[l.transferee]; p != nil && p.match == c.log.last() && !p.blank {
		l.timeoutNowSent = true
		c.messages = append(c.messages,
			Message{Kind: TimeoutNow, From: c.cfg.ID, To: l.transferee, Term: c.hardState.Term})
	}
}
