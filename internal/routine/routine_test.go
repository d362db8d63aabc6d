package routine

import (
	"context"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestGroup_stop(t *testing.T) {
	Convey("Stop ends the context of every goroutine, also of one that a goroutine started, and waits for all", t, func() {
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

func TestEach_width(t *testing.T) {
	for _, c := range []struct{ n, width, most int }{{0, 1, 0}, {5, 0, 1}, {5, -1, 1}, {5, 2, 2}, {3, 9, 3}} {
		Convey("Each calls work once with every number, on no more goroutines than its width", t, func() {
			calls := make([]atomic.Int32, c.n)
			var running, most atomic.Int32
			Each(c.n, c.width, func(i int) {
				now := running.Add(1)
				for seen := most.Load(); now > seen && !most.CompareAndSwap(seen, now); seen = most.Load() {
				}
				calls[i].Add(1)
				running.Add(-1)
			})
			for i := range calls {
				So(calls[i].Load(), ShouldEqual, 1)
			}
			So(most.Load(), ShouldBeLessThanOrEqualTo, c.most)
		})
	}
}
