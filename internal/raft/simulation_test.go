package raft

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
)

// batch is one Ready, or a cut of the stored log, on its way to the disk.
type batch struct {
	due time.Duration
	r   Ready
	cut uint64
}

type node struct {
	core    *Core
	id      string
	disk    InitialState
	queue   []batch
	zero    time.Duration // its clock at world time 0
	slow    time.Duration // least time of a sync
	applied uint64
	down    bool
}

type inTransit struct {
	at  time.Duration
	msg Message
}

// world runs nodes under a virtual clock and checks them at every step.
type world struct {
	random    *rand.Rand
	now       time.Duration
	nodes     []*node
	net       []inTransit
	side      map[string]int // partition
	loss      float64
	committed []Entry // from index 2 on
	leaders   map[uint64]string
	reads     int
	failures  []string
}

func (w *world) fail(f string, a ...any) { w.failures = append(w.failures, fmt.Sprintf(f, a...)) }

func voters(ids ...string) (ms []Member) {
	for _, id := range ids {
		ms = append(ms, Member{ID: id, Addr: id})
	}
	return ms
}

func newWorld(seed uint64, bootstrapIDs ...string) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), side: map[string]int{}, leaders: map[uint64]string{}}
	for _, id := range bootstrapIDs {
		w.join(id, Bootstrap(voters(bootstrapIDs...)))
	}
	return w
}

func (w *world) join(id string, b InitialState) *node {
	n := &node{id: id, disk: b, zero: time.Duration(w.random.Int64N(int64(time.Hour)))}
	w.nodes = append(w.nodes, n)
	w.startNode(n)
	return n
}

func (w *world) startNode(n *node) {
	var err error
	n.core, err = New(Config{ID: n.id, Seed: w.random.Uint64(), MaxAppendBytes: 200, MaxInflightAppends: 4}, n.disk, w.now+n.zero)
	if err != nil {
		w.fail("boot %s: %v", n.id, err)
		n.down = true
		return
	}
	n.down, n.queue, n.applied = false, nil, n.disk.Snapshot.Index
}

func (w *world) get(id string) *node {
	return w.nodes[slices.IndexFunc(w.nodes, func(n *node) bool { return n.id == id })]
}

func (w *world) send(ms []Message) {
	for _, m := range ms {
		for w.random.Float64() >= w.loss { // each copy is lost or doubled by the same chance
			late := time.Duration(w.random.Int64N(int64(20 * time.Millisecond)))
			if w.loss > 0 && w.random.IntN(50) == 0 {
				late *= 100
			}
			w.net = append(w.net, inTransit{w.now + late, m})
			if w.random.Float64() >= w.loss {
				break
			}
		}
	}
}

// meta describes the state after index i.
func (w *world) meta(i uint64, base []Member) Meta {
	m := Meta{Index: i, Term: 1, Members: base}
	for _, e := range w.committed[:i-1] {
		m.Term = e.Term
		if e.Kind == Members {
			f, _ := configurationOf(e)
			m.Members = f.members
		}
	}
	return m
}

func (w *world) pump(n *node) {
	r := n.core.Ready()
	w.send(r.Messages)
	for _, e := range r.CommittedEntries {
		if n.applied++; e.Index != n.applied {
			w.fail("%s applies %d after %d", n.id, e.Index, n.applied-1)
		}
		if at := int(e.Index) - 2; at == len(w.committed) {
			w.committed = append(w.committed, e)
		} else if at > len(w.committed) || w.committed[at].Term != e.Term || string(w.committed[at].Data) != string(e.Data) {
			w.fail("%s commits another entry %d", n.id, e.Index)
		}
	}
	if f := r.Fetch; f != nil && !w.get(f.From).down && w.side[f.From] == w.side[n.id] {
		if m := w.get(f.From).disk.Snapshot; m.Index > r.Commit && w.random.IntN(4) > 0 {
			n.queue = append(n.queue, batch{due: w.now, r: r})
			w.sync(n, true)
			n.disk.Snapshot, n.applied = m, m.Index
			n.core.SnapshotInstalled(w.now+n.zero, m)
			w.pump(n)
			return
		}
	}
	if r.HardState != nil || r.ResetLog || len(r.Entries) > 0 || len(r.MessagesAfterSync) > 0 {
		n.queue = append(n.queue, batch{due: w.now + n.slow + time.Duration(w.random.Int64N(int64(30*time.Millisecond))), r: r})
	}
	if s := n.disk.Snapshot; n.applied > s.Index+30 {
		n.disk.Snapshot = w.meta(n.applied, s.Members)
		n.core.SnapshotPersisted(n.disk.Snapshot)
		n.core.Compact(n.applied - 10)
		n.queue = append(n.queue, batch{due: w.now, cut: n.applied - 10})
	}
	term := n.core.hardState.Term
	if n.core.refused > 0 {
		w.fail("%s refused a message", n.id)
	}
	if n.core.role == Leader {
		if l := w.leaders[term]; l != "" && l != n.id {
			w.fail("term %d is led by %s and %s", term, l, n.id)
		}
		w.leaders[term] = n.id
	}
	if at, ok := n.core.LeaseReadIndex(w.now + n.zero); ok {
		if w.reads++; at < uint64(len(w.committed))+1 {
			w.fail("%s confirms %d in term %d, committed is %d", n.id, at, term, len(w.committed)+1)
		}
	}
}

