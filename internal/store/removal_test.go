package store

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestRemovedMember_rejoins checks that a node that was removed while it was down or partitioned detects this and
// rejoins as a new incarnation. Its log still has it as a member and no leader calls it, so it would otherwise stay out
// of the fleet.
func TestRemovedMember_rejoins(t *testing.T) {
	withOpenFleet(t, 6, func(fleet *testFleet) {
		fleet.settings.SnapshotEvery = 1 << 20 // a snapshot would tell a restarted node its committed membership
		fleet.startAll()
		all := []string{"c1", "c2", "c3", "c4", "c5", "c6"}
		fleet.waitVoters(all...)
		fleet.submitJobs("a", 50)
		// c6 is not a bootstrap member: in its folder only the log records its membership.
		for _, mode := range []string{"cut", "down", "cut c6", "down c6"} {
			removed := fleet.follower(fleet.leader()).settings.Name
			if name, isC6 := strings.CutSuffix(mode, " c6"); isC6 {
				mode, removed = name, "c6"
				fleet.moveLeaderFrom("c6")
			}
			old := fleet.nodes[removed].Status().Raft.ID
			if mode == "cut" {
				fleet.setPartitioned(true, removed)
			} else {
				fleet.kill(removed)
			}
			fleet.waitVoters(fleet.others(removed)...)
			So(fleet.submitJobs(mode+removed, 50), ShouldBeEmpty)
			took := fleet.elapsed(func() {
				if fleet.setPartitioned(false, removed); mode == "down" {
					fleet.start(removed)
				}
				fleet.until("the node detects its removal", func() bool { return fleet.wasRemoved(removed) })
				fleet.reopen(removed)
				fleet.waitVoters(all...)
			})
			Printf("\nremoved while %s, a voter again after %s", mode, took)
			So(took, ShouldBeLessThan, 3*time.Second)
			So(fleet.nodes[removed].Status().Raft.ID, ShouldNotEqual, old)
			So(fleet.submitJobs(mode+removed+"-again", 20), ShouldBeEmpty)
			fleet.waitInSync()
		}
		So(fleet.fatalErrors, ShouldBeEmpty)
	})
}
