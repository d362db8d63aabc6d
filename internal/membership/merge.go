package membership

import (
	"slices"
	"time"
)

// merge takes in a message; at is when its ages counted. sent are neighbours whose places may be given away. A caller
// always gets a place if one can be given; one who answers only if there is room.
func (c *Core) merge(now, at time.Duration, m Message, sent []string, caller bool) {
	for _, n := range m.Gone[:min(len(m.Gone), c.cfg.Tombs)] {
		c.left(now, at, n)
	}
	from := m.From
	from.Age = 0
	if m.Left {
		c.left(now, at, from)
	} else if caller {
		c.take(now, at, from, &sent)
	}
	for _, n := range m.Some[:min(len(m.Some), 2*c.cfg.Part)] {
		c.take(now, at, n, &sent)
	}
	if !m.Left && !caller {
		c.take(now, at, from, nil)
	}
	for _, n := range m.Core[:min(len(m.Core), c.cfg.Core)] {
		c.learn(now, at, n)
	}
}

// fresh tells whether n can be taken in, and when it was sent. News of this node's own name from another life of
// it make this one the newer.
func (c *Core) fresh(now, at time.Duration, n Note) (time.Duration, bool) {
	if !n.whole() {
		return 0, false
	}
	if n.Name == c.self.Name {
		if n.Boot > c.self.Boot || n.Boot == c.self.Boot && n.Beat > c.self.Beat {
			c.self.Boot, c.self.Beat = n.Boot+1, 0
		}
		return 0, false
	}
	at -= time.Duration(min(max(0, n.Age), c.cfg.Fade.Milliseconds())) * time.Millisecond
	if now-at >= c.cfg.Fade {
		return 0, false
	}
	if t := c.tombs[n.Name]; t != nil && (n.Boot < t.Boot || n.Boot == t.Boot && (t.left || n.Beat <= t.Beat)) {
		return 0, false
	}
	return at, true
}

// renew brings a newer version into e.
func (e *entry) renew(n Note, at time.Duration) {
	switch order := older(e.Note, n); {
	case order < 0:
		*e = entry{Note: n, at: at}
	case order == 0:
		e.at = min(e.at, at) // the way here is not counted in an age: the greater one is nearer
	}
}

// take takes a note into the view, and into the directory if it is a cplane's. sent are places that may be given away.
func (c *Core) take(now, at time.Duration, n Note, sent *[]string) {
	at, ok := c.fresh(now, at, n)
	if !ok {
		return
	}
	n.Age = 0
	c.direct(now, n, at)
	if k := find(c.core, n.Name); k != nil && n.Boot < k.Boot {
		n, at = k.Note, k.at
	}
	if e := find(c.view, n.Name); e != nil {
		e.renew(n, at)
		return
	}
	if len(c.view) < c.cfg.View {
		c.view = append(c.view, &entry{Note: n, at: at})
		return
	}
	for sent != nil && len(*sent) > 0 {
		out := find(c.view, (*sent)[0])
		if *sent = (*sent)[1:]; out != nil {
			*out = entry{Note: n, at: at}
			return
		}
	}
}

// learn takes a note of a cplane into the directory. The neighbour it is gets renewed only at need: the directory's
// news is always young, and a neighbour kept young by it would never be the oldest, and have a place in most views.
func (c *Core) learn(now, at time.Duration, n Note) {
	at, ok := c.fresh(now, at, n)
	if !ok {
		return
	}
	n.Age = 0
	c.direct(now, n, at)
	if e := find(c.view, n.Name); e != nil && (e.doubt || e.Boot < n.Boot) {
		e.renew(n, at)
	}
}

func (c *Core) direct(now time.Duration, n Note, at time.Duration) {
	if n.Role != Cplane || now-at >= c.cfg.CoreFade {
		return
	}
	if v := find(c.view, n.Name); v != nil && older(n, v.Note) < 0 {
		n, at = v.Note, v.at
	}
	e := find(c.core, n.Name)
	if e == nil {
		if len(c.core) < c.cfg.Core {
			c.core = append(c.core, &entry{Note: n, at: at})
			c.change = append(c.change, Change{Came, n})
		}
		return
	}
	was := e.Note
	e.renew(n, at)
	switch {
	case e.Boot != was.Boot:
		c.change = append(c.change, Change{Again, e.Note})
	case e.Addr != was.Addr:
		c.change = append(c.change, Change{Moved, e.Note})
	}
}

// left takes in that the incarnation of n is over.
func (c *Core) left(now, at time.Duration, n Note) {
	if n.Name == c.self.Name && n.Boot >= c.self.Boot && !c.leave {
		c.self.Boot, c.self.Beat = n.Boot+1, 0
	}
	at, ok := c.fresh(now, at, n)
	if !ok {
		return
	}
	n.Age = 0
	if e := c.known(n.Name); e != nil && e.Boot > n.Boot {
		return
	}
	if e := find(c.core, n.Name); e != nil {
		c.change = append(c.change, Change{Left, e.Note})
	}
	c.bury(&entry{Note: n, at: at}, true)
	ours := func(e *entry) bool { return e.Name == n.Name }
	c.view, c.core = slices.DeleteFunc(c.view, ours), slices.DeleteFunc(c.core, ours)
}

// bury remembers a version as over, until all copies of it have faded; of too many, the oldest goes.
func (c *Core) bury(e *entry, left bool) {
	if t := c.tombs[e.Name]; t != nil && (older(t.Note, e.Note) > 0 || t.left && t.Boot == e.Boot) {
		return
	}
	c.tombs[e.Name] = &tomb{e.Note, e.at, left}
	if len(c.tombs) <= c.cfg.Tombs {
		return
	}
	first := ""
	for _, name := range sorted(c.tombs) {
		if first == "" || c.tombs[name].at < c.tombs[first].at {
			first = name
		}
	}
	delete(c.tombs, first)
}

// forget drops what has faded, and the suspects that nobody heard of in time.
func (c *Core) forget(now time.Duration) {
	c.view = slices.DeleteFunc(c.view, func(e *entry) bool {
		out := e.doubt && now-e.suspect >= c.cfg.Suspect
		if out {
			c.bury(e, false)
			c.Counts.Dropped++
		}
		return out || now-e.at >= c.cfg.Fade
	})
	c.core = slices.DeleteFunc(c.core, func(e *entry) bool {
		out := now-e.at >= c.cfg.CoreFade
		if out {
			c.change = append(c.change, Change{Lost, e.Note})
		}
		return out
	})
	for name, t := range c.tombs {
		if now-t.at >= 2*c.cfg.Fade {
			delete(c.tombs, name)
		}
	}
	for id, a := range c.asked {
		if now-a.at >= c.cfg.Fade {
			delete(c.asked, id)
		}
	}
}