// sync brings what is due to the disk, in order.
func (w *world) sync(n *node, all bool) {
	for len(n.queue) > 0 && (all || n.queue[0].due <= w.now) {
		b := n.queue[0]
		n.queue = n.queue[1:]
		if b.r.HardState != nil {
			n.disk.HardState = *b.r.HardState
		}
		if b.r.ResetLog {
			n.disk.Entries = nil
		}
		old := n.disk.Entries
		if a := b.r.Entries; len(a) > 0 {
			old = slices.DeleteFunc(slices.Clone(old), func(e Entry) bool { return e.Index >= a[0].Index })
			old = append(old, a...)
			n.core.Synced(w.now+n.zero, a[len(a)-1].Index, a[len(a)-1].Term)
		}
		n.disk.Entries = slices.DeleteFunc(slices.Clone(old), func(e Entry) bool { return e.Index <= b.cut })
		w.send(b.r.MessagesAfterSync)
	}
}

// run lets time pass; do is called at each step.
func (w *world) run(d time.Duration, do func()) {
	const step = 20 * time.Millisecond
	for end := w.now + d; w.now < end && len(w.failures) == 0; w.now += step {
		due := w.net
		w.net = nil
		for _, f := range due {
			if f.at > w.now {
				w.net = append(w.net, f)
				continue
			}
			i := slices.IndexFunc(w.nodes, func(n *node) bool { return n.id == f.msg.To })
			if i >= 0 && !w.nodes[i].down && w.side[f.msg.From] == w.side[f.msg.To] {
				w.nodes[i].core.Step(w.now+w.nodes[i].zero, f.msg)
			}
		}
		for _, n := range w.nodes {
			if !n.down {
				n.core.Tick(w.now + n.zero)
				w.sync(n, false)
				w.pump(n)
			}
		}
		if do != nil {
			do()
		}
	}
}

// leader returns the leader of the newest term.
func (w *world) leader() (out *node) {
	for _, n := range w.nodes {
		if !n.down && n.core.role == Leader && (out == nil || n.core.hardState.Term > out.core.hardState.Term) {
			out = n
		}
	}
	return out
}

func (w *world) propose() {
	for _, n := range w.nodes {
		if !n.down && n.core.role == Leader {
			_, _, _ = n.core.Propose(w.now+n.zero, json.RawMessage(fmt.Sprintf(`"%s at %d"`, n.id, w.now)))
		}
	}
}

func (w *world) crash(n *node) { n.down, n.core = true, nil }

// every runs f with each sequence of choices, f asks choose(n) for a number below n.
func every(f func(choose func(n int) int)) (runs int) {
	var picks, sizes []int
	for {
		at := 0
		f(func(n int) int {
			if at == len(picks) {
				picks, sizes = append(picks, 0), append(sizes, n)
			}
			at++
			return picks[at-1]
		})
		runs++
		for len(picks) > 0 && picks[len(picks)-1] == sizes[len(sizes)-1]-1 {
			picks, sizes = picks[:len(picks)-1], sizes[:len(sizes)-1]
		}
		if len(picks) == 0 {
			return runs
		}
		picks[len(picks)-1]++
	}
}

