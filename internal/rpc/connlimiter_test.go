package rpc

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/routine"
)

func TestConnLimiter_reservations(t *testing.T) {
	Convey("Quotas never exceed the limit together, and each can acquire what is reserved to it", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			total := rapid.IntRange(1, 30).Draw(t, "total")
			limiter, left := NewConnLimiter(total), total
			var quotas []*ConnQuota
			for i := range rapid.IntRange(1, 4).Draw(t, "quotas") {
				reserved := rapid.IntRange(0, left).Draw(t, "reserved")
				left -= reserved
				quota, err := limiter.NewQuota(string(rune('a'+i)), reserved)
				if err != nil {
					t.Fatal(err)
				}
				quotas = append(quotas, quota)
			}
			for range rapid.IntRange(0, 100).Draw(t, "steps") {
				s := rapid.SampledFrom(quotas).Draw(t, "quota")
				if rapid.Bool().Draw(t, "acquire") {
					isReserved := s.used < s.reserved
					if took := s.tryAcquire(); isReserved && !took {
						t.Fatalf("quota %s has %d of %d and gets no more", s.name, s.used, s.reserved)
					}
				} else if s.used > 0 {
					s.release()
				}
				sum := 0
				for _, use := range limiter.Usage() {
					sum += use.Used
				}
				if sum > total {
					t.Fatalf("%d of %d are taken", sum, total)
				}
			}
		})
	})
}

func TestConnLimiter_reservationTooLarge(t *testing.T) {
	Convey("More than the limit cannot be reserved", t, func() {
		limiter := NewConnLimiter(10)
		_, err := limiter.NewQuota("a", 7)
		So(err, ShouldBeNil)
		_, err = limiter.NewQuota("b", 4)
		So(errs.KindOf(err), ShouldEqual, errs.Settings)
		So(errs.Of(err).Field, ShouldEqual, "b")
	})
}

func TestConnLimiter_orderOfWaiters(t *testing.T) {
	Convey("A released connection goes to a waiter, of the first quota first; one that gives up is asked to try again later", t, func() {
		limiter := NewConnLimiter(2)
		first, err := limiter.NewQuota("first", 0)
		So(err, ShouldBeNil)
		second, err := limiter.NewQuota("second", 0)
		So(err, ShouldBeNil)
		for range 2 {
			So(second.tryAcquire(), ShouldBeTrue)
		}
		work := routine.New(ctx)
		order := make(chan string, 2)
		for i, s := range []*ConnQuota{second, first} {
			work.Go(func(context.Context) {
				if s.acquire(ctx) == nil {
					order <- s.name
				}
			})
			waitUntil(func() bool { return limiter.Usage()[1].Waiting+limiter.Usage()[0].Waiting == i+1 })
		}
		bounded, cancel := context.WithCancel(ctx)
		cancel()
		err = second.acquire(bounded)
		So([]any{errs.KindOf(err), errs.Of(err).After}, ShouldResemble, []any{errs.Overloaded, time.Second})
		So(limiter.Usage()[1].Rejected, ShouldEqual, 1)
		second.release()
		So(<-order, ShouldEqual, "first")
		second.release()
		So(<-order, ShouldEqual, "second")
		work.Wait()
	})
}

func TestQuotaExhausted(t *testing.T) {
	Convey("A call without quota for a connection is unsent and quota-exhausted; one to a dead peer is only unsent", t, func() {
		addresses, end := quietPeers(1)
		limiter, virtual := NewConnLimiter(1), &clock.Virtual{}
		quota, err := limiter.NewQuota("calls", 0)
		So(err, ShouldBeNil)
		k := NewClient(ClientOptions{Clock: virtual, Quota: quota})
		defer k.Close()
		current, err := k.acquire(ctx, addresses[0])
		So(err, ShouldBeNil)
		work, failed := routine.New(ctx), make(chan error, 1)
		work.Go(func(context.Context) {
			_, err := k.Do(ctx, addresses[0], Request{Method: "GET", Path: "/"}, time.Second)
			failed <- err
		})
		waitUntil(func() bool { return limiter.Usage()[0].Waiting == 1 })
		virtual.Advance(time.Second)
		err = <-failed
		So([]bool{IsUnsent(err), IsQuotaExhausted(err)}, ShouldResemble, []bool{true, true})
		work.Wait()
		k.release(current, false)
		end()
		_, err = k.Do(ctx, addresses[0], Request{Method: "GET", Path: "/"}, time.Second)
		So([]bool{IsUnsent(err), IsQuotaExhausted(err)}, ShouldResemble, []bool{true, false})
		So(limiter.Usage()[0].Used, ShouldEqual, 0)
	})
}
