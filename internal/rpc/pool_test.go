package rpc

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"crosstide/internal/clock"
	"crosstide/internal/routine"
)

// quietPeers listens at so many addresses and takes connections without a word.
func quietPeers(count int) (addresses []string, end func()) {
	var ends []func()
	for range count {
		addr, over := plainPeer(func(_ int, c net.Conn, _ *bufio.Reader) { _, _ = io.Copy(io.Discard, c) })
		addresses, ends = append(addresses, addr), append(ends, over)
	}
	return addresses, func() {
		for _, over := range ends {
			over()
		}
	}
}

// poolModel plays calls against a caller and remembers the connections that they hold.
type poolModel struct {
	clock  *clock.Virtual
	caller *Client
	quota  *ConnQuota
	inUse  []*connection
}

// violation says what is wrong with the pool; empty: nothing is.
func (m *poolModel) violation(total int) string {
	pool := m.caller.pool
	pool.mu.Lock()
	defer pool.mu.Unlock()
	idle := 0
	for addr, kept := range pool.idle {
		if len(kept) == 0 || len(kept) > pool.maxIdle {
			return "a list of idle connections is empty or too long"
		}
		for _, l := range kept {
			if _, open := pool.open[l]; !open || l.addr != addr || !l.alive() {
				return "an idle connection is closed or of another address"
			}
		}
		idle += len(kept)
	}
	for _, l := range m.inUse {
		if _, open := pool.open[l]; !open {
			return "a connection in use is closed"
		}
	}
	switch {
	case len(pool.open) != idle+len(m.inUse):
		return "open connections are neither idle nor in use"
	case idle != pool.idleByAge.Len():
		return "the list by age and the lists by address differ"
	case m.quota.limiter.Usage()[0].Used != len(pool.open):
		return "the share does not count what is open"
	case len(pool.open) > total:
		return "more connections are open than the budget has"
	}
	return ""
}

func TestPool(t *testing.T) {
	Convey("Whatever is taken and given back, what is open is in use or idle, and within the budget", t, func() {
		addresses, end := quietPeers(3)
		defer end()
		rapid.Check(t, func(t *rapid.T) {
			const total = 9
			limiter := NewConnLimiter(total)
			quota, err := limiter.NewQuota("calls", 2)
			if err != nil {
				t.Fatal(err)
			}
			m := &poolModel{clock: &clock.Virtual{}, quota: quota}
			m.caller = NewClient(ClientOptions{Clock: m.clock, MaxIdlePerAddress: 2, IdleTimeout: 10 * time.Second, Quota: quota})
			defer m.caller.Close()
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				m.step(t, addresses, total)
				if wrong := m.violation(total); wrong != "" {
					t.Fatal(wrong)
				}
			}
		})
	})
	Convey("A connection that becomes idle makes room for a call to another address that waits", t, func() {
		addresses, end := quietPeers(2)
		defer end()
		limiter := NewConnLimiter(1)
		quota, err := limiter.NewQuota("calls", 1)
		So(err, ShouldBeNil)
		k := NewClient(ClientOptions{Quota: quota})
		defer k.Close()
		first, err := k.acquire(ctx, addresses[0])
		So(err, ShouldBeNil)
		work, taken := routine.New(ctx), make(chan *connection, 1)
		work.Go(func(context.Context) {
			second, err := k.acquire(ctx, addresses[1])
			if err == nil {
				taken <- second
			}
			close(taken)
		})
		waitUntil(func() bool { return limiter.Usage()[0].Waiting == 1 })
		k.release(first, true)
		second := <-taken
		So(second, ShouldNotBeNil)
		So(second.addr, ShouldEqual, addresses[1])
		k.release(second, true)
		work.Wait()
	})
}

// step takes a connection, gives one back or lets time pass.
func (m *poolModel) step(t *rapid.T, addresses []string, total int) {
	switch rapid.IntRange(0, 3).Draw(t, "what") {
	case 0, 1:
		if len(m.inUse) < total {
			l, err := m.caller.acquire(ctx, rapid.SampledFrom(addresses).Draw(t, "to"))
			if err != nil {
				t.Fatal(err)
			}
			m.inUse = append(m.inUse, l)
		}
	case 2:
		if len(m.inUse) > 0 {
			i := rapid.IntRange(0, len(m.inUse)-1).Draw(t, "which")
			l := m.inUse[i]
			m.inUse = append(m.inUse[:i], m.inUse[i+1:]...)
			m.caller.release(l, rapid.IntRange(0, 4).Draw(t, "whole") > 0)
		}
	case 3:
		m.clock.Advance(time.Duration(rapid.IntRange(0, 8).Draw(t, "seconds")) * time.Second)
	}
}

func TestAddressLimiter(t *testing.T) {
	Convey("Calls to one address take turns in order, others do not wait, and one whose time is over is Unsent", t, func() {
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
		So(<-taken == first, ShouldBeTrue) // the idle connection goes to the next in turn
		k.release(first, true)
		k.release(other, true)
		So([]int{len(k.addressLimiter.running), len(k.addressLimiter.waiting)}, ShouldResemble, []int{0, 0})
		work.Wait()
	})
}
