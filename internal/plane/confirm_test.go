package plane

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/alarm"
	"crosstide/internal/pair"
	"crosstide/internal/sched"
	"crosstide/internal/spawn"
	"crosstide/internal/state"
	"crosstide/internal/wire"
)

func TestConfirm(t *testing.T) {
	Convey("many reads at once are all confirmed, by few calls, and the loop never stands still", t, func() {
		var calls atomic.Int64
		srv := wire.NewServer(wire.ServerOptions{Addr: "127.0.0.1:0"})
		wire.Handle(srv, pair.Confirm, func(context.Context, pair.ConfirmCall) (pair.ConfirmAnswer, error) {
			calls.Add(1)
			return pair.ConfirmAnswer{}, nil
		})
		So(srv.Start(), ShouldBeNil)
		caller := wire.NewCaller(wire.CallerOptions{})
		n := New(Options{Name: "d", Core: []string{srv.Addr()}, Sched: sched.Defaults(), CallTimeout: 20 * time.Second,
			Clock: alarm.Real{}, Logger: log.NewNopLogger(), Caller: caller, Minions: caller})
		loop := spawn.New(context.Background())
		loop.Go(n.fresh.run)
		var good atomic.Int64
		const reads = 4000
		spawn.Each(reads, 32, func(int) {
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
