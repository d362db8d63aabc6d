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

func TestReadIndex_sharesCalls(t *testing.T) {
	Convey("Many concurrent reads are all confirmed, by fewer calls, and none waits for ever", t, func() {
		var calls atomic.Int64
		srv := rpc.NewServer(rpc.ServerOptions{Addr: "127.0.0.1:0"})
		answerIndex := func(context.Context, internalapi.ReadIndexCall) (internalapi.ReadIndexAnswer, error) {
			calls.Add(1)
			return internalapi.ReadIndexAnswer{}, nil
		}
		rpc.Handle(srv, internalapi.ReadIndex, answerIndex)
		So(srv.Start(), ShouldBeNil)
		caller := rpc.NewClient(rpc.ClientOptions{})
		n := New(Options{Name: "d", ControlPlanes: []string{srv.Addr()},
			Scheduler: scheduler.DefaultConfig(), CallTimeout: 20 * time.Second, Clock: clock.Real{},
			Logger: log.NewNopLogger(), Caller: caller, WorkerCaller: caller})
		loop := routine.New(context.Background())
		loop.Go(n.readIndexer.run)
		var confirmed atomic.Int64
		const reads = 4000
		routine.Each(reads, 32, func(int) {
			if n.Read(context.Background(), func(*state.State) error { return nil }) == nil {
				confirmed.Add(1)
			}
		})
		So(confirmed.Load(), ShouldEqual, reads)
		So(calls.Load(), ShouldBeLessThan, reads)
		loop.Stop()
		caller.Close()
		So(srv.Stop(time.Second), ShouldBeNil)
	})
}
