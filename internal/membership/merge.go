package membership

import (
	"slices"
	"time"
)

// merge applies a message; its ages count back from at. sent are neighbours whose places may be reused. The sender of
// a call takes the first place that is free or may be reused; the sender of an answer only a free one.
func (c *Core) merge(now, at time.Duration, m Message, sent []string, caller bool) {
	for _, n := range m.Departed[:min(len(m.Departed), c.cfg.MaxTombstones)] {
		c.markLeft(now, at, n)
	}
	from := m.From
	from.Age = 0
	if m.Leaving {
		c.markLeft(now, at, from)
	} else if caller {
		c.addNeighbour(now, at, from, &sent)
	}
	for _, n := range m.Sample[:min(len(m.Sample), 2*c.cfg.ShuffleLength)] {
		c.addNeighbour(now, at, n, &sent)
	}
	if !m.Leaving && !caller {
		c.addNeighbour(now, at, from, nil)
	}
	for _, n := range m.Directory[:min(len(m.Directory), c.cfg.DirectorySize)] {
		c.addControlPlane(now, at, n)
	}
}

// admit reports whether n may be stored, and when it was sent. A note with this node's own name from another process
// makes this node raise its incarnation above it.
func (c *Core) admit(now, at time.Duration, n Member) (time.Duration, bool) {
	if !n.valid() {
		return 0, false
	}
	if n.Name == c.self.Name {
		if n.Incarnation > c.self.Incarnation || n.Incarnation == c.self.Incarnation && n.Heartbeat > c.self.Heartbeat {
			c.self.Incarnation, c.self.Heartbeat = n.Incarnation+1, 0
		}
		return 0, false
	}
	at -= time.Duration(min(max(0, n.Age), c.cfg.MemberTTL.Milliseconds())) * time.Millisecond
	if now-at >= c.cfg.MemberTTL {
		return 0, false
	}
	if t := c.tombstones[n.Name]; t != nil && (n.Incarnation < t.Incarnation || n.Incarnation == t.Incarnation && (t.left || n.Heartbeat <= t.Heartbeat)) {
		return 0, false
	}
	return at, true
}

// update replaces e by n if that is the newer version.
func (e *neighbour) update(n Member, at time.Duration) {
	switch order := compareVersions(e.Member, n); {
	case order < 0:
		*e = neighbour{Member: n, sentAt: at}
	case order == 0:
		e.sentAt = min(e.sentAt, at) // an age leaves out the time in transit: the greater one is closer to the truth
	}
}

// addNeighbour stores a note among the neighbours, and in the directory if it is a cplane's. sent are neighbours
// whose places may be reused.
func (c *Core) addNeighbour(now, at time.Duration, n Member, sent *[]string) {
	at, ok := c.admit(now, at, n)
	if !ok {
		return
	}
	n.Age = 0
	c.updateDirectory(now, n, at)
	if k := findByName(c.directory, n.Name); k != nil && n.Incarnation < k.Incarnation {
		n, at = k.Member, k.sentAt
	}
	if e := findByName(c.neighbours, n.Name); e != nil {
		e.update(n, at)
		return
	}
	if len(c.neighbours) < c.cfg.ViewSize {
		c.neighbours = append(c.neighbours, &neighbour{Member: n, sentAt: at})
		return
	}
	for sent != nil && len(*sent) > 0 {
		out := findByName(c.neighbours, (*sent)[0])
		if *sent = (*sent)[1:]; out != nil {
			*out = neighbour{Member: n, sentAt: at}
			return
		}
	}
}

// addControlPlane stores a note of a cplane in the directory. A neighbour of that name is updated only when it is suspected
// or restarted: the directory is always recent, and a neighbour kept recent by it would never be the oldest one, and
// would stay a neighbour of most nodes.
func (c *Core) addControlPlane(now, at time.Duration, n Member) {
	at, ok := c.admit(now, at, n)
	if !ok {
		return
	}
	n.Age = 0
	c.updateDirectory(now, n, at)
	if e := findByName(c.neighbours, n.Name); e != nil && (e.suspected || e.Incarnation < n.Incarnation) {
		e.update(n, at)
	}
}

