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
	Convey("Calls to one address run in FIFO order, those to others at once; one that never ran is unsent", t, func() {
		addresses, end := quietPeers(t, 2)
		defer end()
		virtual := &clock.Virtual{}
		client := NewClient(ClientOptions{Clock: virtual, MaxCallsPerAddress: 1})
		defer client.Close()
		limiter := client.addressLimiter
		first, err := client.acquire(ctx, addresses[0])
		So(err, ShouldBeNil)
		other, err := client.acquire(ctx, addresses[1])
		So(err, ShouldBeNil)
		waiting := func() int {
			limiter.mu.Lock()
			defer limiter.mu.Unlock()
			return len(limiter.waiting[addresses[0]])
		}
		group, failed, acquired := routine.New(ctx), make(chan error, 1), make(chan *connection, 1)
		group.Go(func(context.Context) {
			_, err := client.Do(ctx, addresses[0], Request{Method: "GET", Path: "/"}, time.Second)
			failed <- err
		})
		waitUntil(func() bool { return waiting() == 1 })
		group.Go(func(context.Context) {
			conn, _ := client.acquire(ctx, addresses[0])
			acquired <- conn
		})
		waitUntil(func() bool { return waiting() == 2 })
		virtual.Advance(time.Second)
		err = <-failed
		So([]bool{IsUnsent(err), IsQuotaExhausted(err)}, ShouldResemble, []bool{true, false})
		client.release(first, true)
		So(<-acquired == first, ShouldBeTrue) // the next call gets the idle connection
		client.release(first, true)
		client.release(other, true)
		So([]int{len(limiter.running), len(limiter.waiting)}, ShouldResemble, []int{0, 0})
		group.Wait()
	})
}
