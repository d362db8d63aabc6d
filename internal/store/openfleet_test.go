package store

import (
	"context"
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/clock"
	"crosstide/internal/config"
	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/raft"
	"crosstide/internal/state"
	"crosstide/internal/storage"
)

// withOpenFleet runs a test in a bubble, with a rig of an open fleet of n nodes, c1 to c3 its seeds, at the
// platform's settings. None is started; there are slots, and so syncs must take no time (see slowSyncs).
func withOpenFleet(t *testing.T, n int, do func(r *testStores)) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given machines of an open fleet", t, func() {
			r := newTestStores(0, 40)
			defer r.close()
			r.settings.OpenMembership = true
			r.settings.Election, r.settings.Heartbeat, r.settings.Lease = 600*time.Millisecond, 120*time.Millisecond, 400*time.Millisecond
			r.setSeeds([]string{"c1", "c2", "c3"})
			for i := range n {
				r.disks[nodeName(i)] = storage.NewMemDisk()
			}
			do(r)
		})
	})
}

// slowSyncs gives syncs a time to take, and does without slots: a slot and the log take turns under a mutex, which
// a bubble cannot wait for.
func (r *testStores) slowSyncs() {
	r.settings.SnapshotEvery = 1 << 20
	r.slow.Store(int64(3 * time.Millisecond))
}

func nodeName(i int) string { return fmt.Sprintf("c%d", i+1) }

// startAll starts the nodes that have a disk and do not run.
func (r *testStores) startAll() {
	for _, n := range slices.Sorted(func(yield func(string) bool) {
		for n := range r.disks {
			if r.nodes[n] == nil && !yield(n) {
				return
			}
		}
	}) {
		r.start(n)
	}
}

// mayBootstrap gives a node an empty disk, the settings that a replaced machine has, and starts it.
func (r *testStores) startFresh(name string) {
	r.disks[name] = storage.NewMemDisk()
	r.settings.Bootstrap = false
	r.start(name)
}

// waitVoters waits until the members are just these, each by the newest ID of its folder, all of them voters.
func (r *testStores) waitVoters(names ...string) {
	r.until("voters "+strings.Join(names, " "), func() bool {
		for _, n := range names {
			s := r.nodes[n]
			if s == nil || !s.Status().Raft.Voter || !slices.Equal(memberIDs(s), r.idsOf(names)) {
				return false
			}
		}
		return true
	})
}

func (r *testStores) idsOf(names []string) (out []string) {
	for _, n := range names {
		out = append(out, r.nodes[n].Status().Raft.ID)
	}
	slices.Sort(out)
	return out
}

