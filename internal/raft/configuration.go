package raft

import (
	"encoding/json"
	"slices"

	"crosstide/internal/errs"
)

// configuration is a member set and the index of the entry or the snapshot that defines it.
type configuration struct {
	index   uint64
	members []Member
}

// configurationOf decodes and validates the set of a Members entry. Failures: Damaged, Invalid.
func configurationOf(e Entry) (configuration, error) {
	conf := configuration{index: e.Index}
	if err := json.Unmarshal(e.Data, &conf.members); err != nil {
		return conf, errs.Wrap(err, errs.Damaged, "members at index %d", e.Index)
	}
	return conf, errs.Pass(validateMembers(conf.members), "members at index %d", e.Index)
}

// configurationsOf returns the member sets in entries, in order of index. Failures: Damaged, Invalid.
func configurationsOf(entries []Entry) ([]configuration, error) {
	var configurations []configuration
	for _, e := range entries {
		if e.Kind != Members {
			continue
		}
		conf, err := configurationOf(e)
		if err != nil {
			return nil, errs.Pass(err, "entries")
		}
		configurations = append(configurations, conf)
	}
	return configurations, nil
}

// DecodeMembers returns the member set of a Members entry. Failures: Damaged if its data cannot be decoded, Invalid.
func DecodeMembers(e Entry) ([]Member, error) {
	conf, err := configurationOf(e)
	return conf.members, errs.Pass(err, "decode")
}

// validateMembers checks that the IDs of a member set are unique and not empty, and that it has a voter. Failure:
// Invalid.
func validateMembers(members []Member) error {
	seen := make(map[string]bool, len(members))
	voters := 0
	for _, m := range members {
		if m.ID == "" || seen[m.ID] {
			return errs.Field(errs.Invalid, "members", "ID %q is empty or duplicate", m.ID)
		}
		seen[m.ID] = true
		if !m.Learner {
			voters++
		}
	}
	if voters == 0 {
		return errs.Field(errs.Invalid, "members", "at least one voter is required")
	}
	return nil
}

// findMember returns the member with the ID, and whether there is one.
func findMember(members []Member, id string) (Member, bool) {
	if i := slices.IndexFunc(members, func(m Member) bool { return m.ID == id }); i >= 0 {
		return members[i], true
	}
	return Member{}, false
}

// isVoter reports whether the member with the ID is a voter.
func isVoter(members []Member, id string) bool {
	m, ok := findMember(members, id)
	return ok && !m.Learner
}

// latestConfiguration returns the current member set. It panics without one, which is possible only on a blank
// node.
func (c *Core) latestConfiguration() configuration { return c.configurations[len(c.configurations)-1] }

// members returns the members of the current set, or nil if none is known.
func (c *Core) members() []Member {
	if len(c.configurations) == 0 {
		return nil
	}
	return c.latestConfiguration().members
}

// clearVotesUnknown clears HardState.VotesUnknown if members, a committed set, has this node as a learner. As learners
// have no vote, the node cannot have forgotten one that it cast under its ID.
func (c *Core) clearVotesUnknown(members []Member) {
	if m, ok := findMember(members, c.cfg.ID); ok && m.Learner && c.hardState.VotesUnknown {
		c.hardState.VotesUnknown, c.hardStateChanged = false, true
	}
}

// CommittedMembers returns the newest member set that this node knows to be committed, and the index of its entry. It
// returns 0 and nil on a node that started with an empty folder and has received no snapshot yet.
func (c *Core) CommittedMembers() (index uint64, members []Member) {
	if len(c.configurations) == 0 {
		return 0, nil
	}
	return c.configurations[0].index, slices.Clone(c.configurations[0].members)
}

// MemberSince returns the index of the oldest known set, committed or not, that has this node as a member, or 0 if no
// known set has it.
func (c *Core) MemberSince() uint64 {
	for _, conf := range c.configurations {
		if _, ok := findMember(conf.members, c.cfg.ID); ok {
			return conf.index
		}
	}
	return 0
}
