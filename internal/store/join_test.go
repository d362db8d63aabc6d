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