// order runs two candidates and an append among three nodes; the first choices are delivered or lost as chosen.
func order(choose func(int) int, depth int) (bad string, led bool) {
	w := newWorld(1, "a", "b", "c")
	var pool []Message
	drain := func() {
		for _, n := range w.nodes {
			r := n.core.Ready()
			pool = append(append(pool, r.Messages...), r.MessagesAfterSync...)
			if a := r.Entries; len(a) > 0 {
				n.core.Synced(n.zero+3*time.Second, a[len(a)-1].Index, a[len(a)-1].Term)
			}
			term, leads := n.core.hardState.Term, n.core.role == Leader
			if l, ok := w.leaders[term]; leads && !ok {
				w.leaders[term] = n.id
				_, _, _ = n.core.Propose(n.zero+3*time.Second, json.RawMessage(`"`+n.id+`"`))
			} else if leads && l != n.id {
				bad = "two leaders in a term"
			}
		}
	}
	w.nodes[0].core.Tick(w.nodes[0].zero + 3*time.Second)
	w.nodes[1].core.Tick(w.nodes[1].zero + 3*time.Second)
	drain()
	for step := 0; len(pool) > 0 && step < 200; step++ {
		i := 0
		if step < depth {
			i = choose(min(len(pool), 4) + 1)
		}
		m := pool[i%min(len(pool), 4)]
		lost := step < depth && i == min(len(pool), 4)
		pool = slices.Delete(pool, i%min(len(pool), 4), i%min(len(pool), 4)+1)
		if to := w.get(m.To); !lost {
			to.core.Step(to.zero+3*time.Second, m)
		}
		drain()
	}
	for _, x := range w.nodes {
		for _, y := range w.nodes {
			match := false // from an entry of the same term down, all must be equal
			for i := min(x.core.log.last(), y.core.log.last()); i > 1; i-- {
				p, q := x.core.log.entries[i-2], y.core.log.entries[i-2]
				match = match || p.Term == q.Term || i <= min(x.core.commit, y.core.commit)
				if match && (p.Term != q.Term || string(p.Data) != string(q.Data)) {
					bad = "logs differ"
				}
			}
		}
	}
	return bad, len(w.leaders) > 0
}

func TestEveryOrder(t *testing.T) {
	Convey("Every order and loss of the first messages of two campaigns keeps the rules", t, func() {
		bad, led := "", 0
		runs := every(func(choose func(int) int) {
			b, ok := order(choose, 6)
			if bad += b; ok {
				led++
			}
		})
		So(bad, ShouldEqual, "")
		So(runs, ShouldBeGreaterThan, 10000)
		So(led, ShouldBeGreaterThan, runs/4)
	})
}

func TestNetwork(t *testing.T) {
	Convey("Loss, doubles, delays, partitions and crashes never break the rules", t, func() {
		entries, reads, terms := 0, 0, 0
		for seed := range uint64(300) {
			w := newWorld(seed, "a", "b", "c", "d", "e")
			w.loss = float64(seed%4) * 0.05
			w.run(16*time.Second, func() {
				w.propose()
				n := w.nodes[w.random.IntN(5)]
				switch w.random.IntN(60) {
				case 0:
					if !n.down {
						w.crash(n)
					}
				case 1, 2, 3:
					if n.down {
						w.startNode(n)
					}
				case 4:
					for _, n := range w.nodes {
						w.side[n.id] = w.random.IntN(2)
					}
				case 5, 6:
					clear(w.side)
				case 7:
					n.slow = time.Duration(w.random.IntN(2)) * 200 * time.Millisecond
				case 8:
					if l := w.leader(); l != nil {
						_ = l.core.TransferLeadership(w.now+l.zero, n.id)
					}
				case 9: // take a voter out, or take one in again as a learner, or promote it
					if l := w.leader(); l != nil {
						next := slices.Clone(l.core.members())
						if i := slices.IndexFunc(next, func(m Member) bool { return m.ID == n.id }); i < 0 || next[i].Learner {
							next = append(slices.Delete(next, max(i, 0), max(i, 0)+min(i+1, 1)), Member{ID: n.id, Addr: n.id, Learner: i < 0})
						} else if len(next) > 3 {
							next = slices.Delete(next, i, i+1)
						}
						_, _, _ = l.core.ProposeMembers(w.now+l.zero, next)
					}
				}
			})
			clear(w.side)
			w.loss = 0
			for _, n := range w.nodes {
				if n.slow = 0; n.down {
					w.startNode(n)
				}
			}
			w.run(5*time.Second, nil)
			before := len(w.committed)
			w.propose()
			w.run(time.Second, nil)
			if len(w.committed) <= before {
				w.fail("nothing is committed once all is well")
			}
			entries, reads, terms = entries+len(w.committed), reads+w.reads, terms+len(w.leaders)
			if len(w.failures) > 0 {
				So(fmt.Sprint("seed ", seed, ": ", w.failures), ShouldEqual, "")
			}
		}
		So(entries, ShouldBeGreaterThan, 30000)
		So(reads, ShouldBeGreaterThan, 30000)
		So(terms, ShouldBeGreaterThan, 900)
	})
}

