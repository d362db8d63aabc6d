package raft

import "time"

// leaseUntil returns the end of the leader's lease, or never if it has none. The lease starts at the send time of the
// newest message that a majority has answered: each of these members votes for no other node for longer than
// LeaseDuration after it received that message (see leaderStickiness).
func (c *Core) leaseUntil() time.Duration {
	if c.leadership.timeoutNowSent {
		return never
	}
	quorumAcked := majority(c.members(), func(id string) time.Duration {
		if p := c.leadership.progress[id]; p != nil {
			return p.ackedSendTime
		}
		return c.now
	})
	if quorumAcked == never {
		return never
	}
	return quorumAcked + c.cfg.LeaseDuration
}

// LeaseReadIndex returns the commit index up to which entries must be applied before a linearizable read is answered:
// no other leader can have committed a later entry at now. ok is false unless this node is the leader, holds its lease
// at now, and has committed an entry of its own term. Example:
//
//	if commit, ok := core.LeaseReadIndex(now); ok && applied >= commit { answer() }
func (c *Core) LeaseReadIndex(now time.Duration) (commit uint64, ok bool) {
	c.advanceClock(now)
	if c.role != Leader || c.commit < c.leadership.firstIndex || c.now >= c.leaseUntil() {
		return 0, false
	}
	return c.commit, true
}
