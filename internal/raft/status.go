package raft

import (
	"slices"
	"time"
)

// Status is the state of a Core for operators and the runtime.
type Status struct {
	ID                  string            `json:"id"`
	Role                Role              `json:"role"`
	Term                uint64            `json:"term"`
	Leader              string            `json:"leader,omitempty"`
	LeaderAddr          string            `json:"leader_addr,omitempty"`
	Commit              uint64            `json:"commit"`
	Last                uint64            `json:"last"`  // index of the last entry in the log, committed or not
	First               uint64            `json:"first"` // index of the first entry in memory
	Members             []Member          `json:"members"`
	Match               map[string]uint64 `json:"match,omitempty"` // leader: highest durable index by member ID
	LeaseUntil          time.Duration     `json:"lease_until"`     // leader: end of the lease by its clock; 0: none
	Voter               bool              `json:"voter"`           // a voter in the current member set, and not blank
	InvariantViolations uint64            `json:"refused"`         // messages no correct cluster sends: must stay 0
}

// Status returns the state of the node. Its maps and slices are copies.
func (c *Core) Status() Status {
	s := Status{
		ID:                  c.cfg.ID,
		Role:                c.role,
		Term:                c.hardState.Term,
		Leader:              c.leader,
		LeaderAddr:          c.leaderAddress(),
		Commit:              c.commit,
		Last:                c.log.last(),
		First:               c.log.offset + 1,
		Members:             slices.Clone(c.members()),
		Voter:               !c.hardState.VotesUnknown && isVoter(c.members(), c.cfg.ID),
		InvariantViolations: c.refused,
	}
	if c.role == Leader {
		s.Match = map[string]uint64{c.cfg.ID: c.leadership.synced}
		for id, p := range c.leadership.progress {
			s.Match[id] = p.match
		}
		s.LeaseUntil = max(0, c.leaseUntil())
	}
	return s
}

// leaderAddress returns the address of the leader; empty if unknown.
func (c *Core) leaderAddress() string {
	if m, ok := findMember(c.members(), c.leader); ok && c.leader != "" {
		return m.Addr
	}
	return c.leaderAddr
}
