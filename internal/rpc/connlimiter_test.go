package rpc

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/routine"
)

// waitUntil yields until a condition holds that other goroutines bring about.
func waitUntil(condition func() bool) {
	for !condition() {
		runtime.Gosched()
	}
}

func TestConnLimiter(t *testing.T) {
	Convey("Shares never exceed the budget together, and each gets what is reserved to it", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			total := rapid.IntRange(1, 30).Draw(t, "total")
			limiter, left := NewConnLimiter(total), total
			var quotas []*ConnQuota
			for i := range rapid.IntRange(1, 4).Draw(t, "shares") {
				reserved := rapid.IntRange(0, left).Draw(t, "least")
				left -= reserved
				quota, err := limiter.NewQuota(string(rune('a'+i)), reserved)
				if err != nil {
					t.Fatal(err)
				}
				quotas = append(quotas, quota)
			}
			for range rapid.IntRange(0, 100).Draw(t, "steps") {
				s := rapid.SampledFrom(quotas).Draw(t, "share")
				if rapid.Bool().Draw(t, "take") {
					owed := s.used < s.reserved
					if took := s.tryAcquire(); owed && !took {
						t.Fatalf("share %s has %d of %d and gets no more", s.name, s.used, s.reserved)
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
	Convey("More than there is cannot be reserved", t, func() {
		limiter := NewConnLimiter(10)
		_, err := limiter.NewQuota("a", 7)
		So(err, ShouldBeNil)
		_, err = limiter.NewQuota("b", 4)
		So(errs.KindOf(err), ShouldEqual, errs.Settings)
		So(errs.Of(err).Field, ShouldEqual, "b")
	})
	Convey("Who waits is let in when room comes up, the first share first, and who gives up is told to come back", t, func() {
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
	Convey("A call that finds no room for a connection is Unsent and NoRoom; one to a dead peer is only Unsent", t, func() {
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

// get sends one request over c and gives the response's status and how long to wait before the next.
func get(c net.Conn) (status int, after string, closing bool) {
	_, err := io.WriteString(c, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
	So(err, ShouldBeNil)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	So(err, ShouldBeNil)
	_, err = io.Copy(io.Discard, res.Body)
	So(err, ShouldBeNil)
	return res.StatusCode, res.Header.Get("Retry-After"), res.Close
}

func TestAdmission(t *testing.T) {
	Convey("A connection beyond the server's share is told to come back; once another is closed there is room again", t, func() {
		limiter := NewConnLimiter(1)
		quota, err := limiter.NewQuota("clients", 1)
		So(err, ShouldBeNil)
		s := NewServer(ServerOptions{Addr: "127.0.0.1:0", Quota: quota, Loops: 1})
		s.Route("GET /x", func(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, http.StatusOK, note{}) })
		So(s.Start(), ShouldBeNil)
		waitUntil(func() bool { return limiter.Usage()[0].Used == 0 }) // the one that the start made
		dial := func() net.Conn {
			c, err := net.Dial("tcp", s.Addr())
			So(err, ShouldBeNil)
			return c
		}
		first := dial()
		status, _, _ := get(first)
		So(status, ShouldEqual, http.StatusOK)
		second := dial()
		status, after, closing := get(second)
		So([]any{status, after, closing}, ShouldResemble, []any{http.StatusServiceUnavailable, "1", true})
		So(limiter.Usage()[0].Rejected, ShouldBeGreaterThanOrEqualTo, 1)
		So(first.Close(), ShouldBeNil)
		waitUntil(func() bool { return limiter.Usage()[0].Used == 0 })
		third := dial()
		status, _, _ = get(third)
		So(status, ShouldEqual, http.StatusOK)
		So(second.Close(), ShouldBeNil)
		So(third.Close(), ShouldBeNil)
		So(s.Stop(time.Minute), ShouldBeNil)
	})
}
