package membership

// seedRotation has the seeds and when one is visited next; its owner is Core.
type seedRotation struct {
	addrs     []string // this node's own not counted
	last      int      // index of the seed visited last
	nextVisit int      // round of the next visit
	missed    int      // visits without an answer since the last answered one
}

// next returns the next seed in turn, "" if there is none.
func (r *seedRotation) next() string {
	if len(r.addrs) == 0 {
		return ""
	}
	r.last = (r.last + 1) % len(r.addrs)
	return r.addrs[r.last]
}

// seedDue returns the seed to visit in this round, "" if none is due. target is the neighbour to shuffle with
// otherwise; nil: there is none, which makes a visit due.
func (c *Core) seedDue(target *neighbour) string {
	// Every seed is visited once: those that start together may have found each other elsewhere.
	isJoining := c.round <= len(c.seeds.addrs)
	if target != nil && !isJoining && c.round < c.seeds.nextVisit {
		return ""
	}
	c.seeds.nextVisit = c.round + c.cfg.ShufflesPerSeedVisit
	addr := c.seeds.next()
	// In a large fleet only the few control-plane nodes go on visiting seeds, so that the load of the seeds does not
	// grow with it.
	if target == nil || isJoining || c.self.Role == RoleControlPlane || len(c.directory) == 0 {
		return addr
	}
	return ""
}

// missSeedVisit makes the visit to the next seed due soon, but with neighbours in between: dead seeds must not keep a
// node from shuffling.
func (c *Core) missSeedVisit() {
	c.seeds.missed = min(c.seeds.missed+1, c.cfg.ShufflesPerSeedVisit)
	c.seeds.nextVisit = min(c.seeds.nextVisit, c.round+1+c.seeds.missed)
}
