package raft

import (
	"slices"

	"crosstide/internal/errs"
)

// Status returns a view of the node.
func (c *Core) Status() Status {
	s := Status{ID: c.cfg.ID, Role: c.role, Term: c.hardState.Term, Leader: c.leader, Commit: c.commit, Last: c.log.last(),
		First: c.log.offset + 1, Members: slices.Clone(c.members()), Voter: !c.hardState.Blank && isVoter(c.members(), c.cfg.ID), Refused: c.refused, LeaderAddr: c.leaderAddress()}
	if c.role == Leader {
		s.Match = map[string]uint64{c.cfg.ID: c.leadership.synced}
		for id, p := range c.leadership.progress {
			s.Match[id] = p.match
		}
		s.LeaseUntil = max(0, c.leaseUntil())
	}
	return s
}

// CommittedMembers returns the newest member set that is known here to be committed, and the index of its entry;
// none on a node that began empty and has not caught up.
func (c *Core) CommittedMembers() (index uint64, members []Member) {
	if len(c.configurations) == 0 {
		return 0, nil
	}
	return c.configurations[0].index, slices.Clone(c.configurations[0].members)
}

// MemberSince returns the index of the oldest set known here, committed or not, that has this node; 0 if none has.
func (c *Core) MemberSince() uint64 {
	for _, f := range c.configurations {
		if _, ok := findMember(f.members, c.cfg.ID); ok {
			return f.index
		}
	}
	return 0
}

// leaderAddress is the address of the leader, if known.
func (c *Core) leaderAddress() string {
	if m, ok := findMember(c.members(), c.leader); ok && c.leader != "" {
		return m.Addr
	}
	return c.leaderAddr
}

// notLeader returns the failure for a call that only the leader takes.
func (c *Core) notLeader() error {
	err := errs.New(errs.NotLeader, "%s is %s in term %d", c.cfg.ID, c.role, c.hardState.Term)
	errs.Of(err).Hint = c.leaderAddress()
	return err
}

// Entries returns committed entries from an index on, about limitBytes of them but one at least; none if from is
// not committed yet. Failure: Unknown if they are compacted; take a snapshot then. Example:
//
//	es, err := core.Entries(seen+1, 1<<20)
func (c *Core) Entries(from uint64, limitBytes int) ([]Entry, error) {
	if from <= c.log.offset {
		return nil, errs.New(errs.Unknown, "entry %d is compacted, the log begins at %d", from, c.log.offset+1)
	}
	return c.log.sliceUpTo(from, c.commit, limitBytes), nil
}
