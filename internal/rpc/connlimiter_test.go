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
	Convey("Quotas together never exceed the limit, and each can acquire its reserved connections", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			limit := rapid.IntRange(1, 30).Draw(t, "limit")
			limiter := NewConnLimiter(limit)
			quotas := drawQuotas(t, limiter, limit)
			for range rapid.IntRange(0, 100).Draw(t, "steps") {
				useQuota(t, rapid.SampledFrom(quotas).Draw(t, "quota"))
				used := 0
				for _, usage := range limiter.Usage() {
					used += usage.Used
				}
				if used > limit {
					t.Fatalf("%d connections are used, the limit is %d", used, limit)
				}
			}
		})
	})
}

// drawQuotas adds one to four quotas, whose reservations together are within the limit.
func drawQuotas(t *rapid.T, limiter *ConnLimiter, limit int) (quotas []*ConnQuota) {
	unreserved := limit
	for i := range rapid.IntRange(1, 4).Draw(t, "quotas") {
		reserved := rapid.IntRange(0, unreserved).Draw(t, "reserved")
		unreserved -= reserved
		quota, err := limiter.NewQuota(string(rune('a'+i)), reserved)
		if err != nil {
			t.Fatal(err)
		}
		quotas = append(quotas, quota)
	}
	return quotas
}

// useQuota acquires a connection, which must succeed within the reservation, or releases one.
func useQuota(t *rapid.T, quota *ConnQuota) {
	if rapid.Bool().Draw(t, "acquire") {
		isReserved := quota.used < quota.reserved
		if acquired := quota.tryAcquire(); isReserved && !acquired {
			t.Fatalf("quota %s uses %d of %d reserved and cannot acquire one", quota.name, quota.used, quota.reserved)
		}
	} else if quota.used > 0 {
		quota.release()
	}
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
	Convey("A released connection goes to a waiter of the quota added first; a cancelled wait fails", t, func() {
		limiter := NewConnLimiter(2)
		first, err := limiter.NewQuota("first", 0)
		So(err, ShouldBeNil)
		second, err := limiter.NewQuota("second", 0)
		So(err, ShouldBeNil)
		for range 2 {
			So(second.tryAcquire(), ShouldBeTrue)
		}
		group := routine.New(ctx)
		order := make(chan string, 2)
		for i, quota := range []*ConnQuota{second, first} {
			group.Go(func(context.Context) {
				if quota.acquire(ctx) == nil {
					order <- quota.name
				}
			})
			waitUntil(func() bool { return limiter.Usage()[1].Waiting+limiter.Usage()[0].Waiting == i+1 })
		}
		cancelled, cancel := context.WithCancel(ctx)
		cancel()
		err = second.acquire(cancelled)
		So([]any{errs.KindOf(err), errs.Of(err).RetryAfter}, ShouldResemble, []any{errs.Overloaded, time.Second})
		So(limiter.Usage()[1].Rejected, ShouldEqual, 1)
		second.release()
		So(<-order, ShouldEqual, "first")
		second.release()
		So(<-order, ShouldEqual, "second")
		group.Wait()
	})
}

func TestDo_quotaExhausted(t *testing.T) {
	Convey("A call without a connection is unsent and quota-exhausted; one to a dead peer is only unsent", t, func() {
		addresses, end := quietPeers(t, 1)
		limiter, virtual := NewConnLimiter(1), &clock.Virtual{}
		quota, err := limiter.NewQuota("calls", 0)
		So(err, ShouldBeNil)
		client := NewClient(ClientOptions{Clock: virtual, Quota: quota})
		defer client.Close()
		current, err := client.acquire(ctx, addresses[0])
		So(err, ShouldBeNil)
		group, failed := routine.New(ctx), make(chan error, 1)
		group.Go(func(context.Context) {
			_, err := client.Do(ctx, addresses[0], Request{Method: "GET", Path: "/"}, time.Second)
			failed <- err
		})
		waitUntil(func() bool { return limiter.Usage()[0].Waiting == 1 })
		virtual.Advance(time.Second)
		err = <-failed
		So([]bool{IsUnsent(err), IsQuotaExhausted(err)}, ShouldResemble, []bool{true, true})
		group.Wait()
		client.release(current, false)
		end()
		_, err = client.Do(ctx, addresses[0], Request{Method: "GET", Path: "/"}, time.Second)
		So([]bool{IsUnsent(err), IsQuotaExhausted(err)}, ShouldResemble, []bool{true, false})
		So(limiter.Usage()[0].Used, ShouldEqual, 0)
	})
}