// updateDirectory stores a note in the directory if it is a cplane's, and records the change.
func (c *Core) updateDirectory(now time.Duration, n Member, at time.Duration) {
	if n.Role != RoleControlPlane || now-at >= c.cfg.DirectoryTTL {
		return
	}
	if v := findByName(c.neighbours, n.Name); v != nil && compareVersions(n, v.Member) < 0 {
		n, at = v.Member, v.sentAt
	}
	e := findByName(c.directory, n.Name)
	if e == nil {
		if len(c.directory) < c.cfg.DirectorySize {
			c.directory = append(c.directory, &neighbour{Member: n, sentAt: at})
			c.changes = append(c.changes, Change{Joined, n})
		}
		return
	}
	was := e.Member
	e.update(n, at)
	switch {
	case e.Incarnation != was.Incarnation:
		c.changes = append(c.changes, Change{Restarted, e.Member})
	case e.Addr != was.Addr:
		c.changes = append(c.changes, Change{Moved, e.Member})
	}
}

// markLeft records that the incarnation of n has left.
func (c *Core) markLeft(now, at time.Duration, n Member) {
	if n.Name == c.self.Name && n.Incarnation >= c.self.Incarnation && !c.leaving {
		c.self.Incarnation, c.self.Heartbeat = n.Incarnation+1, 0
	}
	at, ok := c.admit(now, at, n)
	if !ok {
		return
	}
	n.Age = 0
	if e := c.newest(n.Name); e != nil && e.Incarnation > n.Incarnation {
		return
	}
	if e := findByName(c.directory, n.Name); e != nil {
		c.changes = append(c.changes, Change{Left, e.Member})
	}
	c.addTombstone(&neighbour{Member: n, sentAt: at}, true)
	ours := func(e *neighbour) bool { return e.Name == n.Name }
	c.neighbours, c.directory = slices.DeleteFunc(c.neighbours, ours), slices.DeleteFunc(c.directory, ours)
}

// addTombstone records a version as ended until all copies of it have expired. Over the bound the oldest is dropped.
func (c *Core) addTombstone(e *neighbour, left bool) {
	if t := c.tombstones[e.Name]; t != nil && (compareVersions(t.Member, e.Member) > 0 || t.left && t.Incarnation == e.Incarnation) {
		return
	}
	c.tombstones[e.Name] = &tombstone{e.Member, e.sentAt, left}
	if len(c.tombstones) <= c.cfg.MaxTombstones {
		return
	}
	first := ""
	for _, name := range sortedNames(c.tombstones) {
		if first == "" || c.tombstones[name].sentAt < c.tombstones[first].sentAt {
			first = name
		}
	}
	delete(c.tombstones, first)
}

// expire drops what has expired, and the suspects of which no newer version came in time.
func (c *Core) expire(now time.Duration) {
	c.neighbours = slices.DeleteFunc(c.neighbours, func(e *neighbour) bool {
		out := e.suspected && now-e.suspectSince >= c.cfg.SuspectTimeout
		if out {
			c.addTombstone(e, false)
			c.Counters.Dropped++
		}
		return out || now-e.sentAt >= c.cfg.MemberTTL
	})
	c.directory = slices.DeleteFunc(c.directory, func(e *neighbour) bool {
		out := now-e.sentAt >= c.cfg.DirectoryTTL
		if out {
			c.changes = append(c.changes, Change{Expired, e.Member})
		}
		return out
	})
	for name, t := range c.tombstones {
		if now-t.sentAt >= 2*c.cfg.MemberTTL {
			delete(c.tombstones, name)
		}
	}
	for id, a := range c.pending {
		if now-a.sentAt >= c.cfg.MemberTTL {
			delete(c.pending, id)
		}
	}
}
