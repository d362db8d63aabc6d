package rpc

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"crosstide/internal/clock"
	"crosstide/internal/routine"
)

// poolModel makes calls by a client and remembers the connections that they use.
type poolModel struct {
	clock  *clock.Virtual
	client *Client
	quota  *ConnQuota
	inUse  []*connection
}

// violation is an invariant of the pool that does not hold; empty: all hold.
func (m *poolModel) violation(total int) string {
	pool := m.client.pool
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
		return "the quota does not count what is open"
	case len(pool.open) > total:
		return "more connections are open than the limit"
	}
	return ""
}

func TestPool(t *testing.T) {
	Convey("Whatever is acquired and released, what is open is in use or idle, and within the limit", t, func() {
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
			m.client = NewClient(ClientOptions{Clock: m.clock, MaxIdlePerAddress: 2, IdleTimeout: 10 * time.Second, Quota: quota})
			defer m.client.Close()
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				m.step(t, addresses, total)
				if wrong := m.violation(total); wrong != "" {
					t.Fatal(wrong)
				}
			}
		})
	})
	Convey("A connection that becomes idle is closed for a call to another address that waits", t, func() {
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

// step acquires a connection, releases one or advances the clock.
func (m *poolModel) step(t *rapid.T, addresses []string, total int) {
	switch rapid.IntRange(0, 3).Draw(t, "what") {
	case 0, 1:
		if len(m.inUse) < total {
			l, err := m.client.acquire(ctx, rapid.SampledFrom(addresses).Draw(t, "to"))
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
			m.client.release(l, rapid.IntRange(0, 4).Draw(t, "reusable") > 0)
		}
	case 3:
		m.clock.Advance(time.Duration(rapid.IntRange(0, 8).Draw(t, "seconds")) * time.Second)
	}
}
