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

// propose answers internalapi.Propose: done is called with the outcome of the command.
func (c *controlPlane) propose(cmd command.Command, done func(index uint64, answer any, err error)) {
	if plan, ok := cmd.(*command.Plan); ok {
		cmd, done = c.proposedPlan(plan), c.observed(plan.Epoch, done)
	}
	pending, err := c.driver.Propose(cmd)
	if err != nil {
		done(0, nil, err)
		return
	}
	c.proposals = append(c.proposals, &proposal{pending, c.Now() + 2*time.Second, done})
	c.advance()
}

// proposedPlan is the plan as it is proposed: without the guard epoch, under the epoch in force.
func (c *controlPlane) proposedPlan(plan *command.Plan) *command.Plan {
	role := c.driver.State().Roles["sched"]
	if c.sim.options.WithoutGuard != "epoch" || role == nil {
		return plan
	}
	passed := *plan
	passed.Epoch = role.Epoch
	return &passed
}

// observed lets the checker have the outcome of a plan that was decided under an epoch.
func (c *controlPlane) observed(epoch uint64, done func(index uint64, answer any, err error),
) func(index uint64, answer any, err error) {
	return func(index uint64, answer any, err error) {
		if err == nil {
			c.sim.checker.observePlanCommitted(epoch, index)
		}
		done(index, answer, err)
	}
}

// grantRole answers internalapi.ClaimRole.
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

// sentLease is a lease as the claimant has it: without the guard lease, longer than the granter waits.
func (c *controlPlane) sentLease(lease internalapi.RoleLease) internalapi.RoleLease {
	if c.sim.options.WithoutGuard == "lease" {
		lease.TTL *= 8
	}
	return lease
}

// follow answers internalapi.Follow: once there is a change after the version, or with nothing after the wait.
func (c *controlPlane) follow(version uint64, wait time.Duration, reply func(any, error)) {
	c.followers = append(c.followers, &follower{version, c.Now() + wait, reply})
	c.answerWaiting()
}

// join answers internalapi.Join.
func (c *controlPlane) join(call internalapi.JoinCall) (internalapi.JoinAnswer, error) {
	answer, err := c.store.Join(context.Background(), call)
	return answer, errs.Pass(err, "join")
}

// encodeJSON is what an answer is on the wire.
func encodeJSON(answer any) json.RawMessage {
	raw, err := json.Marshal(answer)
	must(err)
	return raw
}

// directNetwork is the store's network for the calls that are made within one event. They fail as others do, but take
// no time. The embedded interface is nil: the store makes no other call here.
type directNetwork struct {
	store.Net
	controlPlane *controlPlane
}

// reachable returns the node at addr if a call to it and its answer get through.
func (d directNetwork) reachable(addr string) (*controlPlane, error) {
	s, from := d.controlPlane.sim, d.controlPlane.process
	to := s.byAddr[addr]
	if to == nil || !to.alive || to.frozen || s.blocked(from, to) || s.blocked(to, from) ||
		s.chance(s.network.lossRate) {
		return nil, errs.New(errs.Unavailable, "%s does not answer", addr)
	}
	return s.controlPlaneAt(to), nil
}

// FetchChunk reads a part of a peer's snapshot.
func (d directNetwork) FetchChunk(_ context.Context, addr string, call internalapi.ChunkCall,
) (internalapi.ChunkAnswer, error) {
	peer, err := d.reachable(addr)
	if err != nil {
		return internalapi.ChunkAnswer{}, errs.Pass(err, "chunk")
	}
	answer, err := peer.store.Chunk(call)
	return answer, errs.Pass(err, "chunk")
}

// BootstrapStatus asks a peer whether it is fresh too, or a member of a store that exists.
func (d directNetwork) BootstrapStatus(_ context.Context, addr string, call internalapi.DiscoverCall,
) (internalapi.DiscoverAnswer, error) {
	peer, err := d.reachable(addr)
	if err != nil {
		return internalapi.DiscoverAnswer{}, errs.Pass(err, "found")
	}
	return peer.store.BootstrapStatus(call), nil
}
