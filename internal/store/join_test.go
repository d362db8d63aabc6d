package store

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/raft"
	"crosstide/internal/state/command"
	"crosstide/internal/storage"
)

// TestJoin_afterLostDisk checks that a node that lost its disk rejoins a fixed fleet under a new ID and replaces its
// earlier incarnation. Under its old ID it could vote twice in a term, or lack entries that it had acknowledged.
func TestJoin_afterLostDisk(t *testing.T) {
	withFleet(t, 40, func(fleet *testFleet) {
		fleet.submitJobs("a", 200)
		lead := fleet.leader()
		gone := fleet.follower(lead).settings.Name
		fleet.kill(gone)
		fleet.disks[gone] = storage.NewMemDisk()
		fleet.start(gone)
		fresh := fleet.nodes[gone]
		fleet.until("the rejoined node is a voter", func() bool { return fresh.Status().Raft.Voter })
		So(fresh.id, ShouldStartWith, gone+"~")
		fleet.submitJobs("b", 50)
		fleet.waitInSync()
		So(len(lead.Status().Raft.Members), ShouldEqual, 3)
		So(slices.ContainsFunc(lead.Status().Raft.Members, func(m raft.Member) bool { return m.ID == gone }), ShouldBeFalse)

		// The new voter counts towards a majority, and keeps its new ID over a restart.
		fleet.kill(gone)
		fleet.start(gone)
		fleet.waitInSync()
		fleet.kill(lead.settings.Name)
		So(fleet.submitJobs("c", 50), ShouldBeEmpty)
		fleet.waitInSync()
		So(fleet.nodes[gone].id, ShouldEqual, fresh.id)
	})
}

// TestJoin_asNamedSuccessor checks that a fixed fleet rejects a node with an unknown name until an operator names it as
// the successor of a member, and that the node then replaces that member.
func TestJoin_asNamedSuccessor(t *testing.T) {
	withFleet(t, 40, func(fleet *testFleet) {
		fleet.submitJobs("a", 100)
		lead := fleet.leader()
		gone := fleet.follower(lead).settings.Name
		fleet.kill(gone)
		fleet.disks["c9"] = storage.NewMemDisk()
		fleet.start("c9")
		fresh := fleet.nodes["c9"]
		var err error
		fleet.until("the leader rejects an unknown node", func() bool {
			_, err = lead.Join(context.Background(), internalapi.JoinCall{ID: fresh.id, Name: "c9", Addr: "c9"})
			return errs.Is(err, errs.Forbidden)
		})
		So(err.Error(), ShouldContainSubstring, "crosstide-controlplane member replace OLD c9")
		fleet.call(func(ctx context.Context) {
			_, err = lead.ProposeOrForward(ctx, &command.ReplaceMember{Order: "o", Old: gone, New: "c9"})
		})
		So(err, ShouldBeNil)
		fleet.until("the successor is a voter", func() bool { return fresh.Status().Raft.Voter })
		fleet.until("the old member is removed", func() bool { return len(lead.Status().Raft.Members) == 3 })
		So(slices.ContainsFunc(lead.Status().Raft.Members, func(m raft.Member) bool { return m.ID == gone }), ShouldBeFalse)

		// The successor and the only other node that is left are a majority.
		fleet.kill(lead.settings.Name)
		So(fleet.submitJobs("b", 50), ShouldBeEmpty)
	})
}

// TestOpenJoin_afterWipedDisk checks that each kind of node of an open fleet (a seed, another node, the leader) rejoins
// within seconds after it lost its disk, whether or not its settings allow it to bootstrap.
func TestOpenJoin_afterWipedDisk(t *testing.T) {
	withOpenFleet(t, 5, func(fleet *testFleet) {
		fleet.startAll()
		fleet.waitVoters("c1", "c2", "c3", "c4", "c5")
		fleet.submitJobs("a", 200)
		for _, mayBootstrap := range []bool{true, false} {
			for _, gone := range []string{"c1", "c5", fleet.leader().settings.Name} {
				fleet.kill(gone)
				before := fleet.others()
				fleet.disks[gone] = storage.NewMemDisk()
				took := fleet.elapsed(func() {
					fleet.settings.Bootstrap = mayBootstrap
					fleet.start(gone)
					fleet.waitVoters(append(before, gone)...)
				})
				Printf("\nwiped %s is a voter after %s", gone, took)
				So(took, ShouldBeLessThan, 2500*time.Millisecond) // this may include an election
				So(fleet.submitJobs(fmt.Sprint(gone, mayBootstrap), 20), ShouldBeEmpty)
				fleet.waitInSync()
			}
		}
	})
}

