package policysim

import (
	"context"
	"encoding/json"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/state/command"
	"crosstide/internal/store"
)

// propose serves internalapi.Propose. It calls done once, with the outcome of the command.
func (c *controlPlane) propose(cmd command.Command, done func(index uint64, answer any, err error)) {
	if plan, ok := cmd.(*command.Plan); ok {
		cmd, done = c.proposedPlan(plan), c.observeCommit(plan.Epoch, done)
	}
	pending, err := c.driver.Propose(cmd)
	if err != nil {
		done(0, nil, err)
		return
	}
	c.proposals = append(c.proposals, &proposal{pending, c.Now() + 2*time.Second, done})
	c.advance()
}

// proposedPlan returns the plan to propose. Without the guard epoch it replaces the plan's epoch by the role's current
// one, so that the store accepts a plan of any epoch.
func (c *controlPlane) proposedPlan(plan *command.Plan) *command.Plan {
	role := c.driver.State().Roles["sched"]
	if c.sim.options.WithoutGuard != "epoch" || role == nil {
		return plan
	}
	current := *plan
	current.Epoch = role.Epoch
	return &current
}

// observeCommit wraps done to report the commit of a plan that was decided under an epoch to the checker.
func (c *controlPlane) observeCommit(epoch uint64, done func(index uint64, answer any, err error),
) func(index uint64, answer any, err error) {
	return func(index uint64, answer any, err error) {
		if err == nil {
			c.sim.checker.observePlanCommitted(epoch, index)
		}
		done(index, answer, err)
	}
}

// grantRole serves internalapi.ClaimRole.
func (c *controlPlane) grantRole(call internalapi.ClaimRoleCall, reply func(any, error)) {
	lease, granted, cmd, err := c.driver.ClaimRole(call)
	if err != nil || cmd == nil {
		reply(c.sentLease(lease), err)
		return
	}
	c.propose(cmd, func(index uint64, _ any, err error) {
		lease, err := c.driver.FinishRoleCall(call, granted, index, err)
		reply(c.sentLease(lease), err)
	})
}

// sentLease returns the lease to send to the claimant. Without the guard lease it is 8 times the granter's.
func (c *controlPlane) sentLease(lease internalapi.RoleLease) internalapi.RoleLease {
	if c.sim.options.WithoutGuard == "lease" {
		lease.TTL *= 8
	}
	return lease
}

// follow serves internalapi.Follow: it replies with the changes after version as soon as there are any, or with an
// empty answer after wait.
func (c *controlPlane) follow(version uint64, wait time.Duration, reply func(any, error)) {
	c.pendingFollows = append(c.pendingFollows, &pendingFollow{version, c.Now() + wait, reply})
	c.answerPendingCalls()
}

// join serves internalapi.Join.
func (c *controlPlane) join(call internalapi.JoinCall) (internalapi.JoinAnswer, error) {
	answer, err := c.store.Join(context.Background(), call)
	return answer, errs.Pass(err, "join")
}

// encodeJSON returns the wire encoding of an answer.
func encodeJSON(answer any) json.RawMessage {
	raw, err := json.Marshal(answer)
	must(err)
	return raw
}

// directNetwork is the store's network for calls that are made and answered within one event. They fail like other
// calls, but take no virtual time. The embedded interface is nil: the store makes no other calls in the simulator.
type directNetwork struct {
	store.Net
	controlPlane *controlPlane
}

// reachable returns the node at addr, or an error if a call to it or the answer would be lost.
func (d directNetwork) reachable(addr string) (*controlPlane, error) {
	s, from := d.controlPlane.sim, d.controlPlane.process
	to := s.byAddr[addr]
	if to == nil || !to.alive || to.frozen || s.blocked(from, to) || s.blocked(to, from) ||
		s.chance(s.network.lossRate) {
		return nil, errs.New(errs.Unavailable, "no response from %s", addr)
	}
	return s.controlPlaneAt(to), nil
}

// FetchChunk returns a chunk of a peer's snapshot.
func (d directNetwork) FetchChunk(_ context.Context, addr string, call internalapi.ChunkCall,
) (internalapi.ChunkAnswer, error) {
	peer, err := d.reachable(addr)
	if err != nil {
		return internalapi.ChunkAnswer{}, errs.Pass(err, "chunk")
	}
	answer, err := peer.store.Chunk(call)
	return answer, errs.Pass(err, "chunk")
}

// BootstrapStatus returns whether a peer has an empty data folder too or is a member of an existing store.
func (d directNetwork) BootstrapStatus(_ context.Context, addr string, call internalapi.DiscoverCall,
) (internalapi.DiscoverAnswer, error) {
	peer, err := d.reachable(addr)
	if err != nil {
		return internalapi.DiscoverAnswer{}, errs.Pass(err, "found")
	}
	return peer.store.BootstrapStatus(call), nil
}
