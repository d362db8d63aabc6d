package faults

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
	"crosstide/internal/httpapi/operatorapi"
	"crosstide/internal/rpc"
	"crosstide/internal/testbed/fleet"
	"crosstide/internal/testbed/netproxy"
	"crosstide/internal/testbed/testclock"
)

// startControlPlane starts a control plane that answers the nth call with the nth of failures, and every later call
// with the last one; nil is a success. It returns the node and its number of calls.
func startControlPlane(failures ...error) (fleet.Node, *atomic.Int32) {
	calls := &atomic.Int32{}
	server := rpc.NewServer(rpc.ServerOptions{Addr: "127.0.0.1:0"})
	server.Route("/", func(w http.ResponseWriter, _ *http.Request) {
		if err := failures[min(int(calls.Add(1)), len(failures))-1]; err != nil {
			rpc.WriteError(w, err)
			return
		}
		rpc.WriteJSON(w, http.StatusOK, struct{}{})
	})
	So(server.Start(), ShouldBeNil)
	Reset(func() { So(server.Stop(time.Minute), ShouldBeNil) })
	return fleet.Node{Name: "c", Addr: server.Addr()}, calls
}

func TestSendOrder(t *testing.T) {
	send := func(nodes ...fleet.Node) error {
		target := &Target{Nodes: fleet.Nodes{ControlPlanes: nodes}, Caller: fleet.NewCaller(1), clock: &testclock.Elapsing{}}
		return target.SendOrder(context.Background(), "/v1/order", operatorapi.Order{Order: "o"})
	}
	Convey("An order is sent to one node after another until one carries it out", t, func() {
		down, callsDown := startControlPlane(errs.New(errs.Unavailable, "on purpose"))
		up, callsUp := startControlPlane(errs.New(errs.Overloaded, "on purpose"), nil)
		So(send(down, up), ShouldBeNil)
		So([]int32{callsDown.Load(), callsUp.Load()}, ShouldResemble, []int32{2, 2})
	})
	Convey("An order that is refused permanently is not sent again", t, func() {
		refusing, calls := startControlPlane(errs.New(errs.Conflict, "on purpose"))
		So(errs.KindOf(send(refusing)), ShouldEqual, errs.Internal)
		So(calls.Load(), ShouldEqual, 1)
	})
}

func TestInjectNetwork(t *testing.T) {
	Convey("An invalid fault is refused, and so is a fault in a fleet without a network proxy", t, func() {
		target := &Target{Caller: fleet.NewCaller(1), clock: &testclock.Elapsing{}}
		_, err := target.InjectNetwork(context.Background(), netproxy.Fault{})
		So(errs.KindOf(err), ShouldEqual, errs.Invalid)
		fault := netproxy.Fault{Node: "d1", Kind: netproxy.Blackhole, For: time.Second}
		_, err = target.InjectNetwork(context.Background(), fault)
		So(errs.KindOf(err), ShouldEqual, errs.Settings)
	})
}

func TestAwait(t *testing.T) {
	Convey("Await polls until its condition is true, or fails after the timeout", t, func() {
		target := &Target{clock: &testclock.Elapsing{}}
		polls := 0
		_, err := target.Await(context.Background(), time.Hour, "third", func() bool { polls++; return polls == 3 })
		So(err, ShouldBeNil)
		_, err = target.Await(context.Background(), -1, "never", func() bool { return false })
		So(errs.KindOf(err), ShouldEqual, errs.Timeout)
	})
}
