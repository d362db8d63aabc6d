package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Core is one node's part in the membership: no clock, socket or goroutine of its own. now is a reading of the
// node's clock, which counts suspension. It is not safe for use by several goroutines.
type Core struct {
	cfg    Config
	self   Note
	seeds  []string
	rng    *rand.Rand
	view   []*entry // neighbours
	core   []*entry // directory of cplanes, this node not counted
	tombs  map[string]*tomb
	asked  map[uint64]*asked // calls without an answer yet
	call   uint64
	seed   int // the seed visited last
	round  int
	visit  int           // round of the next visit to a seed
	missed int           // visits without an answer since the last good one
	next   time.Duration // of the next shuffle
	leave  bool
	change []Change
	Counts Counts
}

// Counts only go up.
type Counts struct{ Shuffles, Failures, Visits, Taken, Suspects, Dropped uint64 }

type entry struct {
	Note
	at      time.Duration // when the node sent this version, on this node's clock
	suspect time.Duration // since when
	doubt   bool
}

// tomb is a version that is over. If left, its whole incarnation is.
type tomb struct {
	Note
	at   time.Duration
	left bool
}

type asked struct {
	name string // "" for a seed that is no neighbour
	seed bool
	sent []string
	at   time.Duration
}

// Call is a message to be sent to Addr; its end goes to Answer or Failure under ID.
type Call struct {
	ID   uint64
	Addr string
	Message
}

// New makes the core of self, which knows nobody but the addresses of its seeds. The same rnd gives the same steps.
// Example:
//
//	c := membership.New(membership.Defaults(), membership.Note{Name: "d1", Addr: addr, Zone: "a", Role: membership.Dplane, Boot: boot}, seeds, 1)
//	for _, call := range c.Tick(now) {
//		if answer, err := send(call.Addr, call.Message); err != nil {
//			c.Fault(now, call.ID)
//		} else {
//			c.Answer(now, call.ID, answer)
//		}
//	}
func New(cfg Config, self Note, seeds []string, rnd uint64) *Core {
	c := &Core{cfg: cfg, self: self, rng: rand.New(rand.NewPCG(rnd, 0)), tombs: map[string]*tomb{}, asked: map[uint64]*asked{}}
	c.self.Age = 0
	for _, s := range seeds {
		if s != self.Addr && !slices.Contains(c.seeds, s) {
			c.seeds = append(c.seeds, s)
		}
	}
	if len(c.seeds) > 0 {
		c.seed = c.rng.IntN(len(c.seeds))
	}
	c.visit = len(c.seeds) + 1 + c.rng.IntN(max(1, cfg.SeedTick))
	return c
}

// Next is when the next Tick has something to do.
func (c *Core) Next() time.Duration { return c.next }

// Tick forgets what is over and, when a shuffle is due, gives the call for it.
func (c *Core) Tick(now time.Duration) []Call {
	if now < c.next || c.leave {
		return nil
	}
	c.next = now + c.cfg.Every*time.Duration(90+c.rng.IntN(21))/100
	c.round++
	c.forget(now)
	target := c.oldest()
	joins := c.round <= len(c.seeds) // every seed is visited once: those that start together may have met elsewhere
	if target == nil || joins || c.round >= c.visit {
		c.visit = c.round + c.cfg.SeedTick
		// In a large fleet only the few cplanes go on visiting seeds, so that the seeds' overload does not grow with it.
		if addr := c.nextSeed(); addr != "" && (target == nil || joins || c.self.Role == Cplane || len(c.core) == 0) {
			c.Counts.Visits++
			call := c.shuffle(now, addr, c.at(addr))
			c.asked[call.ID].seed = true
			return []Call{call}
		}
	}
	if target == nil {
		return nil
	}
	return []Call{c.shuffle(now, target.Addr, target)}
}

func (c *Core) nextSeed() string {
	if len(c.seeds) == 0 {
		return ""
	}
	c.seed = (c.seed + 1) % len(c.seeds)
	return c.seeds[c.seed]
}

// oldest is the neighbour not heard of for longest; suspects and those that are being asked do not count.
func (c *Core) oldest() (out *entry) {
	busy := map[string]bool{}
	for _, a := range c.asked {
		busy[a.name] = true
	}
	for _, e := range c.view {
		if !e.doubt && !busy[e.Name] && (out == nil || e.at < out.at) {
			out = e
		}
	}
	return out
}

func (c *Core) at(addr string) *entry {
	for _, e := range c.view {
		if e.Addr == addr {
			return e
		}
	}
	return nil
}

func (c *Core) shuffle(now time.Duration, addr string, to *entry) Call {
	a := &asked{at: now}
	if to != nil {
		a.name = to.Name
	}
	m, sent := c.message(now, a.name)
	for _, e := range c.view {
		if e.doubt && len(m.Ask) < c.cfg.Gone {
			m.Ask = append(m.Ask, e.Name)
		}
	}
	a.sent = sent
	c.call++
	c.asked[c.call] = a
	c.Counts.Shuffles++
	return Call{c.call, addr, m}
}

