package membership

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/clock"
)

// fleet runs pure cores on a virtual clock. Calls are made at once; lose is the part of answers that is lost.
type fleet struct {
	clock clock.Virtual
	rng   *rand.Rand
	nodes []*Core // by place; nil: dead
	side  []int   // nodes of different sides do not reach each other
	lose  float64
	bytes int
	calls int
	heads bool // count bytes
	place map[string]int
	// controlPlane is the place of a cplane besides the first five.
	controlPlane int
}

// head is what a call and its answer need beside their JSON, in bytes: see docs/design/membership.md.
const head = 105 + 110

func addrOf(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1) }

func (f *fleet) join(i int, incarnation uint64) *Core {
	role, seeds := RoleDataPlane, []string{addrOf(0), addrOf(1), addrOf(2)}
	if i < 5 || i == f.controlPlane {
		role, seeds = RoleControlPlane, append(seeds, addrOf(3), addrOf(4))
	}
	n := Member{Name: fmt.Sprintf("node%d", i), Addr: addrOf(i), Zone: fmt.Sprintf("z%d", i%3), Role: role, Incarnation: 1_796_187_000_000 + incarnation}
	c := New(Defaults(), n, seeds, uint64(i)+incarnation)
	for len(f.nodes) <= i {
		f.nodes, f.side = append(f.nodes, nil), append(f.side, 0)
	}
	f.nodes[i], f.place[addrOf(i)] = c, i
	f.clock.Set(time.Duration(f.rng.IntN(1000))*time.Millisecond, func() { f.tick(i, c) })
	return c
}

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), place: map[string]int{}}
	for i := range n {
		f.join(i, 1)
	}
	return f
}

func (f *fleet) tick(i int, c *Core) {
	if f.nodes[i] != c {
		return
	}
	now := f.clock.Now()
	f.make(i, c.Tick(now))
	f.clock.Set(c.NextTick()-now, func() { f.tick(i, c) })
}

func (f *fleet) make(i int, calls []Call) {
	now, c := f.clock.Now(), f.nodes[i]
	for _, call := range calls {
		to := f.at(call.Addr)
		if to < 0 || f.side[to] != f.side[i] {
			c.HandleFailure(now, call.ID)
			continue
		}
		answer := f.nodes[to].HandleShuffle(now, call.Message)
		if f.calls++; f.heads {
			a, _ := json.Marshal(call.Message)
			b, _ := json.Marshal(answer)
			f.bytes += len(a) + len(b) + head
		}
		if f.rng.Float64() < f.lose {
			c.HandleFailure(now, call.ID)
		} else {
			c.HandleAnswer(now, call.ID, answer)
		}
	}
}

func (f *fleet) at(addr string) int {
	if i, ok := f.place[addr]; ok && f.nodes[i] != nil {
		return i
	}
	return -1
}

// shape returns the number of live nodes, the size of the greatest connected part of the union graph, the least and
// the greatest in-degree, and how many entries of views and directories are of dead nodes.
func (f *fleet) shape() (live, part, least, most, dead int) {
	root := make([]int, len(f.nodes))
	for i := range root {
		root[i] = i
	}
	var top func(i int) int
	top = func(i int) int {
		if root[i] != i {
			root[i] = top(root[i])
		}
		return root[i]
	}
	degree := make([]int, len(f.nodes))
	for i, c := range f.nodes {
		if c == nil {
			continue
		}
		for k, e := range append(append([]*neighbour{}, c.neighbours...), c.directory...) {
			to := f.at(e.Addr)
			if to < 0 {
				dead++
			} else if k < len(c.neighbours) {
				degree[to]++
				root[top(to)] = top(i)
			}
		}
	}
	parts := map[int]int{}
	least = len(f.nodes)
	for i, c := range f.nodes {
		if c != nil {
			live++
			parts[top(i)]++
			part = max(part, parts[top(i)])
			least, most = min(least, degree[i]), max(most, degree[i])
		}
	}
	return live, part, least, most, dead
}

// rounds advances second by second until done, and gives how many it took; at most bound.
func (f *fleet) rounds(bound int, done func() bool) int {
	for r := range bound {
		if done() {
			return r
		}
		f.clock.Advance(time.Second)
	}
	return bound
}

func (f *fleet) all(is func(c *Core) bool) func() bool {
	return func() bool {
		for _, c := range f.nodes {
			if c != nil && !is(c) {
				return false
			}
		}
		return true
	}
}

