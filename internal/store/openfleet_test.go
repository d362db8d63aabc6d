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

// withOpenFleet runs a test in a bubble, with the machines of an open fleet of n nodes, c1 to c3 its seeds, at the
// platform's settings. None is started; there are snapshots, and so syncs must take no time (see slowSyncs).
func withOpenFleet(t *testing.T, n int, do func(fleet *testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given machines of an open fleet", t, func() {
			fleet := newTestFleet(0, 40)
			defer fleet.close()
			fleet.settings.OpenMembership = true
			fleet.settings.Election, fleet.settings.Heartbeat, fleet.settings.Lease = 600*time.Millisecond, 120*time.Millisecond, 400*time.Millisecond
			fleet.setSeeds([]string{"c1", "c2", "c3"})
			for i := range n {
				fleet.disks[nodeName(i)] = storage.NewMemDisk()
			}
			do(fleet)
		})
	})
}

// slowSyncs makes syncs take time, and does without snapshots: a snapshot and the log take turns under a mutex, which
// a bubble cannot wait for.
func (fleet *testFleet) slowSyncs() {
	fleet.settings.SnapshotEvery = 1 << 20
	fleet.slow.Store(int64(3 * time.Millisecond))
}

func nodeName(i int) string { return fmt.Sprintf("c%d", i+1) }

// startAll starts the nodes that have a disk and do not run.
func (fleet *testFleet) startAll() {
	for _, n := range slices.Sorted(func(yield func(string) bool) {
		for n := range fleet.disks {
			if fleet.nodes[n] == nil && !yield(n) {
				return
			}
		}
	}) {
		fleet.start(n)
	}
}

// startFresh gives a node an empty disk, the settings that a replaced machine has, and starts it.
func (fleet *testFleet) startFresh(name string) {
	fleet.disks[name] = storage.NewMemDisk()
	fleet.settings.Bootstrap = false
	fleet.start(name)
}

// waitVoters waits until the members are just these, each by the newest ID of its folder, all of them voters.
func (fleet *testFleet) waitVoters(names ...string) {
	fleet.until("voters "+strings.Join(names, " "), func() bool {
		for _, n := range names {
			s := fleet.nodes[n]
			if s == nil || !s.Status().Raft.Voter || !slices.Equal(memberIDs(s), fleet.idsOf(names)) {
				return false
			}
		}
		return true
	})
}

func (fleet *testFleet) idsOf(names []string) (out []string) {
	for _, n := range names {
		out = append(out, fleet.nodes[n].Status().Raft.ID)
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
func (fleet *testFleet) setCut(cut bool, names ...string) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	for _, n := range names {
		fleet.cut[n] = cut
	}
}

// others are the running nodes but those named.
func (fleet *testFleet) others(but ...string) (out []string) {
	for n := range fleet.nodes {
		if !slices.Contains(but, n) {
			out = append(out, n)
		}
	}
	slices.Sort(out)
	return out
}

// wasRemoved tells whether a node ended the use of its store because it was removed.
func (fleet *testFleet) wasRemoved(name string) bool {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return fleet.removed[name]
}

// reopen opens the folder of a node that was removed anew, in the same process.
func (fleet *testFleet) reopen(name string) {
	fleet.kill(name)
	fleet.mu.Lock()
	delete(fleet.removed, name)
	fleet.mu.Unlock()
	fleet.start(name)
}

// leaderOf waits until one of the nodes leads, and gives it.
func (fleet *testFleet) leaderOf(names ...string) (lead *Store) {
	fleet.until("a leader of some", func() bool {
		for _, n := range names {
			if s := fleet.nodes[n]; s != nil {
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

// TestOpenFleet_survivesChurn kills, cuts off, wipes and replaces machines in any order, and checks that nothing that was
// acknowledged is lost. A disk is wiped only while all others are there: more losses at once lose data.
func TestOpenFleet_survivesChurn(t *testing.T) {
	for seed := range int64(6) {
		withOpenFleet(t, 5, func(fleet *testFleet) {
			rnd := rand.New(rand.NewSource(seed))
			fleet.startAll()
			fleet.waitVoters("c1", "c2", "c3", "c4", "c5")
			fleet.settings.Bootstrap = false
			names := fleet.others()
			next := 6
			for step := range 25 {
				one := names[rnd.Intn(len(names))]
				switch rnd.Intn(5) {
				case 0:
					if fleet.nodes[one] != nil {
						fleet.kill(one)
					}
				case 1:
					fleet.setCut(!fleet.cut[one], one)
				case 2: // a disk is lost
					fleet.heal(names)
					fleet.kill(one)
					fleet.startFresh(one)
					fleet.heal(names)
				case 3: // another machine takes the place
					fleet.heal(names)
					fleet.kill(one)
					delete(fleet.disks, one)
					names = slices.DeleteFunc(names, func(n string) bool { return n == one })
					if next < 10 {
						names = append(names, fmt.Sprint("c", next))
						next++
					} else {
						names = append(names, one)
					}
					fleet.setSeeds(fleet.others()[:3])
					fleet.startFresh(names[len(names)-1])
					fleet.heal(names)
				case 4:
					fleet.advance(time.Duration(rnd.Intn(5000)) * time.Millisecond)
				}
				fleet.revive()
				if fleet.majority() {
					fleet.submitJobs(fmt.Sprint("s", step), 10)
				}
			}
			fleet.heal(names)
			So(fleet.submitJobs("last", 20), ShouldBeEmpty)
			fleet.waitLevel()
		})
	}
}

// setSeeds names the seeds of the nodes that start from now on.
func (fleet *testFleet) setSeeds(names []string) {
	fleet.settings.Members = nil
	for _, n := range names {
		fleet.settings.Members = append(fleet.settings.Members, config.Member{ID: n, Addr: n, Zone: "z"})
	}
}

// revive restarts the nodes that ended themselves.
func (fleet *testFleet) revive() {
	for n := range fleet.nodes {
		if fleet.wasRemoved(n) {
			fleet.reopen(n)
		}
	}
}

// heal ends all cuts, starts what is down and waits until all are voters, and the only ones.
func (fleet *testFleet) heal(names []string) {
	fleet.setCut(false, names...)
	fleet.startAll()
	fleet.until("healed", func() bool {
		fleet.revive()
		for _, n := range names {
			if s := fleet.nodes[n]; !s.Status().Raft.Voter || !slices.Equal(memberIDs(s), fleet.idsOf(names)) {
				return false
			}
		}
		return true
	})
	So(fleet.died, ShouldBeEmpty)
}

// majority tells whether some node leads, or will, with those that run and are not cut off.
func (fleet *testFleet) majority() bool {
	for _, s := range fleet.nodes {
		members, there := memberIDs(s), 0
		for _, id := range members {
			if n := NameOf(id); fleet.nodes[n] != nil && !fleet.cut[n] && fleet.nodes[n].Status().Raft.ID == id {
				there++
			}
		}
		if st := s.Status(); st.Ready && st.Raft.Role == raft.Leader && !fleet.cut[s.settings.Name] && there > len(members)/2 {
			return true
		}
	}
	return false
}
