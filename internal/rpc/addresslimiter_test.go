package rpc

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/clock"
	"crosstide/internal/routine"
)

func TestAddressLimiter(t *testing.T) {
	Convey("Calls to one address run in order, others do not wait, and one that times out before it ran is unsent", t, func() {
		addresses, end := quietPeers(2)
		defer end()
		virtual := &clock.Virtual{}
		k := NewClient(ClientOptions{Clock: virtual, MaxCallsPerAddress: 1})
		defer k.Close()
		first, err := k.acquire(ctx, addresses[0])
		So(err, ShouldBeNil)
		other, err := k.acquire(ctx, addresses[1])
		So(err, ShouldBeNil)
		waiting := func() int {
			k.addressLimiter.mu.Lock()
			defer k.addressLimiter.mu.Unlock()
			return len(k.addressLimiter.waiting[addresses[0]])
		}
		work, failed, taken := routine.New(ctx), make(chan error, 1), make(chan *connection, 1)
		work.Go(func(context.Context) {
			_, err := k.Do(ctx, addresses[0], Request{Method: "GET", Path: "/"}, time.Second)
			failed <- err
		})
		waitUntil(func() bool { return waiting() == 1 })
		work.Go(func(context.Context) {
			l, _ := k.acquire(ctx, addresses[0])
			taken <- l
		})
		waitUntil(func() bool { return waiting() == 2 })
		virtual.Advance(time.Second)
		err = <-failed
		So([]bool{IsUnsent(err), IsQuotaExhausted(err)}, ShouldResemble, []bool{true, false})
		k.release(first, true)
		So(<-taken == first, ShouldBeTrue) // the idle connection goes to the next call
		k.release(first, true)
		k.release(other, true)
		So([]int{len(k.addressLimiter.running), len(k.addressLimiter.waiting)}, ShouldResemble, []int{0, 0})
		work.Wait()
	})
}