func TestFleet(t *testing.T) {
	for _, n := range []int{9, 100, 1600} {
		Convey(fmt.Sprintf("%d nodes, with one answer of 50 lost", n), t, func() {
			f := newFleet(n, 7)
			f.lose = 0.02
			f.clock.Advance(time.Minute)
			whole := func() bool {
				live, part, least, most, _ := f.shape()
				return live == part && least > 0 && most <= 2*Defaults().ViewSize
			}
			So(whole(), ShouldBeTrue)
			_, _, least, most, _ := f.shape()
			t.Logf("%d nodes: in-degree %d to %d", n, least, most)

			// a new cplane is learnt by all
			f.controlPlane = n
			name := f.join(n, 1).self.Name
			r := f.rounds(21, f.all(func(c *Core) bool { return c.self.Name == name || findByName(c.directory, name) != nil }))
			t.Logf("%d nodes: a new cplane known by all after %d s", n, r)
			So(r, ShouldBeLessThanOrEqualTo, 20)

			// cut in two for minutes and healed: one again, also where a side had no cplane
			cuts, long := []int{5, 2}, 4*time.Minute
			if n > 100 {
				cuts, long = cuts[:1], 80*time.Second // by then all of the other side is forgotten
			}
			for _, by := range cuts {
				for i := range f.side {
					f.side[i] = i / by % 2
				}
				f.clock.Advance(long)
				_, part, _, _, _ := f.shape()
				So(part, ShouldBeLessThan, n)
				clear(f.side)
				r := f.rounds(41, func() bool {
					return whole() && f.all(func(c *Core) bool { return len(c.ControlPlanes()) >= 5 })()
				})
				t.Logf("%d nodes: one again after %d s", n, r)
				So(r, ShouldBeLessThanOrEqualTo, 40)
			}

			// 30 % die: the rest stays one all the time, and forgets them
			for _, i := range f.rng.Perm(n)[:n*3/10] {
				f.nodes[i] = nil
			}
			one := true
			r = f.rounds(62, func() bool {
				live, part, _, _, dead := f.shape()
				one = one && part == live
				return dead == 0
			})
			_, _, least, most, _ = f.shape()
			t.Logf("%d nodes: the dead gone after %d s, in-degree %d to %d", n, r, least, most)
			So(r, ShouldBeLessThanOrEqualTo, 61)
			So(one, ShouldBeTrue)
			So(whole(), ShouldBeTrue)
		})
	}
}

func TestPartitions(t *testing.T) {
	Convey("Two islands that grew up while each one's seeds were away are one soon after their cplanes are up", t, func() {
		f := &fleet{rng: rand.New(rand.NewPCG(5, 1)), place: map[string]int{}}
		for _, i := range []int{2, 5, 6, 7} {
			f.join(i, 1)
		}
		f.clock.Advance(30 * time.Second)
		for _, i := range []int{0, 1, 3, 4} {
			f.join(i, 1)
		}
		r := f.rounds(16, f.all(func(c *Core) bool { return len(c.neighbours) == 7 }))
		t.Logf("all eight know each other after %d s", r)
		So(r, ShouldBeLessThanOrEqualTo, 15)
	})
}

func TestDeadSeeds(t *testing.T) {
	Convey("A cplane whose seeds are all dead goes on shuffling with its neighbours", t, func() {
		f := newFleet(20, 9)
		f.clock.Advance(30 * time.Second)
		for i := range 4 {
			f.nodes[i] = nil
		}
		c := f.nodes[4]
		f.clock.Advance(time.Minute)
		sent, failures := c.Counters.Shuffles, c.Counters.Failures
		f.clock.Advance(time.Minute)
		So(c.Counters.Failures-failures, ShouldBeGreaterThan, 0)
		So(c.Counters.Failures-failures, ShouldBeLessThan, (c.Counters.Shuffles-sent)/5)
	})
}

