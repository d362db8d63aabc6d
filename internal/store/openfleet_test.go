package store

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/config"
	"crosstide/internal/raft"
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
