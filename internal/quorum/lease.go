package quorum

import "time"

// leaseUntil is the end of the lease, never if there is none.
func (c *Core) leaseUntil() time.Duration {
	if c.lead.gave {
		return never
	}
	from := majority(c.members(), func(id string) time.Duration {
		if p := c.lead.peers[id]; p != nil {
			return p.acked
		}
		return c.now
	})
	if from == never {
		return never
	}
	return from + c.cfg.Lease
}

// Confirmed gives the commit index that is safe to read at: no other leader can have committed more at the time
// now. ok is false unless this node leads, holds its lease at now and has committed an entry of its own term.
// Example:
//
//	if commit, ok := core.Confirmed(now); ok && applied >= commit { answer() }
func (c *Core) Confirmed(now time.Duration) (commit uint64, ok bool) {
	c.at(now)
	if c.role != Leader || c.commit < c.lead.first || c.now >= c.leaseUntil() {
		return 0, false
	}
	return c.commit, true
}
