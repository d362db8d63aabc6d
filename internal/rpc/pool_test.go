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

// poolModel acquires and releases connections of a client at random, and tracks which are in use.
type poolModel struct {
	clock  *clock.Virtual
	client *Client
	quota  *ConnQuota
	limit  int // of quota
	inUse  []*connection
}

// violation describes an invariant of the pool that does not hold, or returns "" if all hold.
func (m *poolModel) violation() string {
	pool := m.client.pool
	pool.mu.Lock()
	defer pool.mu.Unlock()
	idle := 0
	for addr, conns := range pool.idle {
		if len(conns) == 0 || len(conns) > pool.maxIdle {
			return "a list of idle connections is empty or too long"
		}
		for _, conn := range conns {
			if _, isOpen := pool.open[conn]; !isOpen || conn.addr != addr || !conn.alive() {
				return "an idle connection is closed or of another address"
			}
		}
		idle += len(conns)
	}
	for _, conn := range m.inUse {
		if _, isOpen := pool.open[conn]; !isOpen {
			return "a connection in use is closed"
		}
	}
	switch {
	case len(pool.open) != idle+len(m.inUse):
		return "an open connection is neither idle nor in use"
	case idle != pool.idleByAge.Len():
		return "the list by age and the lists by address differ"
	case m.quota.limiter.Usage()[0].Used != len(pool.open):
		return "the quota does not count exactly the open connections"
	case len(pool.open) > m.limit:
		return "more connections are open than the limit"
	}
	return ""
}

func TestPool(t *testing.T) {
	Convey("After any acquires and releases, open connections are in use or idle, and within the limit", t, func() {
		addresses, end := quietPeers(t, 3)
		defer end()
		rapid.Check(t, func(t *rapid.T) {
			const limit = 9
			limiter := NewConnLimiter(limit)
			quota, err := limiter.NewQuota("calls", 2)
			if err != nil {
				t.Fatal(err)
			}
			m := &poolModel{clock: &clock.Virtual{}, quota: quota, limit: limit}
			m.client = NewClient(ClientOptions{
				Clock: m.clock, MaxIdlePerAddress: 2, IdleTimeout: 10 * time.Second, Quota: quota,
			})
			defer m.client.Close()
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				m.step(t, addresses)
				if violation := m.violation(); violation != "" {
					t.Fatal(violation)
				}
			}
		})
	})
	Convey("A connection that becomes idle is closed if a call to another address is waiting", t, func() {
		addresses, end := quietPeers(t, 2)
		defer end()
		limiter := NewConnLimiter(1)
		quota, err := limiter.NewQuota("calls", 1)
		So(err, ShouldBeNil)
		client := NewClient(ClientOptions{Quota: quota})
		defer client.Close()
		first, err := client.acquire(ctx, addresses[0])
		So(err, ShouldBeNil)
		group, acquired := routine.New(ctx), make(chan *connection, 1)
		group.Go(func(context.Context) {
			second, err := client.acquire(ctx, addresses[1])
			if err == nil {
				acquired <- second
			}
			close(acquired)
		})
		waitUntil(func() bool { return limiter.Usage()[0].Waiting == 1 })
		client.release(first, true)
		second := <-acquired
		So(second, ShouldNotBeNil)
		So(second.addr, ShouldEqual, addresses[1])
		client.release(second, true)
		group.Wait()
	})
}

// step acquires a connection, releases one or advances the clock.
func (m *poolModel) step(t *rapid.T, addresses []string) {
	switch rapid.IntRange(0, 3).Draw(t, "action") {
	case 0, 1:
		if len(m.inUse) < m.limit {
			conn, err := m.client.acquire(ctx, rapid.SampledFrom(addresses).Draw(t, "address"))
			if err != nil {
				t.Fatal(err)
			}
			m.inUse = append(m.inUse, conn)
		}
	case 2:
		if len(m.inUse) > 0 {
			i := rapid.IntRange(0, len(m.inUse)-1).Draw(t, "connection")
			conn := m.inUse[i]
			m.inUse = append(m.inUse[:i], m.inUse[i+1:]...)
			m.client.release(conn, rapid.IntRange(0, 4).Draw(t, "reusable") > 0)
		}
	case 3:
		m.clock.Advance(time.Duration(rapid.IntRange(0, 8).Draw(t, "seconds")) * time.Second)
	}
}
