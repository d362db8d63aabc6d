package routine

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestGroup_stop(t *testing.T) {
	Convey("Stop ends the context of all goroutines, including one started by another, and waits for them", t, func() {
		group := New(context.Background())
		var ended atomic.Int32
		untilEnd := func(ctx context.Context) {
			<-ctx.Done()
			ended.Add(1)
		}
		group.Go(untilEnd)
		group.Go(func(ctx context.Context) {
			group.Go(untilEnd)
			untilEnd(ctx)
		})
		group.Stop()
		So(ended.Load(), ShouldEqual, 3)
		So(group.Context().Err(), ShouldEqual, context.Canceled)
	})
	Convey("The context ends with its parent, and Wait does not end it", t, func() {
		parent, cancel := context.WithCancel(context.Background())
		group := New(parent)
		group.Go(func(context.Context) {})
		group.Wait()
		So(group.Context().Err(), ShouldBeNil)
		cancel()
		So(group.Context().Err(), ShouldEqual, context.Canceled)
	})
}

func TestEach_concurrency(t *testing.T) {
	for _, c := range []struct{ n, concurrency, most int }{{0, 1, 0}, {5, 0, 1}, {5, -1, 1}, {5, 2, 2}, {3, 9, 3}} {
		Convey("Each calls fn once with every index, with no more concurrent calls than its limit", t, func() {
			var mu sync.Mutex
			calls, running, most := make([]int, c.n), 0, 0
			Each(c.n, c.concurrency, func(i int) {
				mu.Lock()
				calls[i]++
				running++
				most = max(most, running)
				mu.Unlock()
				runtime.Gosched()
				mu.Lock()
				running--
				mu.Unlock()
			})
			for i := range calls {
				So(calls[i], ShouldEqual, 1)
			}
			So(most, ShouldBeLessThanOrEqualTo, c.most)
		})
	}
}
