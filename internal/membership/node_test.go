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
	Convey("A shuffle is answered, counted and its control planes reported, or rejected without a sender", t, func() {
		var reported []string
		registry := prometheus.NewRegistry()
		n := NewNode(Options{
			Self:            Member{Name: "d1", Addr: "10.0.0.7:7000", Role: RoleDataPlane, Incarnation: 1},
			Clock:           &clock.Virtual{},
			Registry:        registry,
			OnControlPlanes: func(addrs []string) { reported = addrs },
		})
		_, err := n.Serve(context.Background(), Message{})
		So(errs.Is(err, errs.Invalid), ShouldBeTrue)
		sender := Member{Name: "c1", Addr: "10.0.0.1:7000", Role: RoleControlPlane, Incarnation: 4}
		answer, err := n.Serve(context.Background(), Message{From: sender})
		So(err, ShouldBeNil)
		So(answer.From.Name, ShouldEqual, "d1")
		So(reported, ShouldResemble, []string{"10.0.0.1:7000"})
		So(n.Nodes(), ShouldHaveLength, 2)
		families, err := registry.Gather()
		So(err, ShouldBeNil)
		So(len(families), ShouldEqual, 4)
	})
}