func TestOrders(t *testing.T) {
	x := func(incarnation, beat uint64) Member {
		return Member{Name: "x", Addr: "10.0.0.9:7000", Zone: "a", Role: RoleControlPlane, Incarnation: incarnation, Heartbeat: beat}
	}
	peer := Member{Name: "p", Addr: "10.0.0.8:7000", Zone: "b", Role: RoleDataPlane, Incarnation: 1}
	Convey("In every order of join, shuffles, leave and restart of a node, an old incarnation never comes back", t, func() {
		messages := []Message{
			{From: x(1, 1)}, {From: x(1, 2)}, {From: x(1, 3), Leaving: true}, {From: x(2, 1)},
			{From: peer, Sample: []Member{x(1, 2)}, Directory: []Member{x(1, 1)}},
			{From: peer, Sample: []Member{x(2, 0)}, Departed: []Member{x(1, 3)}},
			{From: peer, Departed: []Member{x(1, 3)}, Directory: []Member{x(1, 2)}},
		}
		orders := 0
		var all func(order, rest []int)
		all = func(order, rest []int) {
			for i := range rest {
				left := append(append([]int{}, rest[:i]...), rest[i+1:]...)
				all(append(order[:len(order):len(order)], rest[i]), left)
			}
			if len(rest) > 0 {
				return
			}
			orders++
			c := New(Defaults(), Member{Name: "me", Addr: "10.0.0.7:7000", Role: RoleDataPlane, Incarnation: 1}, nil, 1)
			incarnation, left := uint64(0), false
			for k, i := range order {
				c.HandleShuffle(time.Duration(k)*time.Second, messages[i])
				left = left || messages[i].Leaving || len(messages[i].Departed) > 0
				v, d := findByName(c.neighbours, "x"), findByName(c.directory, "x")
				if (v == nil) != (d == nil) || v != nil && (v.Incarnation != d.Incarnation || v.Incarnation < incarnation || v.Incarnation == 1 && left) || incarnation == 2 && v == nil {
					t.Fatalf("after %v of %v: view %+v, directory %+v", order[:k+1], order, v, d)
				}
				if v != nil {
					incarnation = v.Incarnation
				}
			}
			if e := c.newest("x"); e == nil || e.Incarnation != 2 || e.Heartbeat != 1 {
				t.Fatalf("after %v: %+v", order, e)
			}
		}
		all(nil, []int{0, 1, 2, 3, 4, 5, 6})
		So(orders, ShouldEqual, 5040)
	})
	Convey("A restarted node whose clock went back takes a number over its old one", t, func() {
		c := New(Defaults(), x(3, 0), nil, 1)
		out := c.HandleShuffle(0, Message{From: peer, Directory: []Member{x(7, 40)}})
		So(out.From.Incarnation, ShouldEqual, 3)
		So(c.HandleShuffle(0, Message{From: peer}).From.Incarnation, ShouldEqual, 8)
		c.HandleShuffle(0, Message{From: peer, Departed: []Member{x(8, 1)}})
		So(c.HandleShuffle(0, Message{From: peer}).From.Incarnation, ShouldEqual, 9)
	})
	Convey("A neighbour without an answer is suspected, asked for, and dropped unless somebody heard of it since", t, func() {
		for _, heard := range []bool{false, true} {
			c := New(Defaults(), Member{Name: "me", Addr: "10.0.0.7:7000", Role: RoleDataPlane, Incarnation: 1}, nil, 1)
			c.HandleShuffle(0, Message{From: x(1, 1)})
			c.HandleShuffle(time.Millisecond, Message{From: peer})
			call := c.Tick(time.Second)[0]
			So(call.Addr, ShouldEqual, x(1, 1).Addr)
			c.HandleFailure(2*time.Second, call.ID)
			So(c.Nodes(2 * time.Second)[2].Suspect, ShouldBeTrue)
			call = c.Tick(3 * time.Second)[0]
			So([]any{call.Addr, call.Suspects}, ShouldResemble, []any{peer.Addr, []string{"x"}})
			answer := Message{From: peer}
			if heard {
				answer.Sample = []Member{x(1, 2)}
			}
			c.HandleAnswer(4*time.Second, call.ID, answer)
			c.Tick(8 * time.Second)
			So(findByName(c.neighbours, "x") != nil, ShouldEqual, heard)
			c.HandleShuffle(9*time.Second, Message{From: peer, Sample: []Member{x(1, 1)}})
			So(findByName(c.neighbours, "x") != nil, ShouldEqual, heard)
			c.HandleShuffle(10*time.Second, Message{From: x(1, 3)})
			So(findByName(c.neighbours, "x"), ShouldNotBeNil)
		}
	})
}

// BenchmarkBytes measures what a node sends, calls and answers with their heads, in a fleet at rest.
func BenchmarkBytes(b *testing.B) {
	for _, n := range []int{9, 100, 1600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				f := newFleet(n, 3)
				f.clock.Advance(2 * time.Minute)
				f.heads = true
				f.bytes, f.calls = 0, 0
				f.clock.Advance(time.Minute)
				b.ReportMetric(float64(f.bytes)/60/float64(n), "B/s/node")
				b.ReportMetric(float64(f.bytes)/float64(f.calls), "B/shuffle")
			}
		})
	}
}
