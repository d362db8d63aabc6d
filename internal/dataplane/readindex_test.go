package dataplane

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/clock"
	"crosstide/internal/dataplane/scheduler"
	"crosstide/internal/internalapi"
	"crosstide/internal/routine"
	"crosstide/internal/rpc"
	"crosstide/internal/state"
)

func TestReadIndex(t *testing.T) {
	Convey("many reads at once are all confirmed, by few calls, and the loop never stands still", t, func() {
		var calls atomic.Int64
		srv := rpc.NewServer(rpc.ServerOptions{Addr: "127.0.0.1:0"})
		rpc.Handle(srv, internalapi.ReadIndex, func(context.Context, internalapi.ReadIndexCall) (internalapi.ReadIndexAnswer, error) {
			calls.Add(1)
			return internalapi.ReadIndexAnswer{}, nil
		})
		So(srv.Start(), ShouldBeNil)
		caller := rpc.NewClient(rpc.ClientOptions{})
		n := New(Options{Name: "d", ControlPlanes: []string{srv.Addr()}, Scheduler: scheduler.DefaultConfig(), CallTimeout: 20 * time.Second,
			Clock: clock.Real{}, Logger: log.NewNopLogger(), Caller: caller, WorkerCaller: caller})
		loop := routine.New(context.Background())
		loop.Go(n.readIndexer.run)
		var good atomic.Int64
		const reads = 4000
		routine.Each(reads, 32, func(int) {
			if n.Read(context.Background(), func(*state.State) error { return nil }) == nil {
				good.Add(1)
			}
		})
		So(good.Load(), ShouldEqual, reads)
		So(calls.Load(), ShouldBeLessThan, reads)
		loop.Stop()
		caller.Close()
		So(srv.Stop(time.Second), ShouldBeNil)
	})
}
