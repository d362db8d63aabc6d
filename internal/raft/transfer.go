package raft

import (
	"time"

	"crosstide/internal/errs"
)

// TransferLeadership sends TimeoutNow to the voter whose ID is to, once that voter has the complete log. Proposals are
// rejected during the transfer. The leader ends its lease when it sends TimeoutNow. After one election time-out it
// steps down if it has sent TimeoutNow, and abandons the transfer otherwise. Failures: NotLeader, Unavailable while a
// transfer is pending, Invalid if to is not another voter.
func (c *Core) TransferLeadership(now time.Duration, to string) error {
	c.advanceClock(now)
	if err := c.checkProposable(); err != nil {
		return errs.Pass(err, "transfer leadership")
	}
	if to == c.cfg.ID || !isVoter(c.members(), to) {
		return errs.Field(errs.Invalid, "to", "%s is not another voter", to)
	}
	c.leadership.transferee, c.leadership.transferDeadline = to, c.now+c.cfg.ElectionTimeout
	c.sendTimeoutNow()
	return nil
}

// sendTimeoutNow asks the transferee to campaign if it has the complete log and is not blank. The lease ends at the
// same time, as the transferee may win at any moment from then on.
func (c *Core) sendTimeoutNow() {
	l := &c.leadership
	if p := l.progress[l.transferee]; p != nil && p.match == c.log.last() && !p.votesUnknown {
		l.timeoutNowSent = true
		c.messages = append(c.messages,
			Message{Kind: TimeoutNow, From: c.cfg.ID, To: l.transferee, Term: c.hardState.Term})
	}
}