// TestOpenJoin_replacesDeadMember checks that a new node takes the place of a dead one under another name, so that dead
// voters do not add up to a majority.
func TestOpenJoin_replacesDeadMember(t *testing.T) {
	withOpenFleet(t, 5, func(fleet *testFleet) {
		fleet.startAll()
		fleet.waitVoters("c1", "c2", "c3", "c4", "c5")
		fleet.submitJobs("a", 100)
		// The new machine starts before the dead one has been silent for RemoveAfter: it joins as the sixth voter, then
		// the dead one is removed.
		gone := fleet.follower(fleet.leader()).settings.Name
		fleet.kill(gone)
		took := fleet.elapsed(func() {
			fleet.startFresh("c6")
			fleet.until("six voters", func() bool { return len(memberIDs(fleet.leader())) == 6 })
		})
		Printf("\nthe sixth is a voter after %s", took)
		So(took, ShouldBeLessThan, 2*time.Second)
		fleet.waitVoters(fleet.others()...)
		So(fleet.others(), ShouldHaveLength, 5)
		So(fleet.submitJobs("b", 50), ShouldBeEmpty)

		// The new machine starts after the dead one has been silent for RemoveAfter: the dead one is removed first, so
		// that there are never six voters.
		gone = fleet.follower(fleet.leader()).settings.Name
		fleet.kill(gone)
		fleet.advance(fleet.settings.RemoveAfter + time.Second)
		So(memberIDs(fleet.leader()), ShouldHaveLength, 5) // a silent voter of an odd set is not removed
		fleet.startFresh("c7")
		fleet.until("the new node is a voter", func() bool {
			So(len(memberIDs(fleet.leader())), ShouldBeLessThan, 6)
			return fleet.nodes["c7"].Status().Raft.Voter
		})
		fleet.waitVoters(fleet.others()...)
		So(fleet.submitJobs("c", 50), ShouldBeEmpty)
		fleet.waitInSync()
	})
}

// TestOpenJoin_withSeedsDown checks that nodes join an open fleet whose seeds are unreachable, through addresses that
// they stored, received in calls or were given by LearnAddresses.
func TestOpenJoin_withSeedsDown(t *testing.T) {
	withOpenFleet(t, 8, func(fleet *testFleet) {
		fleet.startAll()
		all := []string{"c1", "c2", "c3", "c4", "c5", "c6", "c7", "c8"}
		fleet.waitVoters(all...)
		fleet.submitJobs("a", 50)
		// A node is removed while it is down, and every seed is partitioned when it restarts with its disk.
		fleet.kill("c8")
		fleet.waitVoters(all[:7]...)
		fleet.setPartitioned(true, "c1", "c2", "c3")
		fleet.start("c8")
		fleet.until("c8 learns that it was removed", func() bool { return fleet.wasRemoved("c8") })
		fleet.reopen("c8")
		fleet.until("c8 is a voter", func() bool { return fleet.nodes["c8"].Status().Raft.Voter })
		So(fleet.submitJobs("b", 20), ShouldBeEmpty)

		// A wiped node that knows only two seeds, both partitioned, learns the leader's address from the leader's calls
		// to its earlier incarnation.
		fleet.setPartitioned(false, "c1", "c2", "c3")
		fleet.until("all eight are members", func() bool { return slices.Equal(memberIDs(fleet.leader()), fleet.idsOf(all)) })
		fleet.settings.Members = fleet.settings.Members[:2]
		fleet.setPartitioned(true, "c1", "c2")
		lead := fleet.leaderOf("c3", "c4", "c5", "c6", "c7", "c8")
		gone := "c8"
		if lead == fleet.nodes["c8"] {
			gone = "c7"
		}
		fleet.kill(gone)
		fleet.startFresh(gone)
		fleet.until("the wiped node is a voter", func() bool { return fleet.nodes[gone].Status().Raft.Voter })
		So(fleet.submitJobs("c", 20), ShouldBeEmpty)

		// A node whose seeds do not answer, and that no other node calls, waits until it learns another address.
		fleet.startFresh("c9")
		fleet.advance(3 * time.Second)
		So(fleet.nodes["c9"].Status().Raft.Members, ShouldBeEmpty)
		fleet.nodes["c9"].LearnAddresses(lead.settings.Addr)
		fleet.until("the new node is a voter", func() bool { return fleet.nodes["c9"].Status().Raft.Voter })
	})
}
