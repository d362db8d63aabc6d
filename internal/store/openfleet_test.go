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

// withOpenFleet runs do in a synctest bubble, with the disks of an open fleet of n nodes, the seeds c1 to c3 and the
// platform's timeouts. No node is started. Snapshots are written, so syncs must take no time (see slowSyncs).
func withOpenFleet(t *testing.T, n int, do func(fleet *testFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		Convey("Given the disks of an open fleet", t, func() {
			fleet := newTestFleet(0, 40)
			defer fleet.close()
			fleet.settings.OpenMembership = true
			fleet.settings.ElectionTimeout = 600 * time.Millisecond
			fleet.settings.Heartbeat = 120 * time.Millisecond
			fleet.settings.Lease = 400 * time.Millisecond
			fleet.setSeeds([]string{"c1", "c2", "c3"})
			for i := range n {
				fleet.disks[nodeName(i)] = storage.NewMemDisk()
			}
			do(fleet)
		})
	})
}

// slowSyncs makes syncs take time and turns snapshots off: a snapshot and the log are written under one mutex, on which
// a synctest bubble cannot wait.
func (fleet *testFleet) slowSyncs() {
	fleet.settings.SnapshotEvery = 1 << 20
	fleet.syncDelay.Store(int64(3 * time.Millisecond))
}

// nodeName returns the name of node i, counted from 0.
func nodeName(i int) string { return fmt.Sprintf("c%d", i+1) }

// startAll starts the nodes that have a disk and are not running, in the order of their names.
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

// startFresh starts a node with an empty disk and the settings of a replacement machine, which may not bootstrap.
func (fleet *testFleet) startFresh(name string) {
	fleet.disks[name] = storage.NewMemDisk()
	fleet.settings.Bootstrap = false
	fleet.start(name)
}

// waitVoters waits until the members are exactly the named nodes under their current IDs, all of them voters.
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

// idsOf returns the raft IDs of running nodes, sorted.
func (fleet *testFleet) idsOf(names []string) (ids []string) {
	for _, n := range names {
		ids = append(ids, fleet.nodes[n].Status().Raft.ID)
	}
	slices.Sort(ids)
	return ids
}

// memberIDs returns the sorted IDs of the members that s knows, or nil if one of them is a learner.
func memberIDs(s *Store) (ids []string) {
	for _, m := range s.Status().Raft.Members {
		if m.Learner {
			return nil
		}
		ids = append(ids, m.ID)
	}
	slices.Sort(ids)
	return ids
}

// setPartitioned partitions nodes from all others, or ends their partition.
func (fleet *testFleet) setPartitioned(partitioned bool, names ...string) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	for _, n := range names {
		fleet.partitioned[n] = partitioned
	}
}

// others returns the sorted names of the running nodes except the given ones.
func (fleet *testFleet) others(except ...string) (names []string) {
	for n := range fleet.nodes {
		if !slices.Contains(except, n) {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	return names
}

// wasRemoved reports whether a node called Options.Removed.
func (fleet *testFleet) wasRemoved(name string) bool {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return fleet.removed[name]
}

// reopen opens the folder of a removed node again, as Options.Removed requires.
func (fleet *testFleet) reopen(name string) {
	fleet.kill(name)
	fleet.mu.Lock()
	delete(fleet.removed, name)
	fleet.mu.Unlock()
	fleet.start(name)
}

// leaderOf waits until one of the named nodes leads and is ready, and returns it.
func (fleet *testFleet) leaderOf(names ...string) (lead *Store) {
	fleet.until("a ready leader among the named nodes", func() bool {
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

// TestOpenFleet_survivesChurn kills, partitions, wipes and replaces nodes in random order, and checks that no
// acknowledged job is lost. A disk is wiped only while all other nodes are voters: losing several disks at once loses
// data.
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
				name := names[rnd.Intn(len(names))]
				switch rnd.Intn(5) {
				case 0:
					if fleet.nodes[name] != nil {
						fleet.kill(name)
					}
				case 1:
					fleet.setPartitioned(!fleet.partitioned[name], name)
				case 2: // the node loses its disk
					fleet.heal(names)
					fleet.kill(name)
					fleet.startFresh(name)
					fleet.heal(names)
				case 3: // a new machine replaces the node
					fleet.heal(names)
					fleet.kill(name)
					delete(fleet.disks, name)
					names = slices.DeleteFunc(names, func(n string) bool { return n == name })
					if next < 10 {
						names = append(names, fmt.Sprint("c", next))
						next++
					} else {
						names = append(names, name)
					}
					fleet.setSeeds(fleet.others()[:3])
					fleet.startFresh(names[len(names)-1])
					fleet.heal(names)
				case 4:
					fleet.advance(time.Duration(rnd.Intn(5000)) * time.Millisecond)
				}
				fleet.reopenRemoved()
				if fleet.hasMajority() {
					fleet.submitJobs(fmt.Sprint("s", step), 10)
				}
			}
			fleet.heal(names)
			So(fleet.submitJobs("last", 20), ShouldBeEmpty)
			fleet.waitInSync()
		})
	}
}

// setSeeds sets the seeds of the nodes that start from now on.
func (fleet *testFleet) setSeeds(names []string) {
	fleet.settings.Members = nil
	for _, n := range names {
		fleet.settings.Members = append(fleet.settings.Members, config.Member{ID: n, Addr: n, Zone: "z"})
	}
}

// reopenRemoved reopens the nodes that were removed.
func (fleet *testFleet) reopenRemoved() {
	for n := range fleet.nodes {
		if fleet.wasRemoved(n) {
			fleet.reopen(n)
		}
	}
}

// heal ends the partitions of the named nodes, starts all stopped nodes and waits until the named ones are the voters.
func (fleet *testFleet) heal(names []string) {
	fleet.setPartitioned(false, names...)
	fleet.startAll()
	fleet.until("the named nodes to be the voters", func() bool {
		fleet.reopenRemoved()
		for _, n := range names {
			if s := fleet.nodes[n]; !s.Status().Raft.Voter || !slices.Equal(memberIDs(s), fleet.idsOf(names)) {
				return false
			}
		}
		return true
	})
	So(fleet.fatalErrors, ShouldBeEmpty)
}

// hasMajority reports whether a ready leader can reach a majority of its members.
func (fleet *testFleet) hasMajority() bool {
	for _, s := range fleet.nodes {
		members, reachable := memberIDs(s), 0
		for _, id := range members {
			if n := NameOf(id); fleet.nodes[n] != nil && !fleet.partitioned[n] && fleet.nodes[n].Status().Raft.ID == id {
				reachable++
			}
		}
		st := s.Status()
		isLeader := st.Ready && st.Raft.Role == raft.Leader && !fleet.partitioned[s.settings.Name]
		if isLeader && reachable > len(members)/2 {
			return true
		}
	}
	return false
}
