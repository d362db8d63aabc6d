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

// fleet runs cores on a virtual clock. Calls and answers arrive without delay.
type fleet struct {
	clock      clock.Virtual
	random     *rand.Rand
	nodes      []*Core // by index; nil: dead
	partition  []int   // by index; nodes in different partitions cannot reach each other
	loss       float64 // probability that an answer is lost
	calls      int     // answered calls
	bytes      int     // sent in them while countBytes is set
	countBytes bool
	indexes    map[string]int // by address
	// controlPlane is the index of a control-plane node in addition to the first five.
	controlPlane int
}

// headerBytes is the length of the HTTP headers of a call and its answer: see docs/design/membership.md.
const headerBytes = 105 + 110

func addrOf(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1) }

// join starts node i under an incarnation. The first five nodes are control-plane nodes.
func (f *fleet) join(i int, incarnation uint64) *Core {
	role, seeds := RoleDataPlane, []string{addrOf(0), addrOf(1), addrOf(2)}
	if i < 5 || i == f.controlPlane {
		role, seeds = RoleControlPlane, append(seeds, addrOf(3), addrOf(4))
	}
	self := Member{Name: fmt.Sprintf("node%d", i), Addr: addrOf(i), Zone: fmt.Sprintf("z%d", i%3), Role: role,
		Incarnation: 1_796_187_000_000 + incarnation}
	c := New(Defaults(), self, seeds, uint64(i)+incarnation)
	for len(f.nodes) <= i {
		f.nodes, f.partition = append(f.nodes, nil), append(f.partition, 0)
	}
	f.nodes[i], f.indexes[addrOf(i)] = c, i
	f.clock.Set(time.Duration(f.random.IntN(1000))*time.Millisecond, func() { f.tick(i, c) })
	return c
}

// newFleet returns a fleet of n nodes that begin to shuffle within the first second.
func newFleet(n int, seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), indexes: map[string]int{}}
	for i := range n {
		f.join(i, 1)
	}
	return f
}

// tick calls c.Tick whenever it is due, until c is dead or replaced by a later incarnation.
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
			encodedCall, _ := json.Marshal(call.Message)
			encodedAnswer, _ := json.Marshal(answer)
			f.bytes += len(encodedCall) + len(encodedAnswer) + headerBytes
		}
		if f.random.Float64() < f.loss {
			c.HandleFailure(now, call.ID)
		} else {
			c.HandleAnswer(now, call.ID, answer)
		}
	}
}

// indexOf returns the index of the live node at addr, or -1.
func (f *fleet) indexOf(addr string) int {
	if i, ok := f.indexes[addr]; ok && f.nodes[i] != nil {
		return i
	}
	return -1
}

// graph describes the union of the views of all live nodes.
type graph struct {
	live                 int // live nodes
	connected            int // nodes of the largest connected component
	minDegree, maxDegree int // in-degrees
	deadEntries          int // entries of dead nodes, in views and directories
}

// isHealthy reports whether all live nodes are connected, with in-degrees that are neither 0 nor large.
func (g graph) isHealthy() bool {
	return g.live == g.connected && g.minDegree > 0 && g.maxDegree <= 2*Defaults().ViewSize
}

func (f *fleet) graph() graph {
	components, degree := newComponents(len(f.nodes)), make([]int, len(f.nodes))
	var g graph
	for i, c := range f.nodes {
		if c == nil {
			continue
		}
		for k, e := range append(append([]*neighbour{}, c.neighbours...), c.directory...) {
			to := f.indexOf(e.Addr)
			if to < 0 {
				g.deadEntries++
			} else if k < len(c.neighbours) {
				degree[to]++
				components.join(to, i)
			}
		}
	}
	sizes := map[int]int{}
	g.minDegree = len(f.nodes)
	for i, c := range f.nodes {
		if c != nil {
			g.live++
			root := components.root(i)
			sizes[root]++
			g.connected = max(g.connected, sizes[root])
			g.minDegree, g.maxDegree = min(g.minDegree, degree[i]), max(g.maxDegree, degree[i])
		}
	}
	return g
}

// components is a union-find structure: it has the parent of each element; a root is its own parent.
type components []int

func newComponents(n int) components {
	parents := make(components, n)
	for i := range parents {
		parents[i] = i
	}
	return parents
}

func (p components) root(i int) int {
	if p[i] != i {
		p[i] = p.root(p[i])
	}
	return p[i]
}

func (p components) join(i, j int) { p[p.root(i)] = p.root(j) }

// secondsUntil advances the clock second by second until condition holds, and returns the number of seconds, or limit
// if it does not hold by then.
func (f *fleet) secondsUntil(limit int, condition func() bool) int {
	for seconds := range limit {
		if condition() {
			return seconds
		}
		f.clock.Advance(time.Second)
	}
	return limit
}

