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

// withinOpen runs a test in a bubble, with a rig of an open fleet of n nodes, c1 to c3 its seeds, at the
// platform's settings. None is started; there are slots, and so syncs must take no time (see slowSyncs).
func withinOpen(t *testing.T, n int, do func(r *testStores)) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given machines of an open fleet", t, func() {
			r := newTestStores(0, 40)
			defer r.close()
			r.set.OpenMembership = true
			r.set.Election, r.set.Heartbeat, r.set.Lease = 600*time.Millisecond, 120*time.Millisecond, 400*time.Millisecond
			r.seeds([]string{"c1", "c2", "c3"})
			for i := range n {
				r.disks[name(i)] = storage.NewMemDisk()
			}
			do(r)
		})
	})
}

// slowSyncs gives syncs a time to take, and does without slots: a slot and the log take turns under a mutex, which
// a bubble cannot wait for.
func (r *testStores) slowSyncs() {
	r.set.SnapshotEvery = 1 << 20
	r.slow.Store(int64(3 * time.Millisecond))
}

func name(i int) string { return fmt.Sprintf("c%d", i+1) }

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

// fresh gives a node an empty disk, the settings that a replaced machine has, and starts it.
func (r *testStores) fresh(name string) {
	r.disks[name] = storage.NewMemDisk()
	r.set.Founding = false
	r.start(name)
}

// voters waits until the members are just these, each by the newest ID of its folder, all of them voters.
func (r *testStores) voters(names ...string) {
	r.until("voters "+strings.Join(names, " "), func() bool {
		for _, n := range names {
			s := r.nodes[n]
			if s == nil || !s.Status().Quorum.Voter || !slices.Equal(memberIDs(s), r.idsOf(names)) {
				return false
			}
		}
		return true
	})
}

func (r *testStores) idsOf(names []string) (out []string) {
	for _, n := range names {
		out = append(out, r.nodes[n].Status().Quorum.ID)
	}
	slices.Sort(out)
	return out
}

func memberIDs(s *Store) (out []string) {
	for _, m := range s.Status().Quorum.Members {
		if m.Learner {
			return nil
		}
		out = append(out, m.ID)
	}
	slices.Sort(out)
	return out
}

// run moves the clock on by d, a little at a time.
func (r *testStores) run(d time.Duration) {
	end := r.clock.Now() + d
	r.until("the end of a time", func() bool { return r.clock.Now() >= end })
}