func TestMembers(t *testing.T) {
	Convey("A wiped machine comes back under a new ID as a learner and takes the old one's place", t, func() {
		w := newWorld(7, "a", "b", "c")
		w.run(5*time.Second, w.propose)
		l := w.leader()
		old := w.nodes[slices.IndexFunc(w.nodes, func(n *node) bool { return n != l })]
		w.crash(old)
		now := func() time.Duration { return w.now + l.zero }
		_, _, err := l.core.ProposeMembers(now(), append(voters("a", "b", "c"), Member{ID: "x", Addr: "x"}))
		So(errs.Is(err, errs.Invalid), ShouldBeTrue)
		_, _, err = l.core.ProposeMembers(now(), append(voters("a", "b", "c"), Member{ID: "x", Addr: "x", Learner: true}))
		So(err, ShouldBeNil)
		_, _, err = l.core.ProposeMembers(now(), voters("a", "b", "c"))
		So(errs.Is(err, errs.Unavailable), ShouldBeTrue)
		x := w.join("x", InitialState{})
		w.run(2*time.Second, nil)
		So(x.core.Status().Voter, ShouldBeFalse)
		So(x.applied, ShouldEqual, l.applied)
		_, _, err = l.core.ProposeMembers(now(), voters("a", "b", "c", "x"))
		So(err, ShouldBeNil)
		w.run(time.Second, nil)
		So(x.core.Status().Voter, ShouldBeTrue)
		rest := slices.DeleteFunc(voters("a", "b", "c", "x"), func(m Member) bool { return m.ID == old.id })
		_, _, err = l.core.ProposeMembers(now(), rest)
		So(err, ShouldBeNil)
		w.run(time.Second, nil)
		So(l.core.Status().Members, ShouldResemble, rest)
		w.crash(l) // the new one must carry the majority with the last
		w.run(6*time.Second, nil)
		So(w.leader(), ShouldNotBeNil)
		So(w.failures, ShouldBeEmpty)
	})
	Convey("A wiped machine under its old ID never votes, also once it was told the members", t, func() {
		w := newWorld(8, "a", "b", "c")
		w.run(5*time.Second, w.propose)
		l := w.leader()
		i := slices.IndexFunc(w.nodes, func(n *node) bool { return n != l })
		w.nodes[i].disk = InitialState{}
		w.startNode(w.nodes[i])
		w.run(time.Second, nil)
		w.crash(l)
		w.run(20*time.Second, nil) // a leader would need its vote
		So(w.leader(), ShouldBeNil)
		w.startNode(l)
		w.run(5*time.Second, nil)
		So(w.leader(), ShouldNotBeNil)
		So(w.nodes[i].core.Status().Voter, ShouldBeFalse)
		So(w.failures, ShouldBeEmpty)
	})
}

func TestSlowDisk(t *testing.T) {
	Convey("A leader with a stuck disk commits through the others, 500 proposals in one append", t, func() {
		w := newWorld(9, "a", "b", "c")
		w.run(5*time.Second, nil)
		l := w.leader()
		l.slow = time.Hour
		l.core.cfg.MaxAppendBytes = 1 << 20
		for range 500 {
			_, _, err := l.core.Propose(w.now+l.zero, json.RawMessage(`1`))
			So(err, ShouldBeNil)
		}
		l.core.sendAppends()
		So(len(l.core.messages), ShouldEqual, 2)
		So(len(l.core.messages[0].Entries), ShouldEqual, 500)
		w.run(500*time.Millisecond, nil)
		So(l.core.Status().Commit, ShouldEqual, l.core.Status().Last)
		So(l.core.Status().Match[l.id], ShouldBeLessThan, l.core.Status().Commit)
		_, ok := l.core.LeaseReadIndex(w.now + l.zero)
		So(ok, ShouldBeTrue)
		So(w.failures, ShouldBeEmpty)
	})
}