// everyNode reports whether condition holds for every live node.
func (f *fleet) everyNode(condition func(c *Core) bool) bool {
	for _, c := range f.nodes {
		if c != nil && !condition(c) {
			return false
		}
	}
	return true
}

func TestFleet_growthPartitionsAndDeaths(t *testing.T) {
	for _, n := range []int{9, 100, 1600} {
		Convey(fmt.Sprintf("A fleet of %d nodes that loses one answer in 50 stays connected", n), t, func() {
			f := newFleet(n, 7)
			f.loss = 0.02
			f.clock.Advance(time.Minute)
			g := f.graph()
			So(g.isHealthy(), ShouldBeTrue)
			t.Logf("%d nodes: in-degree %d to %d", n, g.minDegree, g.maxDegree)

			f.checkNewControlPlane(t, n)
			if n > 100 {
				f.checkPartition(t, n, 5, 80*time.Second) // by then each side has forgotten the other
			} else {
				f.checkPartition(t, n, 5, 4*time.Minute)
				f.checkPartition(t, n, 2, 4*time.Minute)
			}
			f.checkDeaths(t, n)
		})
	}
}

// checkNewControlPlane adds a control-plane node to the n nodes, and checks that all of them learn of it.
func (f *fleet) checkNewControlPlane(t *testing.T, n int) {
	t.Helper()
	f.controlPlane = n
	name := f.join(n, 1).self.Name
	took := f.secondsUntil(21, func() bool {
		return f.everyNode(func(c *Core) bool { return c.self.Name == name || findByName(c.directory, name) != nil })
	})
	t.Logf("%d nodes: a new control-plane node known by all after %d s", n, took)
	So(took, ShouldBeLessThanOrEqualTo, 20)
}

// checkPartition splits the fleet into two sides for a duration, and checks that it is connected again afterwards.
// Blocks of consecutive nodes are on either side alternately, so that a side may have no control-plane node.
func (f *fleet) checkPartition(t *testing.T, n, block int, duration time.Duration) {
	t.Helper()
	for i := range f.partition {
		f.partition[i] = i / block % 2
	}
	f.clock.Advance(duration)
	So(f.graph().connected, ShouldBeLessThan, n)
	clear(f.partition)
	took := f.secondsUntil(41, func() bool {
		return f.graph().isHealthy() && f.everyNode(func(c *Core) bool { return len(c.ControlPlanes()) >= 5 })
	})
	t.Logf("%d nodes: connected again after %d s", n, took)
	So(took, ShouldBeLessThanOrEqualTo, 40)
}

// checkDeaths kills 30 % of the nodes, and checks that the others stay connected throughout and remove the dead ones.
func (f *fleet) checkDeaths(t *testing.T, n int) {
	t.Helper()
	for _, i := range f.random.Perm(n)[:n*3/10] {
		f.nodes[i] = nil
	}
	staysConnected := true
	took := f.secondsUntil(62, func() bool {
		g := f.graph()
		staysConnected = staysConnected && g.connected == g.live
		return g.deadEntries == 0
	})
	g := f.graph()
	t.Logf("%d nodes: dead nodes removed after %d s, in-degree %d to %d", n, took, g.minDegree, g.maxDegree)
	So(took, ShouldBeLessThanOrEqualTo, 61)
	So(staysConnected, ShouldBeTrue)
	So(g.isHealthy(), ShouldBeTrue)
}

func TestFleet_controlPlanesStartTogether(t *testing.T) {
	Convey("Control planes that start together join the nodes that run already, and form no partition", t, func() {
		f := &fleet{random: rand.New(rand.NewPCG(5, 1)), indexes: map[string]int{}}
		for _, i := range []int{2, 5, 6, 7} {
			f.join(i, 1)
		}
		f.clock.Advance(30 * time.Second)
		for _, i := range []int{0, 1, 3, 4} {
			f.join(i, 1)
		}
		took := f.secondsUntil(16, func() bool {
			return f.everyNode(func(c *Core) bool { return len(c.neighbours) == 7 })
		})
		t.Logf("all eight know each other after %d s", took)
		So(took, ShouldBeLessThanOrEqualTo, 15)
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
		before := c.Counters
		f.clock.Advance(time.Minute)
		failures := c.Counters.Failures - before.Failures
		So(failures, ShouldBeGreaterThan, 0)
		So(failures, ShouldBeLessThan, (c.Counters.Shuffles-before.Shuffles)/5)
	})
}

// BenchmarkBytes measures the bytes that a node sends in an unchanging fleet: calls and answers with HTTP headers.
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