// took tells how long do took on the clock.
func (r *testStores) took(do func()) time.Duration {
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

// ended tells whether a node ended the use of its store because it was removed.
func (r *testStores) ended(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.removed[name]
}

// again opens the folder of a node that was removed anew, in the same process.
func (r *testStores) again(name string) {
	r.kill(name)
	r.mu.Lock()
	delete(r.removed, name)
	r.mu.Unlock()
	r.start(name)
}

func TestOpenFounding(t *testing.T) {
	withinOpen(t, 5, func(r *testStores) {
		took := r.took(func() {
			r.startAll()
			r.voters("c1", "c2", "c3", "c4", "c5")
		})
		Printf("\nfive voters after %s", took)
		So(took, ShouldBeLessThan, 4*time.Second)
		for _, n := range []string{"c1", "c2", "c3"} {
			So(r.nodes[n].Status().Quorum.ID, ShouldEqual, n) // founded, not joined
		}
		So(r.load("a", 100), ShouldBeEmpty)
		r.level()

		joined := r.took(func() {
			r.fresh("c6")
			r.voters("c1", "c2", "c3", "c4", "c5", "c6")
		})
		Printf("\na newcomer is a voter after %s", joined)
		So(joined, ShouldBeLessThan, time.Second)
		r.level()

		leader, addresses := r.nodes["c6"].Members()
		So(leader, ShouldEqual, r.leader().set.Addr)
		So(addresses, ShouldHaveLength, 6)
	})
}

func TestOpenFoundingWithoutASeed(t *testing.T) {
	withinOpen(t, 5, func(r *testStores) {
		for _, n := range []string{"c1", "c2", "c4", "c5"} { // c3 is late
			r.start(n)
		}
		r.run(10 * time.Second)
		for n, s := range r.nodes {
			So(fmt.Sprint(n, s.Found(internalapi.FoundCall{}).Commit), ShouldEqual, n+"0")
		}
		r.start("c3")
		r.voters("c1", "c2", "c3", "c4", "c5")
	})
}

func TestNoFounding(t *testing.T) {
	withinOpen(t, 5, func(r *testStores) {
		r.set.Founding = false
		r.startAll()
		r.run(20 * time.Second)
		for _, s := range r.nodes {
			a := s.Found(internalapi.FoundCall{})
			So(a.Fresh, ShouldBeFalse)
			So(a.Commit, ShouldEqual, 0)
			So(a.ID, ShouldStartWith, s.set.Name+"~")
			So(s.Ready(), ShouldNotBeNil)
		}
	})
	withinOpen(t, 3, func(r *testStores) { // one seed has lost its folder: the others must not found without its word
		r.start("c1")
		r.start("c2")
		r.set.Founding = false
		r.start("c3")
		r.run(20 * time.Second)
		for _, s := range r.nodes {
			So(s.Found(internalapi.FoundCall{}).Commit, ShouldEqual, 0)
		}
	})
}

func TestOpenWiped(t *testing.T) {
	withinOpen(t, 5, func(r *testStores) {
		r.startAll()
		r.voters("c1", "c2", "c3", "c4", "c5")
		r.load("a", 200)
		for _, founding := range []bool{true, false} {
			for _, gone := range []string{"c1", "c5", r.leader().set.Name} {
				r.kill(gone)
				before := r.others()
				r.disks[gone] = storage.NewMemDisk()
				took := r.took(func() {
					r.set.Founding = founding
					r.start(gone)
					r.voters(append(before, gone)...)
				})
				Printf("\nwiped %s is a voter after %s", gone, took)
				So(took, ShouldBeLessThan, 2500*time.Millisecond) // an election may be in it
				So(r.load(fmt.Sprint(gone, founding), 20), ShouldBeEmpty)
				r.level()
			}
		}
	})
}

func TestOpenReplaced(t *testing.T) {
	withinOpen(t, 5, func(r *testStores) {
		r.startAll()
		r.voters("c1", "c2", "c3", "c4", "c5")
		r.load("a", 100)
		// The new machine comes at once: it joins as the sixth, then the dead one goes.
		gone := r.follower(r.leader()).set.Name
		r.kill(gone)
		took := r.took(func() {
			r.fresh("c6")
			r.until("six voters", func() bool { return len(memberIDs(r.leader())) == 6 })
		})
		Printf("\nthe sixth is a voter after %s", took)
		So(took, ShouldBeLessThan, 2*time.Second)
		r.voters(r.others()...)
		So(r.others(), ShouldHaveLength, 5)
		So(r.load("b", 50), ShouldBeEmpty)

		// It comes when the dead one is known to be dead: that one goes first, there never are six.
		gone = r.follower(r.leader()).set.Name
		r.kill(gone)
		r.run(r.set.RemoveAfter + time.Second)
		So(memberIDs(r.leader()), ShouldHaveLength, 5) // an odd set stays
		r.fresh("c7")
		r.until("the newcomer is a voter", func() bool {
			So(len(memberIDs(r.leader())), ShouldBeLessThan, 6)
			return r.nodes["c7"].Status().Quorum.Voter
		})
		r.voters(r.others()...)
		So(r.load("c", 50), ShouldBeEmpty)
		r.level()
	})
}

func TestRemovalBounds(t *testing.T) {
	withinOpen(t, 4, func(r *testStores) {
		r.startAll()
		r.voters("c1", "c2", "c3", "c4")
		gone := r.follower(r.leader()).set.Name
		r.kill(gone)
		r.run(r.set.RemoveAfter - 500*time.Millisecond)
		So(memberIDs(r.leader()), ShouldHaveLength, 4)
		r.voters(r.others()...)
		So(memberIDs(r.leader()), ShouldHaveLength, 3)

		// Never below three.
		r.kill(r.follower(r.leader()).set.Name)
		r.run(20 * time.Second)
		So(memberIDs(r.leader()), ShouldHaveLength, 3)
		So(r.load("a", 20), ShouldBeEmpty)

		// A newcomer is the fourth, and the dead one goes after that.
		r.fresh("c9")
		r.voters(r.others()...)
		So(memberIDs(r.leader()), ShouldHaveLength, 3)

		// Without a majority nobody is removed.
		lead := r.leader()
		for _, n := range r.others(lead.set.Name) {
			r.kill(n)
		}
		r.run(20 * time.Second)
		So(lead.Status().Quorum.Members, ShouldHaveLength, 3)
	})
}

func TestLearnerDropped(t *testing.T) {
	withinOpen(t, 3, func(r *testStores) {
		r.startAll()
		r.voters("c1", "c2", "c3")
		lead := r.leader()
		_, err := lead.Join(context.Background(), internalapi.JoinCall{ID: "c9~x", Name: "c9", Addr: "c9"})
		So(err, ShouldBeNil)
		r.until("a learner", func() bool { return len(lead.Status().Quorum.Members) == 4 })
		r.run(dropLearner - time.Second)
		So(lead.Status().Quorum.Members, ShouldHaveLength, 4)
		since := lead.Found(internalapi.FoundCall{}).MembersAt
		r.voters("c1", "c2", "c3")
		r.until("the removal is committed", func() bool { return lead.Found(internalapi.FoundCall{}).MembersAt > since })

		// It does not come back under its ID, as its folder says that it was a member.
		_, err = lead.Join(context.Background(), internalapi.JoinCall{ID: "c9~x", Name: "c9", Addr: "c9", Since: since})
		So(errs.KindOf(err), ShouldEqual, errs.Stale)
		// A folder whose membership was never committed is no such one.
		_, err = lead.Join(context.Background(), internalapi.JoinCall{ID: "c9~x", Name: "c9", Addr: "c9", Since: since + 100})
		So(err, ShouldBeNil)
	})
}

func TestRemovedComesBack(t *testing.T) {
	withinOpen(t, 6, func(r *testStores) {
		r.set.SnapshotEvery = 1 << 20 // a slot would tell a restarted node that its membership was committed
		r.startAll()
		all := []string{"c1", "c2", "c3", "c4", "c5", "c6"}
		r.voters(all...)
		r.load("a", 50)
		// Cut off while it runs.
		for _, how := range []string{"cut", "down", "cut c6", "down c6"} { // c6 is no founder: its folder has it in the log only
			gone := r.follower(r.leader()).set.Name
			if name, is := strings.CutSuffix(how, " c6"); is {
				how, gone = name, "c6"
				r.leaderBut("c6")
			}
			old := r.nodes[gone].Status().Quorum.ID
			if how == "cut" {
				r.setCut(true, gone)
			} else {
				r.kill(gone)
			}
			r.voters(r.others(gone)...)
			So(r.load(how+gone, 50), ShouldBeEmpty)
			took := r.took(func() {
				if r.setCut(false, gone); how == "down" {
					r.start(gone)
				}
				r.until("it finds out", func() bool { return r.ended(gone) })
				r.again(gone)
				r.voters(all...)
			})
			Printf("\nremoved while %s, a voter again after %s", how, took)
			So(took, ShouldBeLessThan, 3*time.Second)
			So(r.nodes[gone].Status().Quorum.ID, ShouldNotEqual, old)
			So(r.load(how+gone+"-again", 20), ShouldBeEmpty)
			r.level()
		}
		So(r.died, ShouldBeEmpty)
	})
}

// leaderBut lets another lead if the one named does.
func (r *testStores) leaderBut(name string) {
	for r.leader().set.Name == name {
		r.call(func(ctx context.Context) { r.nodes[name].Handover(ctx) })
	}
}

func TestSeedsDown(t *testing.T) {
	withinOpen(t, 8, func(r *testStores) {
		r.startAll()
		all := []string{"c1", "c2", "c3", "c4", "c5", "c6", "c7", "c8"}
		r.voters(all...)
		r.load("a", 50)
		// One is removed while it is down, and every seed is behind a cut when it comes back with its disk.
		r.kill("c8")
		r.voters(all[:7]...)
		r.setCut(true, "c1", "c2", "c3")
		r.start("c8")
		r.until("it finds out", func() bool { return r.ended("c8") })
		r.again("c8")
		r.until("it is a voter", func() bool { return r.nodes["c8"].Status().Quorum.Voter })
		So(r.load("b", 20), ShouldBeEmpty)

		// A wiped one that knows only two seeds, both behind the cut, learns from its leader's calls to its old self
		// whom to ask.
		r.setCut(false, "c1", "c2", "c3")
		r.until("all are there", func() bool { return slices.Equal(memberIDs(r.leader()), r.idsOf(all)) })
		r.set.Members = r.set.Members[:2]
		r.setCut(true, "c1", "c2")
		lead := r.leaderOf("c3", "c4", "c5", "c6", "c7", "c8")
		gone := "c8"
		if lead == r.nodes["c8"] {
			gone = "c7"
		}
		r.kill(gone)
		r.fresh(gone)
		r.until("the wiped one is a voter", func() bool { return r.nodes[gone].Status().Quorum.Voter })
		So(r.load("c", 20), ShouldBeEmpty)

		// One that knows no seed that answers, and that nobody calls, waits until it is told of another node.
		r.fresh("c9")
		r.run(3 * time.Second)
		So(r.nodes["c9"].Status().Quorum.Members, ShouldBeEmpty)
		r.nodes["c9"].LearnAddresses(lead.set.Addr)
		r.until("the newcomer is a voter", func() bool { return r.nodes["c9"].Status().Quorum.Voter })
	})
}

// leaderOf waits until one of the nodes leads, and gives it.
func (r *testStores) leaderOf(names ...string) (lead *Store) {
	r.until("a leader of some", func() bool {
		for _, n := range names {
			if s := r.nodes[n]; s != nil {
				if st := s.Status(); st.Ready && st.Quorum.Role == raft.Leader {
					lead = s
					return true
				}
			}
		}
		return false
	})
	return lead
}

func TestFailoverSpeed(t *testing.T) {
	withinOpen(t, 5, func(r *testStores) {
		r.slowSyncs()
		r.startAll()
		r.voters("c1", "c2", "c3", "c4", "c5")
		all := []time.Duration{}
		longest, handover, power := time.Duration(0), time.Duration(0), time.Duration(0)
		for range 40 {
			r.seed += 1000
			lead := r.leader().set.Name
			took := r.took(func() {
				r.kill(lead)
				r.leader()
			})
			all = append(all, took)
			longest = max(longest, took)
			r.start(lead)
			r.level()
		}
		for range 8 {
			lead := r.leader()
			handover = max(handover, r.took(func() {
				r.call(func(ctx context.Context) { lead.Handover(ctx) })
				r.leaderOf(r.others(lead.set.Name)...)
			}))
			r.level()
		}
		for range 20 {
			r.seed += 1000
			for _, n := range r.others() {
				r.kill(n)
			}
			power = max(power, r.took(func() { r.startAll(); r.leader() }))
			r.level()
		}
		slices.Sort(all)
		Printf("\nkilled leader %s in the middle", all[len(all)/2])
		Printf("\nkilled leader %s, handover %s, power loss %s at most", longest, handover, power)
		So(longest, ShouldBeLessThan, 1300*time.Millisecond)
		So(handover, ShouldBeLessThan, 100*time.Millisecond)
		So(power, ShouldBeLessThan, 2*time.Second)
	})
}

func TestHandoverPassesTheDead(t *testing.T) {
	withinOpen(t, 5, func(r *testStores) {
		r.slowSyncs()
		r.startAll()
		r.voters("c1", "c2", "c3", "c4", "c5")
		lead := r.leader()
		gone := r.others(lead.set.Name)[:2] // idle, so the dead have all of the log as the others do
		r.kill(gone[0])
		r.kill(gone[1])
		r.run(time.Second)
		So(r.took(func() {
			r.call(func(ctx context.Context) { lead.Handover(ctx) })
			r.leaderOf(r.others(lead.set.Name)...)
		}), ShouldBeLessThan, 100*time.Millisecond)
	})
}

func TestLeadTerm(t *testing.T) {
	withinOpen(t, 3, func(r *testStores) {
		r.startAll()
		r.voters("c1", "c2", "c3")
		lead := r.leader()
		term, held := lead.LeadTerm(r.clock.Now())
		So(held, ShouldBeTrue)
		So(term, ShouldEqual, lead.Status().Quorum.Term)
		_, other := r.follower(lead).LeadTerm(r.clock.Now())
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
		r.setCut(true, lead.set.Name)
		r.run(r.set.Lease + r.set.Heartbeat)
		_, held = lead.LeadTerm(r.clock.Now())
		So(held, ShouldBeFalse)
		next := r.leaderOf(r.others(lead.set.Name)...)
		newer, held := next.LeadTerm(r.clock.Now())
		So(held, ShouldBeTrue)
		So(newer, ShouldBeGreaterThan, term)
		So(errs.KindOf(propose(next, term, "b")), ShouldEqual, errs.Stale)
		next.View(func(st *state.State) { So(st.Jobs["b"], ShouldBeNil) })
	})
}

// counting counts the timers that a node sets.
type counting struct {
	clock.Clock
	set *atomic.Int64
}

func (c counting) Set(d time.Duration, ring func()) clock.Stopper {
	c.set.Add(1)
	return c.Clock.Set(d, ring)
}

func TestIdleWakeUps(t *testing.T) {
	withinOpen(t, 3, func(r *testStores) {
		sets := map[string]*atomic.Int64{}
		for i := range 3 {
			n := name(i)
			set := r.set
			set.Name, set.Addr, set.Zone = n, n, "z"
			sets[n] = &atomic.Int64{}
			s, err := Open(Options{Settings: set, Disk: r.disks[n], Net: net{r, n}, Clock: counting{&r.clock, sets[n]},
				Seed: uint64(i + 1), Fatal: func(error) {}})
			So(err, ShouldBeNil)
			r.nodes[n] = s
		}
		for _, s := range r.nodes {
			s.Start()
		}
		r.voters("c1", "c2", "c3")
		lead := r.leader()
		before := map[string]int64{}
		for n, c := range sets {
			before[n] = c.Load()
		}
		r.run(10 * time.Second)
		for n, c := range sets {
			perSecond := (c.Load() - before[n]) / 10
			Printf("\n%s leads %v: %d alarms a second", n, n == lead.set.Name, perSecond)
			if n == lead.set.Name {
				So(perSecond, ShouldBeLessThan, 90)
			} else {
				So(perSecond, ShouldBeLessThan, 30)
			}
		}
	})
}

func TestDiscard(t *testing.T) {
	Convey("A discarded folder never founds and never keeps its ID, wherever the power goes on the way", t, func() {
		full := func() *storage.MemDisk {
			d := storage.NewMemDisk()
			So(writeFile(d, idFile, "c1~old"), ShouldBeNil)
			s, _, err := storage.Open(d, storage.Options{})
			So(err, ShouldBeNil)
			So(s.Append([]storage.Record{{Kind: storage.KindHard, Data: []byte(`{"t":7,"v":"c2"}`)}}), ShouldBeNil)
			So(s.Close(), ShouldBeNil)
			return d
		}
		set := config.DefaultCplane()
		set.Name, set.Addr, set.OpenMembership = "c1", "c1", true
		set.Members = []config.Member{{ID: "c1", Addr: "c1"}, {ID: "c2", Addr: "c2"}}
		open := func(d storage.Disk) (*Store, error) {
			return Open(Options{Settings: set, Disk: d, Net: net{}, Fatal: func(error) {}})
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
			So(s.Found(internalapi.FoundCall{}).Fresh, ShouldBeFalse)
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

func TestJudgeOpen(t *testing.T) {
	Convey("Only seeds with the same seeds found together, and only where nobody knows a fleet", t, func() {
		s := &Store{boot: "boot"}
		s.set.Name, s.set.Addr = "c1", "c1"
		s.set.Members = []config.Member{{ID: "c1", Addr: "c1"}, {ID: "c2", Addr: "c2"}, {ID: "c3", Addr: "c3"}}
		empty := internalapi.FoundAnswer{Fresh: true, Boot: "p", Digest: s.digest()}
		other := internalapi.FoundAnswer{Fresh: true, Boot: "p", Digest: "other"}
		before := map[string]string{"c2": "p", "c3": "p"}
		say := func(c2, c3 internalapi.FoundAnswer, more ...internalapi.FoundAnswer) verdict {
			answers := map[string]internalapi.FoundAnswer{"c2": c2, "c3": c3}
			for i, a := range more {
				answers[fmt.Sprint("c", i+4)] = a
			}
			v, _ := s.judgeOpen(answers, before)
			return v
		}
		So(say(empty, empty), ShouldEqual, fresh)
		So(say(empty, other), ShouldEqual, differs)
		So(say(empty, internalapi.FoundAnswer{Commit: 9}), ShouldEqual, exists) // its seeds are not compared
		So(say(other, internalapi.FoundAnswer{Commit: 9}), ShouldEqual, exists)
		So(say(empty, empty, internalapi.FoundAnswer{Commit: 9}), ShouldEqual, exists) // one that is no seed
		So(say(empty, internalapi.FoundAnswer{Digest: "other"}), ShouldEqual, unsure)  // empty, and must not found
		So(say(empty, internalapi.FoundAnswer{Commit: 1, Digest: s.digest()}), ShouldEqual, unsure)
		named := internalapi.FoundAnswer{Commit: 9, Digest: s.digest(), Founders: map[string]string{"c1": "boot"}}
		So(say(empty, named), ShouldEqual, fresh)
		named.Digest = "other"
		So(say(empty, named), ShouldEqual, exists)
		v, _ := s.judgeOpen(map[string]internalapi.FoundAnswer{"c2": empty, "c3": empty}, nil)
		So(v, ShouldEqual, unsure) // the first such round
	})
}

// TestOpenUnrest lets machines fall, be cut off, be wiped and be replaced in any order, and checks that nothing that
// was acknowledged is lost. A disk is wiped only while all others are there: more losses at once lose data.
func TestOpenUnrest(t *testing.T) {
	for seed := range int64(6) {
		withinOpen(t, 5, func(r *testStores) {
			rnd := rand.New(rand.NewSource(seed))
			r.startAll()
			r.voters("c1", "c2", "c3", "c4", "c5")
			r.set.Founding = false
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
					r.fresh(one)
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
					r.seeds(r.others()[:3])
					r.fresh(names[len(names)-1])
					r.heal(names)
				case 4:
					r.run(time.Duration(rnd.Intn(5000)) * time.Millisecond)
				}
				r.revive()
				if r.majority() {
					r.load(fmt.Sprint("s", step), 10)
				}
			}
			r.heal(names)
			So(r.load("last", 20), ShouldBeEmpty)
			r.level()
		})
	}
}

// seeds are told to the nodes that start from now on.
func (r *testStores) seeds(names []string) {
	r.set.Members = nil
	for _, n := range names {
		r.set.Members = append(r.set.Members, config.Member{ID: n, Addr: n, Zone: "z"})
	}
}

// revive restarts the nodes that ended themselves.
func (r *testStores) revive() {
	for n := range r.nodes {
		if r.ended(n) {
			r.again(n)
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
			if s := r.nodes[n]; !s.Status().Quorum.Voter || !slices.Equal(memberIDs(s), r.idsOf(names)) {
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
			if n := nameOf(id); r.nodes[n] != nil && !r.cut[n] && r.nodes[n].Status().Quorum.ID == id {
				there++
			}
		}
		if st := s.Status(); st.Ready && st.Quorum.Role == raft.Leader && !r.cut[s.set.Name] && there > len(members)/2 {
			return true
		}
	}
	return false
}
