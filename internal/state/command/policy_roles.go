package command

import (
	"crosstide/internal/errs"
	"crosstide/internal/state"
)

// GrantRole grants a role to a holder if After is still its epoch. The new epoch is the entry's index, so if two nodes
// claim a role concurrently, only the first entry succeeds. The answer is the state.Role.
type GrantRole struct {
	Role        string `json:"duty"`
	Holder      string `json:"holder"`
	Addr        string `json:"addr"`
	Incarnation string `json:"boot"`
	After       uint64 `json:"after"` // the epoch that the claimant knows; 0 before the first grant
}

// Op returns "grant".
func (*GrantRole) Op() string { return "grant" }

func (c *GrantRole) apply(s *state.State, index uint64) (any, error) {
	if epoch := epochOf(s, c.Role); epoch != c.After {
		return nil, errs.New(errs.Stale, "duty %s is at epoch %d, not %d", c.Role, epoch, c.After)
	}
	role := &state.Role{Holder: c.Holder, Addr: c.Addr, Incarnation: c.Incarnation, Epoch: index}
	s.Roles[c.Role] = role
	s.NotifyChange(state.EventRoleChanged, c.Role)
	return *role, nil
}

// ReleaseRole releases a role before its lease expires. From this entry on, the holder no longer acts under Epoch.
type ReleaseRole struct {
	Role  string `json:"duty"`
	Epoch uint64 `json:"epoch"`
}

// Op returns "giveup".
func (*ReleaseRole) Op() string { return "giveup" }

func (c *ReleaseRole) apply(s *state.State, index uint64) (any, error) {
	if role := s.Roles[c.Role]; role == nil || role.Epoch != c.Epoch {
		return nil, errs.New(errs.Stale, "duty %s is not at epoch %d", c.Role, c.Epoch)
	}
	s.Roles[c.Role] = &state.Role{Epoch: index}
	s.NotifyChange(state.EventRoleChanged, c.Role)
	return nil, nil
}

// epochOf returns the epoch of a role; 0 before its first grant.
func epochOf(s *state.State, name string) uint64 {
	if role := s.Roles[name]; role != nil {
		return role.Epoch
	}
	return 0
}
