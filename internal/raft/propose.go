package raft

import (
	"encoding/json"
	"time"

	"crosstide/internal/errs"
)

// Propose appends data as Normal entries first.. of term; they are committed once Ready hands them out with that
// term. Failures: NotLeader (Hint: the leader's address), Unavailable while a handover runs. Example:
//
//	first, term, err := core.Propose(now, a, b) // a is entry first, b is first+1
func (c *Core) Propose(now time.Duration, data ...json.RawMessage) (first, term uint64, err error) {
	c.advanceClock(now)
	if err := c.checkLeading(); err != nil {
		return 0, 0, errs.Pass(err, "propose")
	}
	first = c.log.last() + 1
	for _, d := range data {
		c.appendOwn(Normal, d)
	}
	return first, c.hardState.Term, nil
}

func (c *Core) checkLeading() error {
	if c.role != Leader {
		return errs.Pass(c.notLeader(), "not the leader")
	}
	if c.leadership.transferee != "" {
		return errs.New(errs.Unavailable, "handing over to %s", c.leadership.transferee)
	}
	return nil
}

// ProposeMembers appends a new member set. It may differ from the present one in one voter: a learner that is
// caught up is promoted, or a voter is removed or made a learner. A new machine is added as a learner first.
// Learners come and go freely. Status().Match shows their progress.
// Failures: NotLeader; Unavailable while another change is not committed, before the first commit of the term, or
// when the promoted learner is not caught up; Invalid for a set that is refused.
func (c *Core) ProposeMembers(now time.Duration, next []Member) (index, term uint64, err error) {
	c.advanceClock(now)
	if err := c.checkLeading(); err != nil {
		return 0, 0, errs.Pass(err, "propose members")
	}
	if c.configurations[len(c.configurations)-1].index > c.commit || c.commit < c.leadership.firstIndex {
		return 0, 0, errs.New(errs.Unavailable, "a change of members, or the first entry of the term, is not committed yet")
	}
	if err := validateMembers(next); err != nil {
		return 0, 0, errs.Pass(err, "propose members")
	}
	changed := 0
	for _, m := range c.members() {
		n, ok := findMember(next, m.ID)
		if ok && n.Incarnation != m.Incarnation {
			return 0, 0, errs.Field(errs.Invalid, "members", "%s keeps its ID but not its incarnation", m.ID)
		}
		if !m.Learner && (!ok || n.Learner) {
			changed++
		}
	}
	for _, n := range next {
		if n.Learner || isVoter(c.members(), n.ID) {
			continue
		}
		changed++
		p := c.leadership.progress[n.ID]
		if p == nil {
			return 0, 0, errs.Field(errs.Invalid, "members", "%s must be a learner before it is a voter", n.ID)
		}
		if p.blank || p.match < max(c.leadership.caughtUpIndex, c.configurations[len(c.configurations)-1].index) {
			return 0, 0, errs.New(errs.Unavailable, "learner %s is not caught up: at %d of %d", n.ID, p.match, c.commit)
		}
	}
	if changed > 1 {
		return 0, 0, errs.Field(errs.Invalid, "members", "%d voters change, one may", changed)
	}
	data, err := json.Marshal(next)
	if err != nil {
		return 0, 0, errs.Wrap(err, errs.Internal, "members")
	}
	c.appendOwn(Members, data)
	c.configurations = append(c.configurations, configuration{c.log.last(), append([]Member(nil), next...)})
	c.updateProgress()
	c.advanceCommit() // fewer voters may be a majority already
	return c.log.last(), c.hardState.Term, nil
}

// TransferLeadership lets the voter to take over, once it has the whole log. Until then proposals are refused; the leader
// gives up its lease when it asks the other to campaign. The handover is abandoned after one Election.
// Failures: NotLeader, Unavailable while one runs, Invalid if to is not another voter.
func (c *Core) TransferLeadership(now time.Duration, to string) error {
	c.advanceClock(now)
	if err := c.checkLeading(); err != nil {
		return errs.Pass(err, "handover")
	}
	if to == c.cfg.ID || !isVoter(c.members(), to) {
		return errs.Field(errs.Invalid, "to", "%s is not another voter", to)
	}
	c.leadership.transferee, c.leadership.transferDeadline = to, c.now+c.cfg.ElectionTimeout
	c.sendTimeoutNow()
	return nil
}

// sendTimeoutNow asks the successor to campaign if it has the whole log.
func (c *Core) sendTimeoutNow() {
	if p := c.leadership.progress[c.leadership.transferee]; p != nil && p.match == c.log.last() && !p.blank {
		c.leadership.timeoutNowSent = true
		c.messages = append(c.messages, Message{Kind: TimeoutNow, From: c.cfg.ID, To: c.leadership.transferee, Term: c.hardState.Term})
	}
}
