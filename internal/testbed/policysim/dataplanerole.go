package policysim

import (
	"time"

	"crosstide/internal/internalapi"
)

// claimInterval is the time between two claims of the scheduler role. A claim by the holder renews the lease.
const claimInterval = 300 * time.Millisecond

func (d *dataPlane) roleCall(epoch uint64, release bool) internalapi.ClaimRoleCall {
	return internalapi.ClaimRoleCall{Role: "sched", Holder: d.addr, Addr: d.addr, Incarnation: d.incarnationID,
		Epoch: epoch, Release: release}
}

// claimRole claims the scheduler role, or renews its lease, every claimInterval until the node shuts down.
func (d *dataPlane) claimRole() {
	if d.leaving {
		return
	}
	scheduleNextClaim := func() { d.after(claimInterval, d.claimRole) }
	sent, call := d.Now(), d.roleCall(d.grantedEpoch, false)
	d.callLeader(leaderCall{timeout: callTimeout / 2, idempotent: true,
		serve: func(c *controlPlane, reply func(any, error)) { c.grantRole(call, reply) },
		done: func(a any, err error) {
			if err != nil {
				scheduleNextClaim()
				return
			}
			if lease := a.(internalapi.RoleLease); lease.Mine {
				d.acceptRole(lease, sent, scheduleNextClaim)
				return
			}
			if d.grantedEpoch != 0 {
				d.sim.trace("%s lost sched", d.addr)
				d.grantedEpoch = 0
				d.scheduler.StepDown()
			}
			scheduleNextClaim()
		}})
}

// acceptRole accepts a lease of the role. A new epoch takes effect only when the replica has reached its grant, because
// before that the node may lack entries that its predecessors committed. The lease counts from the time at which the
// claim was sent.
func (d *dataPlane) acceptRole(lease internalapi.RoleLease, sent time.Duration, scheduleNextClaim func()) {
	d.grantedEpoch = lease.Epoch
	guarded := d.sim.options.WithoutGuard != "rebuild"
	activate := func(err error) {
		defer scheduleNextClaim()
		if err != nil || d.leaving || guarded && !d.hasGrant(lease.Epoch) {
			return
		}
		if d.scheduler.Epoch() != lease.Epoch {
			d.becomeLeader(lease.Epoch)
		}
		d.scheduler.SetRoleLease(sent + lease.TTL)
		d.schedulePass()
	}
	if !guarded {
		activate(nil)
		return
	}
	d.waitForIndex(lease.Epoch, callTimeout, activate)
}

// hasGrant reports whether the replica has the grant of the role to this incarnation under the epoch.
func (d *dataPlane) hasGrant(epoch uint64) bool {
	role := d.state().Roles["sched"]
	return role != nil && role.Epoch == epoch && role.Incarnation == d.incarnationID
}

func (d *dataPlane) becomeLeader(epoch uint64) {
	s := d.sim
	d.scheduler.BecomeLeader(d.Now(), epoch)
	s.trace("%s takes up sched, epoch %d, replica at %d, %d handles", d.addr, epoch, d.replica.Index(),
		len(d.state().Handles))
	s.report.Counts["grants taken up"]++
	if d.state().Index >= epoch && len(d.state().Handles) > 0 {
		s.countCase("rebuilt")
	}
	s.checker.checkRebuilt(d)
}

// releaseRole steps down and releases the role, as a daemon does when it shuts down.
func (d *dataPlane) releaseRole() {
	d.leaving = true
	epoch := d.grantedEpoch
	if epoch == 0 {
		return
	}
	d.scheduler.StepDown()
	call := d.roleCall(epoch, true)
	d.callLeader(leaderCall{timeout: callTimeout, idempotent: true, deadline: d.Now() + 2*time.Second,
		serve: func(c *controlPlane, reply func(any, error)) { c.grantRole(call, reply) },
		done:  func(any, error) {}})
}