func memberIDs(s *Store) (out []string) {
	for _, m := range s.Status().Raft.Members {
		if m.Learner {
			return nil
		}
		out = append(out, m.ID)
	}
	slices.Sort(out)
	return out
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

// setCut cuts nodes off, or heals that.
func (r *testStores) setCut(cut bool, names ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range names {
		r.cut[n] = cut
	}
}

// others are the running nodes but those named.
func (r *testStores) others(but ...string) (out []string) {
	for n := range r.nodes {
		if !slices.Contains(but, n) {
			out = append(out, n)
		}
	}
	slices.Sort(out)
	return out
}

// wasRemoved tells whether a node ended the use of its store because it was removed.
func (r *testStores) wasRemoved(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.removed[name]
}

// reopen opens the folder of a node that was removed anew, in the same process.
func (r *testStores) reopen(name string) {
	r.kill(name)
	r.mu.Lock()
	delete(r.removed, name)
	r.mu.Unlock()
	r.start(name)
}

func TestOpenBootstrap(t *testing.T) {
	withOpenFleet(t, 5, func(r *testStores) {
		took := r.elapsed(func() {
			r.startAll()
			r.waitVoters("c1", "c2", "c3", "c4", "c5")
		})
		Printf("\nfive voters after %s", took)
		So(took, ShouldBeLessThan, 4*time.Second)
		for _, n := range []string{"c1", "c2", "c3"} {
			So(r.nodes[n].Status().Raft.ID, ShouldEqual, n) // founded, not joined
		}
		So(r.submitJobs("a", 100), ShouldBeEmpty)
		r.waitLevel()

		joined := r.elapsed(func() {
			r.startFresh("c6")
			r.waitVoters("c1", "c2", "c3", "c4", "c5", "c6")
		})
		Printf("\na newcomer is a voter after %s", joined)
		So(joined, ShouldBeLessThan, time.Second)
		r.waitLevel()

		leader, addresses := r.nodes["c6"].Members()
		So(leader, ShouldEqual, r.leader().settings.Addr)
		So(addresses, ShouldHaveLength, 6)
	})
}

func TestOpenBootstrap_waitsForAllSeeds(t *testing.T) {
	withOpenFleet(t, 5, func(r *testStores) {
		for _, n := range []string{"c1", "c2", "c4", "c5"} { // c3 is late
			r.start(n)
		}
		r.advance(10 * time.Second)
		for n, s := range r.nodes {
			So(fmt.Sprint(n, s.BootstrapStatus(internalapi.DiscoverCall{}).Commit), ShouldEqual, n+"0")
		}
		r.start("c3")
		r.waitVoters("c1", "c2", "c3", "c4", "c5")
	})
}

func TestOpenBootstrap_neverWhenDisallowed(t *testing.T) {
	withOpenFleet(t, 5, func(r *testStores) {
		r.settings.Bootstrap = false
		r.startAll()
		r.advance(20 * time.Second)
		for _, s := range r.nodes {
			a := s.BootstrapStatus(internalapi.DiscoverCall{})
			So(a.Fresh, ShouldBeFalse)
			So(a.Commit, ShouldEqual, 0)
			So(a.ID, ShouldStartWith, s.settings.Name+"~")
			So(s.Ready(), ShouldNotBeNil)
		}
	})
	withOpenFleet(t, 3, func(r *testStores) { // one seed has lost its folder: the others must not found without its word
		r.start("c1")
		r.start("c2")
		r.settings.Bootstrap = false
		r.start("c3")
		r.advance(20 * time.Second)
		for _, s := range r.nodes {
			So(s.BootstrapStatus(internalapi.DiscoverCall{}).Commit, ShouldEqual, 0)
		}
	})
}

func TestOpenJoin_afterWipedDisk(t *testing.T) {
	withOpenFleet(t, 5, func(r *testStores) {
		r.startAll()
		r.waitVoters("c1", "c2", "c3", "c4", "c5")
		r.submitJobs("a", 200)
		for _, founding := range []bool{true, false} {
			for _, gone := range []string{"c1", "c5", r.leader().settings.Name} {
				r.kill(gone)
				before := r.others()
				r.disks[gone] = storage.NewMemDisk()
				took := r.elapsed(func() {
					r.settings.Bootstrap = founding
					r.start(gone)
					r.waitVoters(append(before, gone)...)
				})
				Printf("\nwiped %s is a voter after %s", gone, took)
				So(took, ShouldBeLessThan, 2500*time.Millisecond) // an election may be in it
				So(r.submitJobs(fmt.Sprint(gone, founding), 20), ShouldBeEmpty)
				r.waitLevel()
			}
		}
	})
}

func TestOpenJoin_replacesDeadMember(t *testing.T) {
	withOpenFleet(t, 5, func(r *testStores) {
		r.startAll()
		r.waitVoters("c1", "c2", "c3", "c4", "c5")
		r.submitJobs("a", 100)
		// The new machine comes at once: it joins as the sixth, then the dead one goes.
		gone := r.follower(r.leader()).settings.Name
		r.kill(gone)
		took := r.elapsed(func() {
			r.startFresh("c6")
			r.until("six voters", func() bool { return len(memberIDs(r.leader())) == 6 })
		})
		Printf("\nthe sixth is a voter after %s", took)
		So(took, ShouldBeLessThan, 2*time.Second)
		r.waitVoters(r.others()...)
		So(r.others(), ShouldHaveLength, 5)
		So(r.submitJobs("b", 50), ShouldBeEmpty)

		// It comes when the dead one is known to be dead: that one goes first, there never are six.
		gone = r.follower(r.leader()).settings.Name
		r.kill(gone)
		r.advance(r.settings.RemoveAfter + time.Second)
		So(memberIDs(r.leader()), ShouldHaveLength, 5) // an odd set stays
		r.startFresh("c7")
		r.until("the newcomer is a voter", func() bool {
			So(len(memberIDs(r.leader())), ShouldBeLessThan, 6)
			return r.nodes["c7"].Status().Raft.Voter
		})
		r.waitVoters(r.others()...)
		So(r.submitJobs("c", 50), ShouldBeEmpty)
		r.waitLevel()
	})
}

func TestRemoveSilent_bounds(t *testing.T) {
	withOpenFleet(t, 4, func(r *testStores) {
		r.startAll()
		r.waitVoters("c1", "c2", "c3", "c4")
		gone := r.follower(r.leader()).settings.Name
		r.kill(gone)
		r.advance(r.settings.RemoveAfter - 500*time.Millisecond)
		So(memberIDs(r.leader()), ShouldHaveLength, 4)
		r.waitVoters(r.others()...)
		So(memberIDs(r.leader()), ShouldHaveLength, 3)

		// Never below three.
		r.kill(r.follower(r.leader()).settings.Name)
		r.advance(20 * time.Second)
		So(memberIDs(r.leader()), ShouldHaveLength, 3)
		So(r.submitJobs("a", 20), ShouldBeEmpty)

		// A newcomer is the fourth, and the dead one goes after that.
		r.startFresh("c9")
		r.waitVoters(r.others()...)
		So(memberIDs(r.leader()), ShouldHaveLength, 3)

		// Without a majority nobody is removed.
		lead := r.leader()
		for _, n := range r.others(lead.settings.Name) {
			r.kill(n)
		}
		r.advance(20 * time.Second)
		So(lead.Status().Raft.Members, ShouldHaveLength, 3)
	})
}

func TestRemoveSilent_dropsLearner(t *testing.T) {
	withOpenFleet(t, 3, func(r *testStores) {
		r.startAll()
		r.waitVoters("c1", "c2", "c3")
		lead := r.leader()
		_, err := lead.Join(context.Background(), internalapi.JoinCall{ID: "c9~x", Name: "c9", Addr: "c9"})
		So(err, ShouldBeNil)
		r.until("a learner", func() bool { return len(lead.Status().Raft.Members) == 4 })
		r.advance(silentLearnerTimeout - time.Second)
		So(lead.Status().Raft.Members, ShouldHaveLength, 4)
		since := lead.BootstrapStatus(internalapi.DiscoverCall{}).MembersAt
		r.waitVoters("c1", "c2", "c3")
		r.until("the removal is committed", func() bool { return lead.BootstrapStatus(internalapi.DiscoverCall{}).MembersAt > since })

		// It does not come back under its ID, as its folder says that it was a member.
		_, err = lead.Join(context.Background(), internalapi.JoinCall{ID: "c9~x", Name: "c9", Addr: "c9", Since: since})
		So(errs.KindOf(err), ShouldEqual, errs.Stale)
		// A folder whose membership was never committed is no such one.
		_, err = lead.Join(context.Background(), internalapi.JoinCall{ID: "c9~x", Name: "c9", Addr: "c9", Since: since + 100})
		So(err, ShouldBeNil)
	})
}

func TestRemovedMember_rejoins(t *testing.T) {
	withOpenFleet(t, 6, func(r *testStores) {
		r.settings.SnapshotEvery = 1 << 20 // a slot would tell a restarted node that its membership was committed
		r.startAll()
		all := []string{"c1", "c2", "c3", "c4", "c5", "c6"}
		r.waitVoters(all...)
		r.submitJobs("a", 50)
		// Cut off while it runs.
		for _, mode := range []string{"cut", "down", "cut c6", "down c6"} { // c6 is no founder: its folder has it in the log only
			gone := r.follower(r.leader()).settings.Name
			if name, is := strings.CutSuffix(mode, " c6"); is {
				mode, gone = name, "c6"
				r.moveLeaderFrom("c6")
			}
			old := r.nodes[gone].Status().Raft.ID
			if mode == "cut" {
				r.setCut(true, gone)
			} else {
				r.kill(gone)
			}
			r.waitVoters(r.others(gone)...)
			So(r.submitJobs(mode+gone, 50), ShouldBeEmpty)
			took := r.elapsed(func() {
				if r.setCut(false, gone); mode == "down" {
					r.start(gone)
				}
				r.until("it finds out", func() bool { return r.wasRemoved(gone) })
				r.reopen(gone)
				r.waitVoters(all...)
			})
			Printf("\nremoved while %s, a voter again after %s", mode, took)
			So(took, ShouldBeLessThan, 3*time.Second)
			So(r.nodes[gone].Status().Raft.ID, ShouldNotEqual, old)
			So(r.submitJobs(mode+gone+"-again", 20), ShouldBeEmpty)
			r.waitLevel()
		}
		So(r.died, ShouldBeEmpty)
	})
}

// moveLeaderFrom lets another lead if the one named does.
func (r *testStores) moveLeaderFrom(name string) {
	for r.leader().settings.Name == name {
		r.call(func(ctx context.Context) { r.nodes[name].TransferLeadership(ctx) })
	}
}

func TestOpenJoin_withSeedsDown(t *testing.T) {
	withOpenFleet(t, 8, func(r *testStores) {
		r.startAll()
		all := []string{"c1", "c2", "c3", "c4", "c5", "c6", "c7", "c8"}
		r.waitVoters(all...)
		r.submitJobs("a", 50)
		// One is removed while it is down, and every seed is behind a cut when it comes back with its disk.
		r.kill("c8")
		r.waitVoters(all[:7]...)
		r.setCut(true, "c1", "c2", "c3")
		r.start("c8")
		r.until("it finds out", func() bool { return r.wasRemoved("c8") })
		r.reopen("c8")
		r.until("it is a voter", func() bool { return r.nodes["c8"].Status().Raft.Voter })
		So(r.submitJobs("b", 20), ShouldBeEmpty)

		// A wiped one that knows only two seeds, both behind the cut, learns from its leader's calls to its old self
		// whom to ask.
		r.setCut(false, "c1", "c2", "c3")
		r.until("all are there", func() bool { return slices.Equal(memberIDs(r.leader()), r.idsOf(all)) })
		r.settings.Members = r.settings.Members[:2]
		r.setCut(true, "c1", "c2")
		lead := r.leaderOf("c3", "c4", "c5", "c6", "c7", "c8")
		gone := "c8"
		if lead == r.nodes["c8"] {
			gone = "c7"
		}
		r.kill(gone)
		r.startFresh(gone)
		r.until("the wiped one is a voter", func() bool { return r.nodes[gone].Status().Raft.Voter })
		So(r.submitJobs("c", 20), ShouldBeEmpty)

		// One that knows no seed that answers, and that nobody calls, waits until it is told of another node.
		r.startFresh("c9")
		r.advance(3 * time.Second)
		So(r.nodes["c9"].Status().Raft.Members, ShouldBeEmpty)
		r.nodes["c9"].LearnAddresses(lead.settings.Addr)
		r.until("the newcomer is a voter", func() bool { return r.nodes["c9"].Status().Raft.Voter })
	})
}

// leaderOf waits until one of the nodes leads, and gives it.
func (r *testStores) leaderOf(names ...string) (lead *Store) {
	r.until("a leader of some", func() bool {
		for _, n := range names {
			if s := r.nodes[n]; s != nil {
				if st := s.Status(); st.Ready && st.Raft.Role == raft.Leader {
					lead = s
					return true
				}
			}
		}
		return false
	})
	return lead
}

func TestFailover_duration(t *testing.T) {
	withOpenFleet(t, 5, func(r *testStores) {
		r.slowSyncs()
		r.startAll()
		r.waitVoters("c1", "c2", "c3", "c4", "c5")
		all := []time.Duration{}
		longest, handover, power := time.Duration(0), time.Duration(0), time.Duration(0)
		for range 40 {
			r.seed += 1000
			lead := r.leader().settings.Name
			took := r.elapsed(func() {
				r.kill(lead)
				r.leader()
			})
			all = append(all, took)
			longest = max(longest, took)
			r.start(lead)
			r.waitLevel()
		}
		for range 8 {
			lead := r.leader()
			handover = max(handover, r.elapsed(func() {
				r.call(func(ctx context.Context) { lead.TransferLeadership(ctx) })
				r.leaderOf(r.others(lead.settings.Name)...)
			}))
			r.waitLevel()
		}
		for range 20 {
			r.seed += 1000
			for _, n := range r.others() {
				r.kill(n)
			}
			power = max(power, r.elapsed(func() { r.startAll(); r.leader() }))
			r.waitLevel()
		}
		slices.Sort(all)
		Printf("\nkilled leader %s in the middle", all[len(all)/2])
		Printf("\nkilled leader %s, handover %s, power loss %s at most", longest, handover, power)
		So(longest, ShouldBeLessThan, 1300*time.Millisecond)
		So(handover, ShouldBeLessThan, 100*time.Millisecond)
		So(power, ShouldBeLessThan, 2*time.Second)
	})
}

func TestTransferLeadership_skipsDeadPeers(t *testing.T) {
	withOpenFleet(t, 5, func(r *testStores) {
		r.slowSyncs()
		r.startAll()
		r.waitVoters("c1", "c2", "c3", "c4", "c5")
		lead := r.leader()
		gone := r.others(lead.settings.Name)[:2] // idle, so the dead have all of the log as the others do
		r.kill(gone[0])
		r.kill(gone[1])
		r.advance(time.Second)
		So(r.elapsed(func() {
			r.call(func(ctx context.Context) { lead.TransferLeadership(ctx) })
			r.leaderOf(r.others(lead.settings.Name)...)
		}), ShouldBeLessThan, 100*time.Millisecond)
	})
}

func TestLeaderTerm(t *testing.T) {
	withOpenFleet(t, 3, func(r *testStores) {
		r.startAll()
		r.waitVoters("c1", "c2", "c3")
		lead := r.leader()
		term, current := lead.LeaderTerm(r.clock.Now())
		So(current, ShouldBeTrue)
		So(term, ShouldEqual, lead.Status().Raft.Term)
		_, other := r.follower(lead).LeaderTerm(r.clock.Now())
		So(other, ShouldBeFalse)

		propose := func(s *Store, term uint64, key string) (err error) {
			r.call(func(ctx context.Context) { _, _, err = s.ProposeIn(ctx, term, job(key)) })
			return err
		}
		changed := lead.Changed()
		So(propose(lead, term, "a"), ShouldBeNil)
		select {
		case <-changed:
		default:
			So("changed", ShouldEqual, "closed")
		}
		So(errs.KindOf(propose(lead, term-1, "b")), ShouldEqual, errs.Stale)
		So(errs.KindOf(propose(lead, 0, "b")), ShouldEqual, errs.Stale)
		So(errs.KindOf(propose(r.follower(lead), term, "b")), ShouldEqual, errs.NotLeader)

		// Cut off, the lease ends before another can lead.
		r.setCut(true, lead.settings.Name)
		r.advance(r.settings.Lease + r.settings.Heartbeat)
		_, current = lead.LeaderTerm(r.clock.Now())
		So(current, ShouldBeFalse)
		next := r.leaderOf(r.others(lead.settings.Name)...)
		newer, current := next.LeaderTerm(r.clock.Now())
		So(current, ShouldBeTrue)
		So(newer, ShouldBeGreaterThan, term)
		So(errs.KindOf(propose(next, term, "b")), ShouldEqual, errs.Stale)
		next.View(func(st *state.State) { So(st.Jobs["b"], ShouldBeNil) })
	})
}

// countingClock counts the timers that a node sets.
type countingClock struct {
	clock.Clock
	timersSet *atomic.Int64
}

func (c countingClock) Set(d time.Duration, ring func()) clock.Stopper {
	c.timersSet.Add(1)
	return c.Clock.Set(d, ring)
}

func TestIdle_timersPerSecond(t *testing.T) {
	withOpenFleet(t, 3, func(r *testStores) {
		sets := map[string]*atomic.Int64{}
		for i := range 3 {
			n := nodeName(i)
			settings := r.settings
			settings.Name, settings.Addr, settings.Zone = n, n, "z"
			sets[n] = &atomic.Int64{}
			s, err := Open(Options{Settings: settings, Disk: r.disks[n], Net: testNet{r, n}, Clock: countingClock{&r.clock, sets[n]},
				Seed: uint64(i + 1), Fatal: func(error) {}})
			So(err, ShouldBeNil)
			r.nodes[n] = s
		}
		for _, s := range r.nodes {
			s.Start()
		}
		r.waitVoters("c1", "c2", "c3")
		lead := r.leader()
		before := map[string]int64{}
		for n, c := range sets {
			before[n] = c.Load()
		}
		r.advance(10 * time.Second)
		for n, c := range sets {
			perSecond := (c.Load() - before[n]) / 10
			Printf("\n%s leads %v: %d alarms a second", n, n == lead.settings.Name, perSecond)
			if n == lead.settings.Name {
				So(perSecond, ShouldBeLessThan, 90)
			} else {
				So(perSecond, ShouldBeLessThan, 30)
			}
		}
	})
}

func TestDiscard_survivesPowerLoss(t *testing.T) {
	Convey("A discarded folder never founds and never keeps its ID, wherever the power goes on the way", t, func() {
		full := func() *storage.MemDisk {
			d := storage.NewMemDisk()
			So(writeFile(d, idFile, "c1~old"), ShouldBeNil)
			s, _, err := storage.Open(d, storage.Options{})
			So(err, ShouldBeNil)
			So(s.Append([]storage.Record{{Kind: storage.KindHardState, Data: []byte(`{"t":7,"v":"c2"}`)}}), ShouldBeNil)
			So(s.Close(), ShouldBeNil)
			return d
		}
		settings := config.DefaultControlPlane()
		settings.Name, settings.Addr, settings.OpenMembership = "c1", "c1", true
		settings.Members = []config.Member{{ID: "c1", Addr: "c1"}, {ID: "c2", Addr: "c2"}}
		open := func(d storage.Disk) (*Store, error) {
			return Open(Options{Settings: settings, Disk: d, Net: testNet{}, Fatal: func(error) {}})
		}
		for at := 1; ; at++ {
			d := full()
			So(Discard(d, "c7", "c8"), ShouldBeNil)
			d.PowerOff(at)
			_, err := open(d)
			d.Crash(rand.New(rand.NewSource(int64(at))))
			s, again := open(d)
			So(again, ShouldBeNil)
			So(s.id, ShouldStartWith, "c1~")
			So(s.id, ShouldNotEqual, "c1~old")
			So(s.status.Term, ShouldEqual, 0)
			So(s.addresses(), ShouldResemble, []string{"c2", "c7", "c8"})
			So(s.BootstrapStatus(internalapi.DiscoverCall{}).Fresh, ShouldBeFalse)
			if err == nil {
				So(at, ShouldBeGreaterThan, 8)
				break
			}
		}
		for at := 1; at < 20; at++ { // the mark itself
			d := full()
			d.PowerOff(at)
			if Discard(d) == nil {
				break
			}
			d.Crash(rand.New(rand.NewSource(int64(at))))
			So(Discard(d), ShouldBeNil)
			s, err := open(d)
			So(err, ShouldBeNil)
			So(s.id, ShouldNotEqual, "c1~old")
		}
	})
}

func TestDecideOpenBootstrap(t *testing.T) {
	Convey("Only seeds with the same seeds found together, and only where nobody knows a fleet", t, func() {
		s := &Store{incarnation: "boot"}
		s.settings.Name, s.settings.Addr = "c1", "c1"
		s.settings.Members = []config.Member{{ID: "c1", Addr: "c1"}, {ID: "c2", Addr: "c2"}, {ID: "c3", Addr: "c3"}}
		empty := internalapi.DiscoverAnswer{Fresh: true, Incarnation: "p", Digest: s.digest()}
		other := internalapi.DiscoverAnswer{Fresh: true, Incarnation: "p", Digest: "other"}
		before := map[string]string{"c2": "p", "c3": "p"}
		say := func(c2, c3 internalapi.DiscoverAnswer, more ...internalapi.DiscoverAnswer) bootstrapDecision {
			answers := map[string]internalapi.DiscoverAnswer{"c2": c2, "c3": c3}
			for i, a := range more {
				answers[fmt.Sprint("c", i+4)] = a
			}
			v, _ := s.decideOpenBootstrap(answers, before)
			return v
		}
		So(say(empty, empty), ShouldEqual, mayBootstrap)
		So(say(empty, other), ShouldEqual, settingsDiffer)
		So(say(empty, internalapi.DiscoverAnswer{Commit: 9}), ShouldEqual, fleetExists) // its seeds are not compared
		So(say(other, internalapi.DiscoverAnswer{Commit: 9}), ShouldEqual, fleetExists)
		So(say(empty, empty, internalapi.DiscoverAnswer{Commit: 9}), ShouldEqual, fleetExists) // one that is no seed
		So(say(empty, internalapi.DiscoverAnswer{Digest: "other"}), ShouldEqual, undecided)    // empty, and must not found
		So(say(empty, internalapi.DiscoverAnswer{Commit: 1, Digest: s.digest()}), ShouldEqual, undecided)
		named := internalapi.DiscoverAnswer{Commit: 9, Digest: s.digest(), BootstrapIncarnations: map[string]string{"c1": "boot"}}
		So(say(empty, named), ShouldEqual, mayBootstrap)
		named.Digest = "other"
		So(say(empty, named), ShouldEqual, fleetExists)
		v, _ := s.decideOpenBootstrap(map[string]internalapi.DiscoverAnswer{"c2": empty, "c3": empty}, nil)
		So(v, ShouldEqual, undecided) // the first such round
	})
}

// TestOpenFleet_survivesChurn lets machines fall, be cut off, be wiped and be replaced in any order, and checks that nothing that
// was acknowledged is lost. A disk is wiped only while all others are there: more losses at once lose data.
func TestOpenFleet_survivesChurn(t *testing.T) {
	for seed := range int64(6) {
		withOpenFleet(t, 5, func(r *testStores) {
			rnd := rand.New(rand.NewSource(seed))
			r.startAll()
			r.waitVoters("c1", "c2", "c3", "c4", "c5")
			r.settings.Bootstrap = false
			names := r.others()
			next := 6
			for step := range 25 {
				one := names[rnd.Intn(len(names))]
				switch rnd.Intn(5) {
				case 0:
					if r.nodes[one] != nil {
						r.kill(one)
					}
				case 1:
					r.setCut(!r.cut[one], one)
				case 2: // a disk is lost
					r.heal(names)
					r.kill(one)
					r.startFresh(one)
					r.heal(names)
				case 3: // another machine takes the place
					r.heal(names)
					r.kill(one)
					delete(r.disks, one)
					names = slices.DeleteFunc(names, func(n string) bool { return n == one })
					if next < 10 {
						names = append(names, fmt.Sprint("c", next))
						next++
					} else {
						names = append(names, one)
					}
					r.setSeeds(r.others()[:3])
					r.startFresh(names[len(names)-1])
					r.heal(names)
				case 4:
					r.advance(time.Duration(rnd.Intn(5000)) * time.Millisecond)
				}
				r.revive()
				if r.majority() {
					r.submitJobs(fmt.Sprint("s", step), 10)
				}
			}
			r.heal(names)
			So(r.submitJobs("last", 20), ShouldBeEmpty)
			r.waitLevel()
		})
	}
}

// setSeeds are told to the nodes that start from now on.
func (r *testStores) setSeeds(names []string) {
	r.settings.Members = nil
	for _, n := range names {
		r.settings.Members = append(r.settings.Members, config.Member{ID: n, Addr: n, Zone: "z"})
	}
}

// revive restarts the nodes that ended themselves.
func (r *testStores) revive() {
	for n := range r.nodes {
		if r.wasRemoved(n) {
			r.reopen(n)
		}
	}
}

// heal ends all cuts, starts what is down and waits until all are voters, and the only ones.
func (r *testStores) heal(names []string) {
	r.setCut(false, names...)
	r.startAll()
	r.until("healed", func() bool {
		r.revive()
		for _, n := range names {
			if s := r.nodes[n]; !s.Status().Raft.Voter || !slices.Equal(memberIDs(s), r.idsOf(names)) {
				return false
			}
		}
		return true
	})
	So(r.died, ShouldBeEmpty)
}

// majority tells whether some node leads, or will, with those that run and are not cut off.
func (r *testStores) majority() bool {
	for _, s := range r.nodes {
		members, there := memberIDs(s), 0
		for _, id := range members {
			if n := NameOf(id); r.nodes[n] != nil && !r.cut[n] && r.nodes[n].Status().Raft.ID == id {
				there++
			}
		}
		if st := s.Status(); st.Ready && st.Raft.Role == raft.Leader && !r.cut[s.settings.Name] && there > len(members)/2 {
			return true
		}
	}
	return false
}
