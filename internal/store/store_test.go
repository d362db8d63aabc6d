package store

import (
	"cmp"
	"context"
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sys/unix"

	"crosstide/internal/clock"
	"crosstide/internal/config"
	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
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

// testDisk is a disk whose syncs take the rig's time, and that is full when the rig says so.
type testDisk struct {
	storage.Disk
	r    *testStores
	name string
}

type testDiskFile struct {
	storage.File
	r    *testStores
	name string
}

func (d testDisk) Create(name string) (storage.File, error) {
	if err := d.r.refusal(d.name); err != nil {
		return nil, err
	}
	f, err := d.Disk.Create(name)
	return testDiskFile{f, d.r, d.name}, err
}

func (f testDiskFile) Write(p []byte) (int, error) {
	refusal := f.r.refusal(f.name)
	if refusal == nil {
		return f.File.Write(p)
	}
	n, err := f.File.Write(p[:len(p)/2])
	return n, cmp.Or(err, refusal)
}

func (f testDiskFile) Sync() error {
	for f.r.doesHang(f.name) {
		f.r.sleep(10 * time.Millisecond)
	}
	if took := time.Duration(f.r.slow.Load()); took > 0 {
		f.r.sleep(took)
	}
	return f.File.Sync()
}

// sleep waits on the rig's clock.
func (r *testStores) sleep(d time.Duration) {
	expired := make(chan struct{})
	r.clock.Set(d, func() { close(expired) })
	<-expired
}

func (r *testStores) refusal(name string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.full[name]
}

// setRefusal makes a node's disk refuse writes with an error, or take them again.
func (r *testStores) setRefusal(name string, with error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.full[name] = with
}

// setFull makes a node's disk full, or gives it room again.
func (r *testStores) setFull(name string, full bool) {
	if full {
		r.setRefusal(name, unix.ENOSPC)
	} else {
		r.setRefusal(name, nil)
	}
}

func (r *testStores) doesHang(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hangs[name]
}

// setHang makes syncs of a node's disk wait, or end again.
func (r *testStores) setHang(name string, hangs bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hangs[name] = hangs
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

// testNet carries the calls of one node straight to the other store.
type testNet struct {
	r    *testStores
	from string
}

func callNode[A any](ctx context.Context, n testNet, addr string, do func(s *Store) (A, error)) (A, error) {
	n.r.mu.Lock()
	s, cut := n.r.nodes[addr], n.r.cut[addr] || n.r.cut[n.from]
	n.r.mu.Unlock()
	var none A
	if cut {
		timedOut := make(chan struct{})
		defer n.r.clock.Set(n.r.settings.Election/2, func() { close(timedOut) }).Stop()
		select {
		case <-timedOut:
		case <-ctx.Done():
		}
		return none, errs.New(errs.Timeout, "%s does not answer", addr)
	}
	if s == nil {
		return none, errs.New(errs.Unavailable, "%s is down", addr)
	}
	return do(s)
}

func (n testNet) SendMessages(ctx context.Context, addr string, c internalapi.RaftCall) error {
	_, err := callNode(ctx, n, addr, func(s *Store) (int, error) { s.Step(c); return 0, nil })
	return err
}
func (n testNet) FetchChunk(ctx context.Context, addr string, c internalapi.ChunkCall) (internalapi.ChunkAnswer, error) {
	c.Max = 1000 // many parts
	return callNode(ctx, n, addr, func(s *Store) (internalapi.ChunkAnswer, error) { return s.Chunk(c) })
}
func (n testNet) BootstrapStatus(ctx context.Context, addr string, c internalapi.DiscoverCall) (internalapi.DiscoverAnswer, error) {
	return callNode(ctx, n, addr, func(s *Store) (internalapi.DiscoverAnswer, error) { return s.BootstrapStatus(c), nil })
}
func (n testNet) Join(ctx context.Context, addr string, c internalapi.JoinCall) (internalapi.JoinAnswer, error) {
	return callNode(ctx, n, addr, func(s *Store) (internalapi.JoinAnswer, error) { return s.Join(ctx, c) })
}
func (n testNet) Propose(ctx context.Context, addr string, c internalapi.ProposeCall) (internalapi.ProposeAnswer, error) {
	return callNode(ctx, n, addr, func(s *Store) (internalapi.ProposeAnswer, error) { return s.handlePropose(ctx, c) })
}
func (n testNet) Rollout(ctx context.Context, addr string) (internalapi.RolloutAnswer, error) {
	return callNode(ctx, n, addr, func(s *Store) (internalapi.RolloutAnswer, error) { return s.localRollout(), nil })
}
func (n testNet) ReadIndex(ctx context.Context, addr string) (internalapi.ReadIndexAnswer, error) {
	return callNode(ctx, n, addr, func(s *Store) (internalapi.ReadIndexAnswer, error) {
		i, err := s.ReadIndex()
		return internalapi.ReadIndexAnswer{Index: i}, err
	})
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

func TestPropose_commitsAndServesReadsAndFollowers(t *testing.T) {
	withFleet(t, 40, func(r *testStores) {
		lead := r.leader()
		other := r.follower(lead)
		So(r.submitJobs("a", 300), ShouldBeEmpty)
		r.waitLevel()
		_, _, err := other.Propose(context.Background(), job("x"))
		So(errs.KindOf(err), ShouldEqual, errs.NotLeader)
		So(errs.Of(err).Hint, ShouldEqual, lead.settings.Addr)

		// Orders and reads work at any node.
		var raw []byte
		seen := false
		r.call(func(ctx context.Context) {
			if raw, err = other.ProposeOrForward(ctx, job("hop")); err == nil {
				err = other.Read(ctx, func(st *state.State) { seen = st.Jobs["hop"] != nil })
			}
		})
		So(err, ShouldBeNil)
		So(string(raw), ShouldContainSubstring, `"fresh":true`)
		So(seen, ShouldBeTrue)
		r.call(func(ctx context.Context) { _, err = other.ProposeOrForward(ctx, &command.Cancel{Key: "nobody"}) })
		So(errs.KindOf(err), ShouldEqual, errs.Unknown)

		// Followers get changes, a snapshot where those are gone, and wait for what comes.
		at := other.Status().Applied
		follow := func(from uint64, wait time.Duration, during func(ctx context.Context)) internalapi.SourceUpdate {
			var a internalapi.FollowAnswer
			r.call(func(ctx context.Context) {
				waiting := routine.New(ctx)
				waiting.Go(func(ctx context.Context) {
					a, err = other.Follow(ctx, internalapi.FollowCall{Vector: map[string]uint64{vectorSource: from}, Wait: wait, Max: 1 << 20})
				})
				during(ctx)
				waiting.Wait()
			})
			So(err, ShouldBeNil)
			return a.Updates[vectorSource]
		}
		idle := func(context.Context) {}
		So(len(follow(at-3, 0, idle).Changes), ShouldEqual, 3)
		So(follow(0, 0, idle).Snapshot.Number, ShouldBeGreaterThan, 1)
		So(follow(at, time.Second, idle), ShouldResemble, internalapi.SourceUpdate{})
		updates := follow(at, 20*time.Second, func(ctx context.Context) { _, _ = other.ProposeOrForward(ctx, job("news")) }) // shows in what follows
		So(len(updates.Changes), ShouldEqual, 1)
	})
}

func TestDiskWriter_groupsCommits(t *testing.T) {
	withFleet(t, 1<<20, func(r *testStores) { // no slots: they sync too
		lead := r.leader()
		r.slow.Store(int64(5 * time.Millisecond)) // a disk without a delay would leave the grouping to the scheduler
		before := lead.storage.Stats().Syncs
		So(r.submitJobs("a", 300), ShouldBeEmpty)
		So(300/(lead.storage.Stats().Syncs-before), ShouldBeGreaterThan, 10)
		r.slow.Store(0)
		r.clock.Advance(time.Second) // lets the syncs under way end
	})
}

func TestStore_keepsAcknowledgedOverCrashes(t *testing.T) {
	withFleet(t, 40, func(r *testStores) {
		r.submitJobs("a", 100)
		lead := r.leader()
		r.kill(lead.settings.Name)
		r.submitJobs("b", 100) // the one that is down needs a snapshot now
		r.start(lead.settings.Name)
		r.waitLevel()
		for round := range 3 {
			for _, m := range r.settings.Members {
				r.kill(m.ID)
			}
			for _, m := range r.settings.Members {
				r.start(m.ID)
			}
			So(r.submitJobs(fmt.Sprint("c", round), 70), ShouldBeEmpty)
		}
		r.waitLevel()
		So(len(r.acked), ShouldEqual, 410)

		// Without a majority no proposal is acknowledged; the waiters hear in time that nobody knows.
		lead = r.leader()
		for _, m := range r.settings.Members {
			if m.ID != lead.settings.Name {
				r.kill(m.ID)
			}
		}
		var err error
		r.call(func(ctx context.Context) { _, _, err = lead.Propose(ctx, job("alone")) })
		So(errs.KindOf(err), ShouldEqual, errs.Timeout)
	})
}

func TestJoin_afterLostDisk(t *testing.T) {
	withFleet(t, 40, func(r *testStores) {
		r.submitJobs("a", 200)
		lead := r.leader()
		gone := r.follower(lead).settings.Name
		r.kill(gone)
		r.disks[gone] = storage.NewMemDisk()
		r.start(gone)
		fresh := r.nodes[gone]
		r.until("the newcomer is a voter", func() bool { return fresh.Status().Raft.Voter })
		So(fresh.id, ShouldStartWith, gone+"~")
		r.submitJobs("b", 50)
		r.waitLevel()
		So(len(lead.Status().Raft.Members), ShouldEqual, 3)
		So(slices.ContainsFunc(lead.Status().Raft.Members, func(m raft.Member) bool { return m.ID == gone }), ShouldBeFalse)

		// The newcomer carries a majority, and keeps its new ID over a restart.
		r.kill(gone)
		r.start(gone)
		r.waitLevel()
		r.kill(lead.settings.Name)
		So(r.submitJobs("c", 50), ShouldBeEmpty)
		r.waitLevel()
		So(r.nodes[gone].id, ShouldEqual, fresh.id)
	})
}

func TestJoin_asNamedSuccessor(t *testing.T) {
	withFleet(t, 40, func(r *testStores) {
		r.submitJobs("a", 100)
		lead := r.leader()
		gone := r.follower(lead).settings.Name
		r.kill(gone)
		r.disks["c9"] = storage.NewMemDisk()
		r.start("c9")
		fresh := r.nodes["c9"]
		var err error
		r.until("the leader turns a stranger away", func() bool {
			_, err = lead.Join(context.Background(), internalapi.JoinCall{ID: fresh.id, Name: "c9", Addr: "c9"})
			return errs.Is(err, errs.Forbidden)
		})
		So(err.Error(), ShouldContainSubstring, "crosstide-controlplane member replace OLD c9")
		r.call(func(ctx context.Context) {
			_, err = lead.ProposeOrForward(ctx, &command.ReplaceMember{Order: "o", Old: gone, New: "c9"})
		})
		So(err, ShouldBeNil)
		r.until("the successor is a voter", func() bool { return fresh.Status().Raft.Voter })
		r.until("the old member is out", func() bool { return len(lead.Status().Raft.Members) == 3 })
		So(slices.ContainsFunc(lead.Status().Raft.Members, func(m raft.Member) bool { return m.ID == gone }), ShouldBeFalse)

		// It carries a majority with the one other that is left.
		r.kill(lead.settings.Name)
		So(r.submitJobs("b", 50), ShouldBeEmpty)
	})
}

func TestFailedSync_isFatal(t *testing.T) {
	withFleet(t, 40, func(r *testStores) {
		lead := r.leader()
		r.disks[lead.settings.Name].FailSync(1)
		var err error
		r.call(func(ctx context.Context) { _, _, err = lead.Propose(ctx, job("a")) })
		if err == nil { // the two others had it synced before the failure showed: it must stay
			r.acked["a"] = 1
		} else {
			So(errs.KindOf(err), ShouldEqual, errs.Timeout)
		}
		So(r.died[lead.settings.Name], ShouldNotBeNil)
		So(r.died, ShouldHaveLength, 1)
		r.kill(lead.settings.Name)
		So(r.submitJobs("b", 20), ShouldBeEmpty)
		r.start(lead.settings.Name)
		r.waitLevel()
	})
}

func TestClaimRole(t *testing.T) {
	withFleet(t, 40, func(r *testStores) {
		ask := func(holder string, epoch uint64, giveUp bool) (a internalapi.RoleLease) {
			s := r.leader()
			var err error
			r.call(func(ctx context.Context) {
				a, err = s.ClaimRole(ctx, internalapi.ClaimRoleCall{Role: "sched", Holder: holder, Addr: holder, Incarnation: "1", Epoch: epoch, Release: giveUp})
			})
			So(err, ShouldBeNil)
			return a
		}
		first := ask("a", 0, false)
		So(first.Mine, ShouldBeTrue)
		So(ask("b", 0, false).Mine, ShouldBeFalse)
		// The leader falls: the next one counts the lease anew, and still knows the epoch.
		lead := r.leader()
		r.kill(lead.settings.Name)
		So(ask("b", 0, false).Mine, ShouldBeFalse)
		So(ask("a", first.Epoch, false).Mine, ShouldBeTrue)
		var second internalapi.RoleLease
		began, tries := r.clock.Now(), 0
		for ; !second.Mine; tries++ {
			second = ask("b", 0, false)
			r.clock.Advance(50 * time.Millisecond)
		}
		So(r.clock.Now()-began, ShouldBeGreaterThan, r.settings.RoleLease)
		So(second.Epoch, ShouldBeGreaterThan, first.Epoch)
		So(ask("a", first.Epoch, false).Mine, ShouldBeFalse)
		So(ask("b", second.Epoch, true).Mine, ShouldBeFalse)
		So(ask("a", 0, false).Mine, ShouldBeTrue)
	})
}

func TestDecideBootstrap(t *testing.T) {
	Convey("An empty folder founds only when it is sure to have no earlier life", t, func() {
		say := func(a ...internalapi.DiscoverAnswer) bootstrapDecision {
			all := map[string]internalapi.DiscoverAnswer{}
			for i, one := range a {
				one.Digest = "d"
				all[fmt.Sprint("c", i+2)] = one
			}
			v, vouched := decideBootstrap("c1", "boot", "d", 3, all, map[string]string{"c2": "p", "c3": "p"})
			named := slices.ContainsFunc(a, func(one internalapi.DiscoverAnswer) bool { return one.BootstrapIncarnations != nil })
			So(v == mayBootstrap && !named, ShouldEqual, vouched != nil)
			return v
		}
		empty := internalapi.DiscoverAnswer{Fresh: true, Incarnation: "p"}
		So(say(), ShouldEqual, undecided)
		So(say(empty), ShouldEqual, undecided)
		So(say(empty, empty), ShouldEqual, mayBootstrap)
		So(say(empty, internalapi.DiscoverAnswer{Commit: 2}), ShouldEqual, fleetExists)
		So(say(internalapi.DiscoverAnswer{Commit: 900}), ShouldEqual, fleetExists)
		So(say(empty, internalapi.DiscoverAnswer{Commit: 1}), ShouldEqual, undecided) // has voted, perhaps for us
		So(say(internalapi.DiscoverAnswer{Commit: 9, BootstrapIncarnations: map[string]string{"c1": "boot"}}), ShouldEqual, mayBootstrap)
		So(say(internalapi.DiscoverAnswer{Commit: 9, BootstrapIncarnations: map[string]string{"c1": "earlier"}}), ShouldEqual, fleetExists)
		one := map[string]internalapi.DiscoverAnswer{"c2": {Fresh: true, Digest: "d", Incarnation: "p"}}
		v, _ := decideBootstrap("c1", "boot", "other", 3, one, nil)
		So(v, ShouldEqual, settingsDiffer)
		v, incarnations := decideBootstrap("c1", "boot", "d", 2, one, nil) // the first such round
		So(v, ShouldEqual, undecided)
		v, _ = decideBootstrap("c1", "boot", "d", 2, one, map[string]string{"c2": "an earlier process"})
		So(v, ShouldEqual, undecided)
		v, _ = decideBootstrap("c1", "boot", "d", 2, one, incarnations)
		So(v, ShouldEqual, mayBootstrap)
	})
}