// message gives a message for the node named to, and which neighbours it tells of.
func (c *Core) message(now time.Duration, to string) (Message, []string) {
	c.self.Beat++
	m := Message{From: c.self, Left: c.leave}
	var sent []string
	for _, i := range c.rng.Perm(len(c.view)) {
		if e := c.view[i]; !e.doubt && e.Name != to && len(sent) < c.cfg.Part-1 {
			m.Some = append(m.Some, e.told(now))
			sent = append(sent, e.Name)
		}
	}
	for _, e := range c.core {
		m.Core = append(m.Core, e.told(now))
	}
	for _, name := range sorted(c.tombs) {
		if t := c.tombs[name]; t.left && now-t.at < c.cfg.Fade {
			m.Gone = append(m.Gone, (&entry{Note: t.Note, at: t.at}).told(now))
		}
	}
	c.rng.Shuffle(len(m.Gone), func(i, j int) { m.Gone[i], m.Gone[j] = m.Gone[j], m.Gone[i] })
	m.Gone = m.Gone[:min(len(m.Gone), c.cfg.Gone)]
	return m, sent
}

func (e *entry) told(now time.Duration) Note {
	n := e.Note
	n.Age = max(0, (now - e.at).Milliseconds())
	return n
}

// Call takes a message that came in and gives the answer.
func (c *Core) Call(now time.Duration, m Message) Message {
	c.Counts.Taken++
	c.forget(now)
	out, sent := c.message(now, m.From.Name)
	for _, name := range m.Ask[:min(len(m.Ask), c.cfg.Gone)] {
		if e := c.known(name); e != nil && !slices.Contains(sent, name) {
			out.Some = append(out.Some, e.told(now))
		}
	}
	c.merge(now, now, m, sent, true)
	return out
}

// Answer takes the answer to the call id. Ages in it are counted from when the call was sent.
func (c *Core) Answer(now time.Duration, id uint64, m Message) {
	a := c.asked[id]
	if a == nil {
		return
	}
	delete(c.asked, id)
	if a.seed {
		c.missed = 0
	}
	if e := find(c.view, a.name); e != nil {
		if m.From.Name != a.name {
			c.bury(e, false) // another node lives at its address
		}
		// its place goes to what it told us; it has ours now
		c.view = slices.DeleteFunc(c.view, func(one *entry) bool { return one == e })
	}
	c.merge(now, a.at, m, a.sent, false)
}

// Failure tells that the call id had no good answer: the one asked is suspected.
func (c *Core) Failure(now time.Duration, id uint64) {
	a := c.asked[id]
	if a == nil {
		return
	}
	delete(c.asked, id)
	c.Counts.Failures++
	if a.seed {
		// The next seed soon, but with neighbours in between: dead seeds must not keep a node from shuffling.
		c.missed = min(c.missed+1, c.cfg.SeedTick)
		c.visit = min(c.visit, c.round+1+c.missed)
	}
	// unless it was heard of since the call
	if e := find(c.view, a.name); e != nil && !e.doubt && e.at < a.at {
		e.doubt, e.suspect = true, now
		c.Counts.Suspects++
	}
}

// Leave gives the last calls of this node: it tells a part of its neighbours and its cplanes, and takes part no
// more. Their ends need not be told.
func (c *Core) Leave(now time.Duration) (out []Call) {
	c.leave = true
	m, _ := c.message(now, "")
	m.Some, m.Core = nil, nil
	to := append(slices.Clone(c.core), c.view...)
	for _, e := range to {
		if len(out) < c.cfg.Part && !e.doubt && !slices.ContainsFunc(out, func(k Call) bool { return k.Addr == e.Addr }) {
			c.call++
			out = append(out, Call{c.call, e.Addr, m})
		}
	}
	return out
}

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

// known is the newest that is known of a node, nil for nothing.
func (c *Core) known(name string) *entry {
	e, d := find(c.view, name), find(c.core, name)
	if e == nil || d != nil && older(e.Note, d.Note) < 0 {
		return d
	}
	return e
}

// Changes gives the changes of the directory of cplanes since the last time.
func (c *Core) Changes() []Change {
	out := c.change
	c.change = nil
	return out
}

// Cplanes gives the addresses of all cplanes known, in order of their names, this node not counted.
func (c *Core) Cplanes() []string {
	list := slices.Clone(c.core)
	slices.SortFunc(list, byName)
	out := make([]string, len(list))
	for i, e := range list {
		out[i] = e.Addr
	}
	return out
}

// Nodes gives all nodes known at now, in order of their names: this one, its neighbours and the directory of cplanes.
func (c *Core) Nodes(now time.Duration) []Seen {
	list := []*entry{{Note: c.self, at: now}}
	for _, e := range append(slices.Clone(c.view), c.core...) {
		if find(list, e.Name) == nil && now-e.at < c.cfg.Fade {
			list = append(list, c.known(e.Name))
		}
	}
	slices.SortFunc(list, byName)
	out := make([]Seen, len(list))
	for i, e := range list {
		v := find(c.view, e.Name)
		out[i] = Seen{e.Name, e.Role, e.Zone, e.Addr, e.Boot, now - e.at, v != nil && v.doubt}
	}
	return out
}

// Size gives the number of neighbours and of cplanes in the directory.
func (c *Core) Size() (view, core int) { return len(c.view), len(c.core) }

func byName(a, b *entry) int { return strings.Compare(a.Name, b.Name) }

func find(list []*entry, name string) *entry {
	for _, e := range list {
		if e.Name == name {
			return e
		}
	}
	return nil
}

func sorted(m map[string]*tomb) []string { return slices.Sorted(maps.Keys(m)) }
