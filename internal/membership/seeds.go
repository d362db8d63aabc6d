package membership

// seedRotation has the seeds and when one is visited next; its owner is Core. Visits join partitions that know nothing
// of each other any more.
type seedRotation struct {
	addrs     []string // fixed; without this node's own
	last      int      // index of the seed visited last
	nextVisit int      // Core.round of the next visit
	missed    int      // visits that failed since the last answered one, at most ShufflesPerSeedVisit
}

// next returns the next seed in turn; empty if there is none.
func (r *seedRotation) next() string {
	if len(r.addrs) == 0 {
		return ""
	}
	r.last = (r.last + 1) % len(r.addrs)
	return r.addrs[r.last]
}

// seedDue returns the seed to visit in this round; empty if none is due. target is the neighbour to shuffle with
// otherwise; without one (nil) a visit is always due.
func (c *Core) seedDue(target *neighbour) string {
	// A node that joins visits every seed once: nodes that start together may otherwise form a partition.
	isJoining := c.round <= len(c.seeds.addrs)
	if target != nil && !isJoining && c.round < c.seeds.nextVisit {
		return ""
	}
	c.seeds.nextVisit = c.round + c.cfg.ShufflesPerSeedVisit
	addr := c.seeds.next()
	// Later only the few control-plane nodes visit seeds, so that the load of the seeds does not grow with the fleet.
	if target == nil || isJoining || c.self.Role == RoleControlPlane || len(c.directory) == 0 {
		return addr
	}
	return ""
}

// missSeedVisit makes the visit to the next seed due after a few shuffles with neighbours, one more for each visit that
// failed: dead seeds must not keep a node from shuffling.
func (c *Core) missSeedVisit() {
	c.seeds.missed = min(c.seeds.missed+1, c.cfg.ShufflesPerSeedVisit)
	c.seeds.nextVisit = min(c.seeds.nextVisit, c.round+1+c.seeds.missed)
}
