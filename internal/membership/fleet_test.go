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

// fleet runs pure cores on a virtual clock. Calls are made at once; loss is the part of answers that is lost.
type fleet struct {
	clock      clock.Virtual
	random     *rand.Rand
	nodes      []*Core // by index; nil: dead
	partition  []int   // by index; nodes of different ones do not reach each other
	loss       float64
	bytes      int
	calls      int
	countBytes bool
	indexes    map[string]int // by address
	// controlPlane is the index of a control-plane node besides the first five.
	controlPlane int
}

// headBytes is what a call and its answer need beside their JSON: see docs/design/membership.md.
const headBytes = 105 + 110

func addrOf(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1) }

func (f *fleet) join(i int, incarnation uint64) *Core {
	role, seeds := RoleDataPlane, []string{addrOf(0), addrOf(1), addrOf(2)}
	if i < 5 || i == f.controlPlane {
		role, seeds = RoleControlPlane, append(seeds, addrOf(3), addrOf(4))
	}
	n := Member{Name: fmt.Sprintf("node%d", i), Addr: addrOf(i), Zone: fmt.Sprintf("z%d", i%3), Role: role, Incarnation: 1_796_187_000_000 + incarnation}
	c := New(Defaults(), n, seeds, uint64(i)+incarnation)
	for len(f.nodes) <= i {
		f.nodes, f.partition = append(f.nodes, nil), append(f.partition, 0)
	}
	f.nodes[i], f.indexes[addrOf(i)] = c, i
	f.clock.Set(time.Duration(f.random.IntN(1000))*time.Millisecond, func() { f.tick(i, c) })
	return c
}

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), indexes: map[string]int{}}
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
	f.send(i, c.Tick(now))
	f.clock.Set(c.NextTick()-now, func() { f.tick(i, c) })
}

// send makes the calls of a node and passes their outcomes back to it.
func (f *fleet) send(i int, calls []Call) {
	now, c := f.clock.Now(), f.nodes[i]
	for _, call := range calls {
		to := f.indexOf(call.Addr)
		if to < 0 || f.partition[to] != f.partition[i] {
			c.HandleFailure(now, call.ID)
			continue
		}
		answer := f.nodes[to].HandleShuffle(now, call.Message)
		if f.calls++; f.countBytes {
			a, _ := json.Marshal(call.Message)
			b, _ := json.Marshal(answer)
			f.bytes += len(a) + len(b) + headBytes
		}
		if f.random.Float64() < f.loss {
			c.HandleFailure(now, call.ID)
		} else {
			c.HandleAnswer(now, call.ID, answer)
		}
	}
}

// indexOf returns the index of the live node at an address, -1 if there is none.
func (f *fleet) indexOf(addr string) int {
	if i, ok := f.indexes[addr]; ok && f.nodes[i] != nil {
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
			to := f.indexOf(e.Addr)
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

// rounds advances second by second until done, and returns how many it took; at most bound.
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

func TestFleet_growthPartitionsAndDeaths(t *testing.T) {
	for _, n := range []int{9, 100, 1600} {
		Convey(fmt.Sprintf("%d nodes, with one answer of 50 lost", n), t, func() {
			f := newFleet(n, 7)
			f.loss = 0.02
			f.clock.Advance(time.Minute)
			whole := func() bool {
				live, part, least, most, _ := f.shape()
				return live == part && least > 0 && most <= 2*Defaults().ViewSize
			}
			So(whole(), ShouldBeTrue)
			_, _, least, most, _ := f.shape()
			t.Logf("%d nodes: in-degree %d to %d", n, least, most)

			// a new control-plane node becomes known to all
			f.controlPlane = n
			name := f.join(n, 1).self.Name
			r := f.rounds(21, f.all(func(c *Core) bool { return c.self.Name == name || findByName(c.directory, name) != nil }))
			t.Logf("%d nodes: a new control-plane node known by all after %d s", n, r)
			So(r, ShouldBeLessThanOrEqualTo, 20)

			// partitioned for minutes and healed: one again, also where a partition had no control-plane node
			cuts, long := []int{5, 2}, 4*time.Minute
			if n > 100 {
				cuts, long = cuts[:1], 80*time.Second // by then all of the other side is forgotten
			}
			for _, by := range cuts {
				for i := range f.partition {
					f.partition[i] = i / by % 2
				}
				f.clock.Advance(long)
				_, part, _, _, _ := f.shape()
				So(part, ShouldBeLessThan, n)
				clear(f.partition)
				r := f.rounds(41, func() bool {
					return whole() && f.all(func(c *Core) bool { return len(c.ControlPlanes()) >= 5 })()
				})
				t.Logf("%d nodes: one again after %d s", n, r)
				So(r, ShouldBeLessThanOrEqualTo, 40)
			}

			// 30 % die: the rest stays one all the time, and forgets them
			for _, i := range f.random.Perm(n)[:n*3/10] {
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

func TestFleet_partitionsWithoutSeeds(t *testing.T) {
	Convey("Two partitions that formed while their seeds were down are one soon after their control planes are up", t, func() {
		f := &fleet{random: rand.New(rand.NewPCG(5, 1)), indexes: map[string]int{}}
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

func TestFleet_deadSeeds(t *testing.T) {
	Convey("A control-plane node whose seeds are all dead goes on shuffling with its neighbours", t, func() {
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

// BenchmarkBytes measures what a node sends, calls and answers with their heads, in a fleet at rest.
func BenchmarkBytes(b *testing.B) {
	for _, n := range []int{9, 100, 1600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				f := newFleet(n, 3)
				f.clock.Advance(2 * time.Minute)
				f.countBytes = true
				f.bytes, f.calls = 0, 0
				f.clock.Advance(time.Minute)
				b.ReportMetric(float64(f.bytes)/60/float64(n), "B/s/node")
				b.ReportMetric(float64(f.bytes)/float64(f.calls), "B/shuffle")
			}
		})
	}
}
