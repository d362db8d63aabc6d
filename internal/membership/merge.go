package membership

import (
	"maps"
	"slices"
	"time"
)

// The merge functions apply the parts of a received message in a fixed order: departures first, so that a version that
// has ended is not stored by the same message. Each part is cut to a limit, as a faulty peer may send more. now is the
// current time; at is the time from which the ages in the message are subtracted. reusable has the names of neighbours
// that were just sent to the other node: if the view is full, a new member replaces the first of them that is still a
// neighbour. That name and those before it are removed from reusable.

// mergeCall applies the message of a call. sample has the names of the neighbours in the answer, which new members may
// replace. The sender is stored first, so that it gets the first place that is free or can be replaced.
func (c *Core) mergeCall(now time.Duration, m Message, sample []string) {
	c.mergeDeparted(now, now, m)
	from := m.From
	from.Age = 0
	if m.Leaving {
		c.markLeft(now, now, from)
	} else {
		c.addNeighbour(now, now, from, &sample)
	}
	c.mergeSample(now, now, m, &sample)
	c.mergeDirectory(now, now, m)
}

// mergeAnswer applies the message of an answer. Its ages are subtracted from sentAt, the time when the call was sent,
// because the time in transit is unknown: a version may appear older than it is, but never newer. sample has the names
// of the neighbours in the call, which any new member except the sender may replace.
func (c *Core) mergeAnswer(now, sentAt time.Duration, m Message, sample []string) {
	c.mergeDeparted(now, sentAt, m)
	from := m.From
	from.Age = 0
	if m.Leaving {
		c.markLeft(now, sentAt, from)
	}
	c.mergeSample(now, sentAt, m, &sample)
	if !m.Leaving {
		c.addNeighbour(now, sentAt, from, nil)
	}
	c.mergeDirectory(now, sentAt, m)
}

func (c *Core) mergeDeparted(now, at time.Duration, m Message) {
	for _, member := range m.Departed[:min(len(m.Departed), c.cfg.MaxTombstones)] {
		c.markLeft(now, at, member)
	}
}

func (c *Core) mergeSample(now, at time.Duration, m Message, reusable *[]string) {
	for _, member := range m.Sample[:min(len(m.Sample), 2*c.cfg.ShuffleLength)] {
		c.addNeighbour(now, at, member, reusable)
	}
}

func (c *Core) mergeDirectory(now, at time.Duration, m Message) {
	for _, member := range m.Directory[:min(len(m.Directory), c.cfg.DirectorySize)] {
		c.addControlPlane(now, at, member)
	}
}

// admit reports whether a received member may be stored, and when the node itself sent it. It rejects members that are
// invalid, expired or covered by a tombstone, and this node itself. If it receives a newer version of this node than
// its own, as after a restart with a clock set back, it raises this node's incarnation above that version.
func (c *Core) admit(now, at time.Duration, member Member) (sentAt time.Duration, ok bool) {
	if !member.isValid() {
		return 0, false
	}
	if member.Name == c.self.Name {
		if compareVersions(member, c.self) > 0 {
			c.self.Incarnation, c.self.Heartbeat = member.Incarnation+1, 0
		}
		return 0, false
	}
	age := min(max(0, member.Age), c.cfg.MemberTTL.Milliseconds())
	sentAt = at - time.Duration(age)*time.Millisecond
	if now-sentAt >= c.cfg.MemberTTL {
		return 0, false
	}
	if t := c.tombstones[member.Name]; t != nil && t.covers(member) {
		return 0, false
	}
	return sentAt, true
}

// covers reports whether the tombstone marks the version of member as ended.
func (t *tombstone) covers(member Member) bool {
	return member.Incarnation < t.Incarnation ||
		member.Incarnation == t.Incarnation && (t.left || member.Heartbeat <= t.Heartbeat)
}

// update replaces e with member if member is the newer version, which also ends a suspicion.
func (e *neighbour) update(member Member, sentAt time.Duration) {
	switch order := compareVersions(e.Member, member); {
	case order < 0:
		*e = neighbour{Member: member, sentAt: sentAt}
	case order == 0:
		// Ages do not include the time in transit, so the greater age is the more accurate one.
		e.sentAt = min(e.sentAt, sentAt)
	}
}

