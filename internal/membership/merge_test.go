package membership

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/testbed/exhaustive"
)

// memberX returns the control-plane node x at a version.
func memberX(incarnation, heartbeat uint64) Member {
	return Member{Name: "x", Addr: "10.0.0.9:7000", Zone: "a", Role: RoleControlPlane,
		Incarnation: incarnation, Heartbeat: heartbeat}
}

// newEmptyCore returns the core of the node me, which knows no other node.
func newEmptyCore() *Core {
	return New(Defaults(), Member{Name: "me", Addr: "10.0.0.7:7000", Role: RoleDataPlane, Incarnation: 1}, nil, 1)
}

// peer is a node that passes on versions of x.
var peer = Member{Name: "p", Addr: "10.0.0.8:7000", Zone: "b", Role: RoleDataPlane, Incarnation: 1}

// checkOrder passes messages about x to a core in the given order. It fails the test if the incarnations of x in the
// view and in the directory differ, if an old incarnation returns, or if the newest version is not known at the end.
func checkOrder(t *testing.T, messages []Message, order []int) {
	t.Helper()
	c := newEmptyCore()
	incarnation, hasLeft := uint64(0), false
	for k, i := range order {
		c.HandleShuffle(time.Duration(k)*time.Second, messages[i])
		hasLeft = hasLeft || messages[i].Leaving || len(messages[i].Departed) > 0
		inView, inDirectory := findByName(c.neighbours, "x"), findByName(c.directory, "x")
		isConsistent := inView == nil && inDirectory == nil && incarnation != 2
		if inView != nil && inDirectory != nil {
			isConsistent = inView.Incarnation == inDirectory.Incarnation && inView.Incarnation >= incarnation &&
				(inView.Incarnation != 1 || !hasLeft)
			incarnation = inView.Incarnation
		}
		if !isConsistent {
			t.Fatalf("after %v of %v: view %+v, directory %+v", order[:k+1], order, inView, inDirectory)
		}
	}
	if e := c.newest("x"); e == nil || e.Incarnation != 2 || e.Heartbeat != 1 {
		t.Fatalf("after %v: %+v", order, e)
	}
}

func TestMerge_anyOrderOfMessages(t *testing.T) {
	Convey("In any order of the messages about a node, none of its old incarnations returns", t, func() {
		messages := []Message{
			{From: memberX(1, 1)}, {From: memberX(1, 2)}, {From: memberX(1, 3), Leaving: true}, {From: memberX(2, 1)},
			{From: peer, Sample: []Member{memberX(1, 2)}, Directory: []Member{memberX(1, 1)}},
			{From: peer, Sample: []Member{memberX(2, 0)}, Departed: []Member{memberX(1, 3)}},
			{From: peer, Departed: []Member{memberX(1, 3)}, Directory: []Member{memberX(1, 2)}},
		}
		orders := 0
		exhaustive.Permutations(len(messages), func(order []int) {
			orders++
			checkOrder(t, messages, order)
		})
		So(orders, ShouldEqual, 5040)
	})
}

func TestMerge_newerVersionOfSelf(t *testing.T) {
	Convey("A node that restarted with a clock set back raises its incarnation above its old one", t, func() {
		c := New(Defaults(), memberX(3, 0), nil, 1)
		answer := c.HandleShuffle(0, Message{From: peer, Directory: []Member{memberX(7, 40)}})
		So(answer.From.Incarnation, ShouldEqual, 3)
		So(c.HandleShuffle(0, Message{From: peer}).From.Incarnation, ShouldEqual, 8)
		c.HandleShuffle(0, Message{From: peer, Departed: []Member{memberX(8, 1)}})
		So(c.HandleShuffle(0, Message{From: peer}).From.Incarnation, ShouldEqual, 9)
	})
}

func TestSuspect_withoutAnswer(t *testing.T) {
	Convey("A neighbour that does not answer is suspected, and removed unless a newer version comes", t, func() {
		for _, isRefreshed := range []bool{false, true} {
			c := newEmptyCore()
			c.HandleShuffle(0, Message{From: memberX(1, 1)})
			c.HandleShuffle(time.Millisecond, Message{From: peer})
			call := c.Tick(time.Second)[0]
			So(call.Addr, ShouldEqual, memberX(1, 1).Addr)
			c.HandleFailure(2*time.Second, call.ID)
			So(c.Nodes(2 * time.Second)[2].Suspect, ShouldBeTrue)
			call = c.Tick(3 * time.Second)[0]
			So([]any{call.Addr, call.Suspects}, ShouldResemble, []any{peer.Addr, []string{"x"}})
			answer := Message{From: peer}
			if isRefreshed {
				answer.Sample = []Member{memberX(1, 2)}
			}
			c.HandleAnswer(4*time.Second, call.ID, answer)
			c.Tick(8 * time.Second)
			So(findByName(c.neighbours, "x") != nil, ShouldEqual, isRefreshed)
			c.HandleShuffle(9*time.Second, Message{From: peer, Sample: []Member{memberX(1, 1)}})
			So(findByName(c.neighbours, "x") != nil, ShouldEqual, isRefreshed)
			c.HandleShuffle(10*time.Second, Message{From: memberX(1, 3)})
			So(findByName(c.neighbours, "x"), ShouldNotBeNil)
		}
	})
}
