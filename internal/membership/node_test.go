package membership

import (
	"context"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
)

func TestNode_serve(t *testing.T) {
	Convey("A shuffle that comes in is answered, counted, and its control planes are reported; one without a sender is rejected", t, func() {
		var got []string
		reg := prometheus.NewRegistry()
		n := NewNode(Options{Self: Member{Name: "d1", Addr: "10.0.0.7:7000", Role: RoleDataPlane, Incarnation: 1}, Clock: &clock.Virtual{},
			Registry: reg, OnControlPlanes: func(addrs []string) { got = addrs }})
		_, err := n.Serve(context.Background(), Message{})
		So(errs.Is(err, errs.Invalid), ShouldBeTrue)
		a, err := n.Serve(context.Background(), Message{From: Member{Name: "c1", Addr: "10.0.0.1:7000", Role: RoleControlPlane, Incarnation: 4}})
		So(err, ShouldBeNil)
		So([]any{a.From.Name, got, len(n.Nodes())}, ShouldResemble, []any{"d1", []string{"10.0.0.1:7000"}, 2})
		families, err := reg.Gather()
		So(err, ShouldBeNil)
		So(len(families), ShouldEqual, 4)
	})
}
