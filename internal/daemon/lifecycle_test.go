package daemon

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
	"crosstide/internal/rpc"
)

func TestLifecycle_order(t *testing.T) {
	Convey("A daemon starts its parts once its server listens, and stops them after the server", t, func() {
		server := rpc.NewServer(rpc.ServerOptions{Addr: "127.0.0.1:0"})
		ctx, cancel := context.WithCancel(context.Background())
		var steps []string
		lifecycle := Lifecycle{Server: server, Logger: log.NewNopLogger(), Grace: time.Second,
			Start: func() {
				steps = append(steps, "start at "+server.Addr())
				cancel()
			},
			Drain: func(ctx context.Context) {
				_, bounded := ctx.Deadline()
				So(bounded, ShouldBeTrue)
				So(ctx.Err(), ShouldBeNil)
				steps = append(steps, "drain")
			},
			Stop: func() { steps = append(steps, "stop") },
		}
		So(lifecycle.Run(ctx), ShouldBeNil)
		So(steps, ShouldResemble, []string{"start at " + server.Addr(), "drain", "stop"})
	})
	Convey("Run fails if the server cannot listen, and calls no function of the lifecycle", t, func() {
		taken := rpc.NewServer(rpc.ServerOptions{Addr: "127.0.0.1:0"})
		So(taken.Start(), ShouldBeNil)
		defer func() { So(taken.Stop(0), ShouldBeNil) }()
		called := func() { t.Error("called") }
		lifecycle := Lifecycle{Server: rpc.NewServer(rpc.ServerOptions{Addr: taken.Addr()}), Logger: log.NewNopLogger(),
			Start: called, Drain: func(context.Context) { called() }, Stop: called}
		So(errs.Is(lifecycle.Run(context.Background()), errs.Settings), ShouldBeTrue)
	})
}

func TestRunUntilDone_waits(t *testing.T) {
	Convey("The background function ends after the context and before RunUntilDone returns", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		ended := false
		RunUntilDone(ctx, func(background context.Context) {
			cancel()
			<-background.Done()
			ended = true
		})
		So(ended, ShouldBeTrue)
	})
}