// coldStart stops all nodes, starts them one after the other in an order, and gives how long after the start of the
// third of five there was a leader.
func coldStart(w *world, order []*node, gap time.Duration) time.Duration {
	for _, n := range w.nodes {
		w.sync(n, true)
		n.down = true
	}
	w.net = nil
	w.run(time.Second, nil)
	var third time.Duration
	for i, n := range order {
		w.startNode(n)
		if i == 2 {
			third = w.now
		}
		w.run(gap, nil)
	}
	for w.leader() == nil && w.now < third+5*time.Second {
		w.run(20*time.Millisecond, nil)
	}
	return w.now - third
}

func TestColdStart(t *testing.T) {
	Convey("When all nodes were down, a leader stands soon after a majority is back", t, func() {
		for seed := range uint64(40) {
			w := newWorld(seed, "a", "b", "c", "d", "e")
			w.run(5*time.Second, nil)
			old := w.leader()
			So(old, ShouldNotBeNil)
			order := slices.Clone(w.nodes)
			w.random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
			at := slices.Index(order, old)
			took := coldStart(w, order, 100*time.Millisecond)
			So(w.failures, ShouldBeEmpty)
			if at < 3 { // the leader of before asks at once, and nobody has promised anything to another one
				So(took, ShouldBeLessThan, 600*time.Millisecond)
			}
			So(took, ShouldBeLessThan, 1500*time.Millisecond)
		}
	})
}

func TestColdStartBehindTheLeader(t *testing.T) {
	Convey("A leader that lost its newest entries with its power names itself over: who has them leads soon", t, func() {
		const plays = 40
		soon := 0
		for seed := range uint64(plays) {
			w := newWorld(seed, "a", "b", "c", "d", "e")
			w.run(5*time.Second, nil)
			old := w.leader()
			So(old, ShouldNotBeNil)
			old.slow = time.Hour // its own writes are never synced
			w.propose()
			w.run(200*time.Millisecond, nil)
			old.queue, old.slow = nil, 0
			stored := old.disk.Entries
			took := coldStart(w, w.nodes, 0)
			So(w.failures, ShouldBeEmpty)
			So(stored[len(stored)-1].Index, ShouldBeLessThan, w.leader().core.log.last())
			if took < 450*time.Millisecond {
				soon++
			}
		}
		So(soon, ShouldBeGreaterThanOrEqualTo, plays*9/10) // votes are split now and then, as in any election
	})
}

func TestCommitKnownAtStart(t *testing.T) {
	Convey("A node that starts applies what it knew to be committed before it hears of anybody", t, func() {
		w := newWorld(1, "a", "b", "c")
		w.run(3*time.Second, nil)
		for range 20 {
			w.propose()
			w.run(100*time.Millisecond, nil)
		}
		n := w.nodes[1]
		w.sync(n, true)
		known := n.disk.HardState.Commit
		So(known, ShouldBeGreaterThan, 15)
		So(known, ShouldBeLessThanOrEqualTo, n.disk.Entries[len(n.disk.Entries)-1].Index)
		c, err := New(Config{ID: n.id}, n.disk, 0)
		So(err, ShouldBeNil)
		r := c.Ready()
		So(r.Commit, ShouldEqual, known)
		So(r.CommittedEntries[len(r.CommittedEntries)-1].Index, ShouldEqual, known)
		_, ok := c.LeaseReadIndex(time.Hour)
		So(ok, ShouldBeFalse)
	})
	Convey("What is stored with entries never covers them, nor is more of it believed than the log has", t, func() {
		bootstrap := Bootstrap(voters("a", "b", "c"))
		c, err := New(Config{ID: "a"}, bootstrap, 0)
		So(err, ShouldBeNil)
		c.Step(0, Message{Kind: Append, From: "b", To: "a", Term: 2, PrevIndex: 1, PrevTerm: 1, Commit: 3,
			Entries: []Entry{{Term: 2, Index: 2, Kind: Noop}, {Term: 2, Index: 3}}})
		r := c.Ready()
		So([]uint64{r.Commit, r.HardState.Commit}, ShouldResemble, []uint64{3, 1})
		torn := InitialState{HardState: HardState{Term: 2, Commit: 9}, Snapshot: bootstrap.Snapshot, Entries: []Entry{{Term: 2, Index: 2, Kind: Noop}}}
		c, err = New(Config{ID: "a"}, torn, 0)
		So(err, ShouldBeNil)
		So(c.Status().Commit, ShouldEqual, 2)
	})
}

