package membership

// seedRotation schedules a Core's visits to its seeds. The visits reconnect partitions whose nodes no longer know each
// other.
type seedRotation struct {
	addrs     []string // fixed; without this node's own
	last      int      // index of the seed visited last
	nextVisit int      // Core.round of the next visit
	failed    int      // visits that failed since the last answered one, at most ShufflesPerSeedVisit
}

// next returns the address of the next seed, round-robin, or "" without seeds.
func (r *seedRotation) next() string {
	if len(r.addrs) == 0 {
		return ""
	}
	r.last = (r.last + 1) % len(r.addrs)
	return r.addrs[r.last]
}

// takeDueSeed returns the address of the seed to visit in this round and schedules the next visit, or returns "" if no
// visit is due. target is the neighbour to shuffle with otherwise; if it is nil, a visit is always due.
func (c *Core) takeDueSeed(target *neighbour) string {
	// A node that joins visits every seed once: nodes that start together may otherwise form a partition.
	isJoining := c.round <= len(c.seeds.addrs)
	if target != nil && !isJoining && c.round < c.seeds.nextVisit {
		return ""
	}
	c.seeds.nextVisit = c.round + c.cfg.ShufflesPerSeedVisit
	addr := c.seeds.next()
	// Of the nodes that have joined and know control-plane nodes, only the few control-plane nodes visit seeds, so that
	// the load on the seeds does not grow with the fleet.
	if target == nil || isJoining || c.self.Role == RoleControlPlane || len(c.directory) == 0 {
		return addr
	}
	return ""
}

// retrySeedVisit schedules the visit to the next seed after a visit has failed. The more visits have failed in a row,
// the more shuffles with neighbours come first, so that dead seeds do not keep a node from shuffling.
func (c *Core) retrySeedVisit() {
	c.seeds.failed = min(c.seeds.failed+1, c.cfg.ShufflesPerSeedVisit)
	c.seeds.nextVisit = min(c.seeds.nextVisit, c.round+1+c.seeds.failed)
}
