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

// testFleet is a fleet of stores in one process, over memory disks and a virtual clock. It lives in a synctest bubble:
// the clock advances only when every goroutine waits.
type testFleet struct {
	clock     clock.Virtual
	settings  config.ControlPlane // for nodes started from now on, except name, address and zone
	seed      uint64              // added to the seeds of nodes started from now on
	syncDelay atomic.Int64        // duration of a sync on the virtual clock, in nanoseconds
	calls     *routine.Group      // runs the calls that wait on a store while the clock advances
	acked     map[string]uint64   // log indexes of the acknowledged jobs, by key; none may be lost
	disks     map[string]*storage.MemDisk

	mu          sync.Mutex // guards the fields below; goroutines of the stores use them too
	nodes       map[string]*Store
	fatalErrors map[string]error // the errors with which nodes called Options.Fatal
	removed     map[string]bool  // nodes that called Options.Removed
	partitioned map[string]bool  // nodes to and from which calls time out
	writeErrors map[string]error // the errors that disks return for writes, by node
	hungDisks   map[string]bool  // nodes whose disks hang: no sync ends
}

// sleep waits on the fleet's clock.
func (fleet *testFleet) sleep(d time.Duration) {
	expired := make(chan struct{})
	fleet.clock.Set(d, func() { close(expired) })
	<-expired
}

func newTestFleet(n, snapshotEvery int, operators ...signature.Key) *testFleet {
	fleet := &testFleet{
		settings:    config.DefaultControlPlane(),
		disks:       map[string]*storage.MemDisk{},
		nodes:       map[string]*Store{},
		fatalErrors: map[string]error{},
		calls:       routine.New(context.Background()),
		acked:       map[string]uint64{},
		partitioned: map[string]bool{},
		writeErrors: map[string]error{},
		hungDisks:   map[string]bool{},
		removed:     map[string]bool{},
	}
	fleet.settings.SnapshotEvery = snapshotEvery
	for _, key := range operators {
		operator := config.OperatorKey{Name: key.Name, Key: key.Public()}
		fleet.settings.OperatorKeys = append(fleet.settings.OperatorKeys, operator)
	}
	for i := range n {
		name := fmt.Sprintf("c%d", i+1)
		fleet.settings.Members = append(fleet.settings.Members, config.Member{ID: name, Addr: name, Zone: "z"})
		fleet.disks[name] = storage.NewMemDisk()
	}
	for _, m := range fleet.settings.Members {
		fleet.start(m.ID)
	}
	return fleet
}

// options returns the options that a node starts with.
func (fleet *testFleet) options(name string) Options {
	settings := fleet.settings
	settings.Name, settings.Addr, settings.Zone = name, name, "z"
	return Options{
		Settings: settings,
		Disk:     testDisk{fleet.disks[name], fleet, name},
		Net:      testNet{fleet, name},
		Clock:    &fleet.clock,
		Seed:     uint64(name[1]) + fleet.seed,
		Fatal:    func(err error) { fleet.mu.Lock(); fleet.fatalErrors[name] = err; fleet.mu.Unlock() },
		Removed:  func() { fleet.mu.Lock(); fleet.removed[name] = true; fleet.mu.Unlock() },
	}
}

func (fleet *testFleet) start(name string) {
	var s *Store
	var err error
	fleet.call(func(context.Context) { s, err = Open(fleet.options(name)) }) // call, as its syncs may take time
	So(err, ShouldBeNil)
	fleet.mu.Lock()
	fleet.nodes[name] = s
	fleet.mu.Unlock()
	s.Start()
}

// kill stops a node and crashes its disk, which may lose unsynced writes.
func (fleet *testFleet) kill(name string) {
	s := fleet.nodes[name]
	fleet.mu.Lock()
	delete(fleet.nodes, name)
	fleet.mu.Unlock()
	fleet.call(func(context.Context) { s.Stop() }) // call, as a sync may be under way
	fleet.disks[name].Crash(rand.New(rand.NewSource(int64(name[1]))))
}

func (fleet *testFleet) close() {
	for name := range fleet.nodes {
		fleet.kill(name)
	}
	fleet.clock.Advance(time.Minute) // timers that are still set, such as those of proposals
	fleet.calls.Stop()
}