func TestPromises(t *testing.T) {
	const sec = time.Second
	from := func(k Kind, id string, term uint64) Message {
		return Message{Kind: k, From: id, To: "a", Term: term, PrevIndex: 9, PrevTerm: 9}
	}
	start := func(b InitialState) *Core {
		c, err := New(Config{ID: "a"}, b, 0)
		So(err, ShouldBeNil)
		c.Ready()
		return c
	}
	// granted returns whom the core votes for in answer to m.
	granted := func(c *Core, now time.Duration, m Message) bool {
		c.Step(now, m)
		r := c.Ready()
		yes := len(r.MessagesAfterSync) == 1 && !r.MessagesAfterSync[0].Reject
		So(yes, ShouldEqual, r.HardState != nil && r.HardState.Vote == m.From) // the vote is stored with its answer
		So(r.Messages, ShouldBeEmpty)
		return yes
	}
	// elect makes a core the leader of its next term at 3s.
	elect := func(b InitialState) *Core {
		c := start(b)
		c.Tick(3 * sec)
		c.Step(3*sec, from(PreVoteReply, "b", b.HardState.Term+1))
		c.Step(3*sec, from(VoteReply, "b", b.HardState.Term+1))
		So(c.Status().Role, ShouldEqual, Leader)
		c.Ready()
		return c
	}
	acks := func(c *Core, match uint64) {
		c.Step(3*sec, Message{Kind: AppendReply, From: "b", To: "a", Term: c.hardState.Term, Match: match, Sent: 3 * sec})
	}
	bootstrap := Bootstrap(voters("a", "b", "c"))
	Convey("A restarted voter keeps the promise of a lease, and so does one that hears a leader, but for a handover", t, func() {
		c := start(bootstrap)
		promise := c.leaderStickiness()
		So(promise, ShouldBeGreaterThan, c.cfg.LeaseDuration)
		So(promise, ShouldBeLessThanOrEqualTo, c.cfg.ElectionTimeout)
		So(granted(c, promise-1, from(Vote, "b", 2)), ShouldBeFalse)
		So(granted(c, promise, from(Vote, "b", 2)), ShouldBeTrue)
		So(granted(c, promise, from(Vote, "c", 2)), ShouldBeFalse)
		c.Step(2*sec, Message{Kind: Append, From: "b", To: "a", Term: 2, PrevIndex: 1, PrevTerm: 1})
		c.Ready()
		So(granted(c, 2*sec+promise-1, from(Vote, "c", 3)), ShouldBeFalse)
		So(c.Status().Term, ShouldEqual, 2)
		forced := from(Vote, "c", 3)
		forced.Force = true
		So(granted(c, 2*sec+promise-1, forced), ShouldBeTrue)
		c.Step(4*sec, Message{Kind: VoteReply, From: "b", To: "a", Term: 5, Reject: true})
		c.Ready()
		So(granted(c, 4*sec, from(Vote, "c", 5)), ShouldBeTrue)
	})
	Convey("The leader of the term that asks for votes itself leads no more, also for a voter that was restarted", t, func() {
		c := start(bootstrap)
		c.Step(2*sec, Message{Kind: Append, From: "b", To: "a", Term: 2, PrevIndex: 1, PrevTerm: 1})
		hard := c.Ready().HardState
		So(hard, ShouldNotBeNil)
		So(hard.Leader, ShouldEqual, "b")
		So(granted(c, 2*sec+1, from(Vote, "c", 3)), ShouldBeFalse)
		restarted := start(InitialState{HardState: *hard, Snapshot: bootstrap.Snapshot})
		So(granted(restarted, 1, from(Vote, "c", 3)), ShouldBeFalse)
		So(granted(restarted, 1, from(Vote, "b", 2)), ShouldBeFalse) // an old request, of before it led
		So(granted(restarted, 1, from(Vote, "b", 3)), ShouldBeTrue)
		So(granted(c, 2*sec+1, from(Vote, "b", 3)), ShouldBeTrue)
		c.Step(3*sec, Message{Kind: VoteReply, From: "b", To: "a", Term: 5, Reject: true})
		So(c.Ready().HardState.Leader, ShouldBeEmpty) // who led an older term says nothing of this one
	})
	Convey("The leader of the term that asks for a pre-vote voids what was promised to it, though its log is behind", t, func() {
		ahead := []Entry{{Term: 2, Index: 2, Kind: Noop}, {Term: 2, Index: 3}}
		hard := HardState{Term: 2, Leader: "b"}
		ask := func(id string, term uint64) Message {
			return Message{Kind: PreVote, From: id, To: "a", Term: term, PrevIndex: 2, PrevTerm: 2}
		}
		for _, releasing := range []Message{ask("b", 3), ask("b", 2), ask("c", 3)} {
			c := start(InitialState{HardState: hard, Snapshot: bootstrap.Snapshot, Entries: ahead})
			c.Step(1, releasing)
			answer := c.Ready().Messages
			So(answer, ShouldHaveLength, 1)
			So(answer[0].Reject, ShouldBeTrue)
			wantGranted := releasing.From == "b" && releasing.Term == 3 // not an old request of before it led, nor another's
			So(granted(c, 2, from(Vote, "c", 3)), ShouldEqual, wantGranted)
			if wantGranted {
				c = start(InitialState{HardState: hard, Snapshot: bootstrap.Snapshot, Entries: ahead})
				c.Step(1, releasing)
				So(c.ElectionDeadline(), ShouldBeLessThanOrEqualTo, 1+2*c.cfg.HeartbeatInterval)
			}
		}
	})
	Convey("An empty disk does not vote, told to be a voter or not", t, func() {
		c := start(InitialState{})
		So(granted(c, 5*sec, from(Vote, "b", 2)), ShouldBeFalse)
		c.SnapshotInstalled(5*sec, Meta{Index: 7, Term: 2, Members: voters("a", "b", "c")})
		c.Ready()
		So(granted(c, 9*sec, from(Vote, "b", 3)), ShouldBeFalse)
		c.Tick(20 * sec)
		So(c.Status().Role, ShouldEqual, Follower)
	})
	Convey("The lease counts from the send, ends with a handover and waits for an entry of the own term", t, func() {
		c := elect(bootstrap)
		_, ok := c.LeaseReadIndex(3 * sec)
		So(ok, ShouldBeFalse)
		acks(c, 2)
		c.Synced(3*sec, 2, 2)
		_, ok = c.LeaseReadIndex(3*sec + 699*time.Millisecond)
		So(ok, ShouldBeTrue)
		So(c.TransferLeadership(3*sec, "b"), ShouldBeNil)
		_, ok = c.LeaseReadIndex(3*sec + 699*time.Millisecond)
		So(ok, ShouldBeFalse)
		c = elect(bootstrap)
		acks(c, 2)
		c.Synced(3*sec, 2, 2)
		_, ok = c.LeaseReadIndex(3*sec + 700*time.Millisecond)
		So(ok, ShouldBeFalse)
	})
	Convey("An entry of an older term is committed only through one of the own, and members wait for that", t, func() {
		old := InitialState{HardState: HardState{Term: 2}, Snapshot: bootstrap.Snapshot, Entries: []Entry{{Term: 2, Index: 2, Kind: Noop}}}
		c := elect(old)
		c.leadership.synced = 2 // as if counted
		acks(c, 2)
		So(c.Status().Commit, ShouldEqual, 1)
		_, _, err := c.ProposeMembers(3*sec, voters("a", "b"))
		So(errs.Is(err, errs.Unavailable), ShouldBeTrue)
		c.Synced(3*sec, 3, 3)
		acks(c, 3)
		So(c.Status().Commit, ShouldEqual, 3)
	})
}
