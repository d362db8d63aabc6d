package store

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/clock"
	"crosstide/internal/config"
	"crosstide/internal/errs"
	"crosstide/internal/raft"
	"crosstide/internal/routine"
	"crosstide/internal/signature"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
	"crosstide/internal/storage"
)

// rig is a fleet of stores in one process, over memory disks and a virtual clock. It lives in a synctest bubble:
// the clock moves only when every goroutine waits.
type testStores struct {
	clock    clock.Virtual
	settings config.ControlPlane
	disks    map[string]*storage.MemDisk
	mu       sync.Mutex
	nodes    map[string]*Store // by address; nil while it is down
	died     map[string]error
	work     *routine.Group
	acked    map[string]uint64
	seed     uint64           // of the nodes that start from now on, besides their names
	slow     atomic.Int64     // nanoseconds that a sync takes on the virtual clock
	cut      map[string]bool  // addresses of nodes that are cut off from all others: calls to and from them time out
	full     map[string]error // what disks refuse writes with, by the names of their nodes
	hangs    map[string]bool  // names of nodes whose disks end no sync
	removed  map[string]bool  // nodes that were told that they are no members any more
}

// sleep waits on the rig's clock.
func (r *testStores) sleep(d time.Duration) {
	expired := make(chan struct{})
	r.clock.Set(d, func() { close(expired) })
	<-expired
}

func newTestStores(n, snapshotEvery int, operators ...signature.Key) *testStores {
	r := &testStores{settings: config.DefaultControlPlane(), disks: map[string]*storage.MemDisk{}, nodes: map[string]*Store{},
		died: map[string]error{}, removed: map[string]bool{}, work: routine.New(context.Background()), acked: map[string]uint64{}, cut: map[string]bool{}, full: map[string]error{}, hangs: map[string]bool{}}
	r.settings.SnapshotEvery = snapshotEvery
	for _, key := range operators {
		r.settings.OperatorKeys = append(r.settings.OperatorKeys, config.OperatorKey{Name: key.Name, Key: key.Public()})
	}
	for i := range n {
		name := fmt.Sprintf("c%d", i+1)
		r.settings.Members = append(r.settings.Members, config.Member{ID: name, Addr: name, Zone: "z"})
		r.disks[name] = storage.NewMemDisk()
	}
	for _, m := range r.settings.Members {
		r.start(m.ID)
	}
	return r
}

// options are those that a node starts with.
func (r *testStores) options(name string) Options {
	settings := r.settings
	settings.Name, settings.Addr, settings.Zone = name, name, "z"
	return Options{Settings: settings, Disk: testDisk{r.disks[name], r, name}, Net: testNet{r, name}, Clock: &r.clock, Seed: uint64(name[1]) + r.seed,
		Fatal:   func(err error) { r.mu.Lock(); r.died[name] = err; r.mu.Unlock() },
		Removed: func() { r.mu.Lock(); r.removed[name] = true; r.mu.Unlock() }}
}

func (r *testStores) start(name string) {
	var s *Store
	var err error
	r.call(func(context.Context) { s, err = Open(r.options(name)) }) // its syncs may take time
	So(err, ShouldBeNil)
	r.mu.Lock()
	r.nodes[name] = s
	r.mu.Unlock()
	s.Start()
}

// kill ends a node; what its disk had not synced may be gone.
func (r *testStores) kill(name string) {
	s := r.nodes[name]
	r.mu.Lock()
	delete(r.nodes, name)
	r.mu.Unlock()
	r.call(func(context.Context) { s.Stop() }) // a sync may be under way
	r.disks[name].Crash(rand.New(rand.NewSource(int64(name[1]))))
}

func (r *testStores) close() {
	for name := range r.nodes {
		r.kill(name)
	}
	r.clock.Advance(time.Minute) // timers that are still set, such as those of proposals
	r.work.Stop()
}

// expiresAt moves the clock on, a little at a time, until cond holds.
func (r *testStores) until(what string, cond func() bool) {
	for range 20000 {
		synctest.Wait()
		if cond() {
			return
		}
		r.clock.Advance(2 * time.Millisecond)
	}
	So("not reached", ShouldEqual, what)
}

func (r *testStores) leader() *Store {
	var found *Store
	r.until("a ready leader", func() bool {
		for _, s := range r.nodes {
			if st := s.Status(); st.Ready && st.Raft.Role == raft.Leader {
				found = s
				return true
			}
		}
		return false
	})
	return found
}

// call runs what waits on the stores while the clock moves.
func (r *testStores) call(do func(ctx context.Context)) {
	done := false
	r.work.Go(func(ctx context.Context) { do(ctx); done = true })
	r.until("the end of a call", func() bool { return done })
}

func job(key string) command.Command {
	return &command.Submit{Digest: key, Bound: 1 << 20, Spec: state.Spec{Key: key, Queue: "default",
		Steps: []state.StepSpec{{Name: "s", Type: "t", Tasks: 1, Cores: 1}}}}
}

// submitJobs submits n jobs at once at the leader and notes what was acknowledged.
func (r *testStores) submitJobs(label string, n int) (failures []errs.Kind) {
	s := r.leader()
	keys, got, outcomes := make([]string, n), make([]uint64, n), make([]error, n)
	r.call(func(ctx context.Context) {
		routine.Each(n, n, func(i int) {
			keys[i] = fmt.Sprintf("%s-%d", label, i)
			got[i], _, outcomes[i] = s.Propose(ctx, job(keys[i]))
		})
	})
	for i, err := range outcomes {
		if err == nil {
			r.acked[keys[i]] = got[i]
		} else {
			failures = append(failures, errs.KindOf(err))
		}
	}
	return failures
}

// waitLevel waits until every node has applied the same, and checks that all that was acknowledged is there.
func (r *testStores) waitLevel() {
	lead := r.leader()
	r.until("all nodes level", func() bool {
		for _, s := range r.nodes {
			if s.Status().Applied != lead.Status().Applied {
				return false
			}
		}
		return true
	})
	wanted := ""
	for _, s := range r.nodes {
		s.View(func(st *state.State) {
			lost := 0
			for key := range r.acked {
				if st.Jobs[key] == nil {
					lost++
				}
			}
			So(lost, ShouldEqual, 0)
			body, err := st.Encode()
			So(err, ShouldBeNil)
			if wanted == "" {
				wanted = string(body)
			}
			So(string(body) == wanted, ShouldBeTrue)
		})
		So(s.Status().Raft.Refused, ShouldEqual, 0)
	}
}

// withFleet runs a test in a bubble, with a rig of 3 nodes.
func withFleet(t *testing.T, snapshotEvery int, do func(r *testStores), operators ...signature.Key) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a fleet", t, func() {
			r := newTestStores(3, snapshotEvery, operators...)
			defer r.close()
			do(r)
		})
	})
}

func (r *testStores) follower(of *Store) *Store {
	for _, m := range r.settings.Members {
		if s := r.nodes[m.ID]; s != nil && s != of {
			return s
		}
	}
	return nil
}

// advance moves the clock on by d, a little at a time.
func (r *testStores) advance(d time.Duration) {
	end := r.clock.Now() + d
	r.until("the end of a time", func() bool { return r.clock.Now() >= end })
}

// elapsed tells how long do took on the clock.
func (r *testStores) elapsed(do func()) time.Duration {
	from := r.clock.Now()
	do()
	return r.clock.Now() - from
}
