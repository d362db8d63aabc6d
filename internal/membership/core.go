package membership

import (
	"math/rand/v2"
	"slices"
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
