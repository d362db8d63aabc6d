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
	Convey("Concurrent reads share calls to the leader, and all of them are confirmed", t, func() {
		var calls atomic.Int64
		server := rpc.NewServer(rpc.ServerOptions{Addr: "127.0.0.1:0"})
		answerIndex := func(context.Context, internalapi.ReadIndexCall) (internalapi.ReadIndexAnswer, error) {
			calls.Add(1)
			return internalapi.ReadIndexAnswer{}, nil
		}
		rpc.Handle(server, internalapi.ReadIndex, answerIndex)
		So(server.Start(), ShouldBeNil)
		caller := rpc.NewClient(rpc.ClientOptions{})
		node := New(Options{Name: "d", ControlPlanes: []string{server.Addr()},
			Scheduler: scheduler.DefaultConfig(), CallTimeout: 20 * time.Second, Clock: clock.Real{},
			Logger: log.NewNopLogger(), Caller: caller, WorkerCaller: caller})
		loop := routine.New(context.Background())
		loop.Go(node.readIndexer.run)
		var confirmed atomic.Int64
		const reads = 4000
		routine.Each(reads, 32, func(int) {
			if node.Read(context.Background(), func(*state.State) error { return nil }) == nil {
				confirmed.Add(1)
			}
		})
		So(confirmed.Load(), ShouldEqual, reads)
		So(calls.Load(), ShouldBeLessThan, reads)
		loop.Stop()
		caller.Close()
		So(server.Stop(time.Second), ShouldBeNil)
	})
}