// until advances the clock in small steps until cond holds, and fails the test after 20000 steps of 2 ms.
func (fleet *testFleet) until(what string, cond func() bool) {
	for range 20000 {
		synctest.Wait()
		if cond() {
			return
		}
		fleet.clock.Advance(2 * time.Millisecond)
	}
	So("not reached", ShouldEqual, what)
}

// leader waits until a node leads and is ready, and returns it.
func (fleet *testFleet) leader() *Store {
	var lead *Store
	fleet.until("a ready leader", func() bool {
		for _, s := range fleet.nodes {
			if st := s.Status(); st.Ready && st.Raft.Role == raft.Leader {
				lead = s
				return true
			}
		}
		return false
	})
	return lead
}

// call runs do, which waits on the stores, while the clock advances.
func (fleet *testFleet) call(do func(ctx context.Context)) {
	done := false
	fleet.calls.Go(func(ctx context.Context) { do(ctx); done = true })
	fleet.until("the end of a call", func() bool { return done })
}

// job returns the command that submits a job of one task.
func job(key string) command.Command {
	return &command.Submit{Digest: key, Bound: 1 << 20, Spec: state.Spec{Key: key, Queue: "default",
		Steps: []state.StepSpec{{Name: "s", Type: "t", Tasks: 1, Cores: 1}}}}
}

// submitJobs submits n jobs concurrently at the leader. It records the acknowledged ones and returns the kinds of the
// other jobs' errors.
func (fleet *testFleet) submitJobs(label string, n int) (failures []errs.Kind) {
	s := fleet.leader()
	keys, indexes, outcomes := make([]string, n), make([]uint64, n), make([]error, n)
	fleet.call(func(ctx context.Context) {
		routine.Each(n, n, func(i int) {
			keys[i] = fmt.Sprintf("%s-%d", label, i)
			indexes[i], _, outcomes[i] = s.Propose(ctx, job(keys[i]))
		})
	})
	for i, err := range outcomes {
		if err == nil {
			fleet.acked[keys[i]] = indexes[i]
		} else {
			failures = append(failures, errs.KindOf(err))
		}
	}
	return failures
}

// waitInSync waits until all nodes have applied the same entries, and checks that their states are equal and have
// every acknowledged job.
func (fleet *testFleet) waitInSync() {
	lead := fleet.leader()
	fleet.until("all nodes to apply the same entries", func() bool {
		for _, s := range fleet.nodes {
			if s.Status().Applied != lead.Status().Applied {
				return false
			}
		}
		return true
	})
	firstState := ""
	for _, s := range fleet.nodes {
		s.View(func(st *state.State) {
			lost := 0
			for key := range fleet.acked {
				if st.Jobs[key] == nil {
					lost++
				}
			}
			So(lost, ShouldEqual, 0)
			body, err := st.Encode()
			So(err, ShouldBeNil)
			if firstState == "" {
				firstState = string(body)
			}
			So(string(body) == firstState, ShouldBeTrue)
		})
		So(s.Status().Raft.InvariantViolations, ShouldEqual, 0)
	}
}

// withFleet runs do in a synctest bubble, with a fixed fleet of 3 running nodes.
func withFleet(t *testing.T, snapshotEvery int, do func(fleet *testFleet), operators ...signature.Key) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a fleet of three nodes", t, func() {
			fleet := newTestFleet(3, snapshotEvery, operators...)
			defer fleet.close()
			do(fleet)
		})
	})
}

// follower returns a running node other than leader, or nil.
func (fleet *testFleet) follower(leader *Store) *Store {
	for _, m := range fleet.settings.Members {
		if s := fleet.nodes[m.ID]; s != nil && s != leader {
			return s
		}
	}
	return nil
}

// advance advances the clock by d in small steps.
func (fleet *testFleet) advance(d time.Duration) {
	end := fleet.clock.Now() + d
	fleet.until("the clock to advance", func() bool { return fleet.clock.Now() >= end })
}

// elapsed returns how long do took on the clock.
func (fleet *testFleet) elapsed(do func()) time.Duration {
	start := fleet.clock.Now()
	do()
	return fleet.clock.Now() - start
}