// addNeighbour stores a member in the view, and a control-plane node also in the directory. In the view it updates the
// neighbour of that name. Without one it uses a free place or else replaces a neighbour named in reusable (nil: none).
// If the directory has a later incarnation of the member, the view gets that one.
func (c *Core) addNeighbour(now, at time.Duration, member Member, reusable *[]string) {
	sentAt, ok := c.admit(now, at, member)
	if !ok {
		return
	}
	member.Age = 0
	c.updateDirectory(now, member, sentAt)
	if known := findByName(c.directory, member.Name); known != nil && member.Incarnation < known.Incarnation {
		member, sentAt = known.Member, known.sentAt
	}
	if e := findByName(c.neighbours, member.Name); e != nil {
		e.update(member, sentAt)
		return
	}
	if len(c.neighbours) < c.cfg.ViewSize {
		c.neighbours = append(c.neighbours, &neighbour{Member: member, sentAt: sentAt})
		return
	}
	for reusable != nil && len(*reusable) > 0 {
		replaced := findByName(c.neighbours, (*reusable)[0])
		if *reusable = (*reusable)[1:]; replaced != nil {
			*replaced = neighbour{Member: member, sentAt: sentAt}
			return
		}
	}
}

// addControlPlane stores a member of a message's directory. It updates a neighbour of that name only if the neighbour
// is suspected or has restarted: directory entries are always recent, so a neighbour updated from them would never be
// the oldest and never be replaced, and control-plane nodes would fill the views of the fleet.
func (c *Core) addControlPlane(now, at time.Duration, member Member) {
	sentAt, ok := c.admit(now, at, member)
	if !ok {
		return
	}
	member.Age = 0
	c.updateDirectory(now, member, sentAt)
	if e := findByName(c.neighbours, member.Name); e != nil && (e.suspected || e.Incarnation < member.Incarnation) {
		e.update(member, sentAt)
	}
}

// updateDirectory stores a member in the directory if it is a control-plane node, and records the change. The directory
// is never older than the view: if the neighbour of that name is newer than member, the neighbour's version is stored.
func (c *Core) updateDirectory(now time.Duration, member Member, sentAt time.Duration) {
	if member.Role != RoleControlPlane || now-sentAt >= c.cfg.DirectoryTTL {
		return
	}
	if known := findByName(c.neighbours, member.Name); known != nil && compareVersions(member, known.Member) < 0 {
		member, sentAt = known.Member, known.sentAt
	}
	e := findByName(c.directory, member.Name)
	if e == nil {
		if len(c.directory) < c.cfg.DirectorySize {
			c.directory = append(c.directory, &neighbour{Member: member, sentAt: sentAt})
			c.changes = append(c.changes, Change{Joined, member})
		}
		return
	}
	before := e.Member
	e.update(member, sentAt)
	switch {
	case e.Incarnation != before.Incarnation:
		c.changes = append(c.changes, Change{Restarted, e.Member})
	case e.Addr != before.Addr:
		c.changes = append(c.changes, Change{Moved, e.Member})
	}
}

// markLeft removes a member whose incarnation has announced its departure, and adds a tombstone. It ignores the
// departure of an older incarnation than the known one. If the member is this node, which is not leaving, markLeft
// raises this node's incarnation above the member's.
func (c *Core) markLeft(now, at time.Duration, member Member) {
	if member.Name == c.self.Name && member.Incarnation >= c.self.Incarnation && !c.leaving {
		c.self.Incarnation, c.self.Heartbeat = member.Incarnation+1, 0
	}
	sentAt, ok := c.admit(now, at, member)
	if !ok {
		return
	}
	member.Age = 0
	if e := c.newest(member.Name); e != nil && e.Incarnation > member.Incarnation {
		return
	}
	if e := findByName(c.directory, member.Name); e != nil {
		c.changes = append(c.changes, Change{Left, e.Member})
	}
	c.addTombstone(&neighbour{Member: member, sentAt: sentAt}, true)
	hasLeft := func(e *neighbour) bool { return e.Name == member.Name }
	c.neighbours, c.directory = slices.DeleteFunc(c.neighbours, hasLeft), slices.DeleteFunc(c.directory, hasLeft)
}

// addTombstone marks the version of e as ended, or its whole incarnation if left is set, until expire removes the
// tombstone. It keeps an existing tombstone that covers more, and removes the oldest if there are more than
// MaxTombstones.
func (c *Core) addTombstone(e *neighbour, left bool) {
	if t := c.tombstones[e.Name]; t != nil &&
		(compareVersions(t.Member, e.Member) > 0 || t.left && t.Incarnation == e.Incarnation) {
		return
	}
	c.tombstones[e.Name] = &tombstone{e.Member, e.sentAt, left}
	if len(c.tombstones) <= c.cfg.MaxTombstones {
		return
	}
	oldest := ""
	for _, name := range sortedNames(c.tombstones) {
		if oldest == "" || c.tombstones[name].sentAt < c.tombstones[oldest].sentAt {
			oldest = name
		}
	}
	delete(c.tombstones, oldest)
}

// sortedNames returns the keys in order, so that the steps of a Core do not depend on map iteration.
func sortedNames(m map[string]*tombstone) []string { return slices.Sorted(maps.Keys(m)) }
