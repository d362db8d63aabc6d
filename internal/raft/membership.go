package raft

import (
	"encoding/json"
	"slices"
	"time"

	"crosstide/internal/errs"
)

// ProposeMembers appends a new member set, which takes effect at once, and returns the index and the term of its entry.
// The set may differ from the current one in one voter: a caught-up learner is promoted, or a voter is removed or
// demoted to a learner. A new machine is added as a learner first; any number of learners may be added and removed.
// Status.Match has the progress of all members. Failures: NotLeader; Unavailable while another change is not committed,
// before the first commit of the term, while leadership is transferred, or if the promoted learner is not caught up;
// Invalid for any other set.
func (c *Core) ProposeMembers(now time.Duration, next []Member) (index, term uint64, err error) {
	c.advanceClock(now)
	if err := c.checkProposable(); err != nil {
		return 0, 0, errs.Pass(err, "propose members")
	}
	if c.latestConfiguration().index > c.commit || c.commit < c.leadership.firstIndex {
		return 0, 0, errs.New(errs.Unavailable,
			"the member set at index %d and the term's first entry %d must be committed first, commit index is %d",
			c.latestConfiguration().index, c.leadership.firstIndex, c.commit)
	}
	if err := validateMembers(next); err != nil {
		return 0, 0, errs.Pass(err, "propose members")
	}
	if err := c.checkMemberChange(next); err != nil {
		return 0, 0, errs.Pass(err, "propose members")
	}
	data, err := json.Marshal(next)
	if err != nil {
		return 0, 0, errs.Wrap(err, errs.Internal, "members")
	}
	c.appendOwn(Members, data)
	c.configurations = append(c.configurations, configuration{c.log.last(), slices.Clone(next)})
	c.updateProgress()
	c.advanceCommit() // without a removed voter, the entries may already have a majority
	return c.log.last(), c.hardState.Term, nil
}

// checkMemberChange checks that next differs from the current member set in at most one voter: any two majorities of
// such sets have a voter in common.
func (c *Core) checkMemberChange(next []Member) error {
	changed := 0
	for _, m := range c.members() {
		n, ok := findMember(next, m.ID)
		if ok && n.Incarnation != m.Incarnation {
			return errs.Field(errs.Invalid, "members", "member %s: incarnation must not change under the same ID", m.ID)
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
		if err := c.checkCaughtUp(n.ID); err != nil {
			return errs.Pass(err, "promote a learner")
		}
	}
	if changed > 1 {
		return errs.Field(errs.Invalid, "members", "at most one voter may change, got %d", changed)
	}
	return nil
}

// checkCaughtUp checks that a node may become a voter: it must be a learner that has nearly the complete log. If
// another voter failed, a new voter that is far behind could block commits until it has caught up.
func (c *Core) checkCaughtUp(id string) error {
	p := c.leadership.progress[id]
	if p == nil {
		return errs.Field(errs.Invalid, "members", "%s must be a learner before it becomes a voter", id)
	}
	if p.votesUnknown || p.match < max(c.leadership.caughtUpIndex, c.latestConfiguration().index) {
		return errs.New(errs.Unavailable, "learner %s is not caught up: at index %d of %d", id, p.match, c.commit)
	}
	return nil
}
