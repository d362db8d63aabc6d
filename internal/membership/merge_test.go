package membership

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// memberX is the node x at a version.
func memberX(incarnation, heartbeat uint64) Member {
	return Member{Name: "x", Addr: "10.0.0.9:7000", Zone: "a", Role: RoleControlPlane, Incarnation: incarnation, Heartbeat: heartbeat}
}

// peer is a node that knows x.
var peer = Member{Name: "p", Addr: "10.0.0.8:7000", Zone: "b", Role: RoleDataPlane, Incarnation: 1}

func TestMerge_anyOrderOfMessages(t *testing.T) {
	Convey("In every order of join, shuffles, leave and restart of a node, an old incarnation never comes back", t, func() {
		messages := []Message{
			{From: memberX(1, 1)}, {From: memberX(1, 2)}, {From: memberX(1, 3), Leaving: true}, {From: memberX(2, 1)},
			{From: peer, Sample: []Member{memberX(1, 2)}, Directory: []Member{memberX(1, 1)}},
			{From: peer, Sample: []Member{memberX(2, 0)}, Departed: []Member{memberX(1, 3)}},
			{From: peer, Departed: []Member{memberX(1, 3)}, Directory: []Member{memberX(1, 2)}},
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
}

func TestMerge_ownNameNewerElsewhere(t *testing.T) {
	Convey("A restarted node whose clock went back takes a number over its old one", t, func() {
		c := New(Defaults(), memberX(3, 0), nil, 1)
		out := c.HandleShuffle(0, Message{From: peer, Directory: []Member{memberX(7, 40)}})
		So(out.From.Incarnation, ShouldEqual, 3)
		So(c.HandleShuffle(0, Message{From: peer}).From.Incarnation, ShouldEqual, 8)
		c.HandleShuffle(0, Message{From: peer, Departed: []Member{memberX(8, 1)}})
		So(c.HandleShuffle(0, Message{From: peer}).From.Incarnation, ShouldEqual, 9)
	})
}

func TestSuspect_withoutAnswer(t *testing.T) {
	Convey("A neighbour without an answer is suspected, asked for, and dropped unless a newer version comes", t, func() {
		for _, isRefreshed := range []bool{false, true} {
			c := New(Defaults(), Member{Name: "me", Addr: "10.0.0.7:7000", Role: RoleDataPlane, Incarnation: 1}, nil, 1)
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
