package store

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRemovedMember_rejoins(t *testing.T) {
	withOpenFleet(t, 6, func(fleet *testFleet) {
		fleet.settings.SnapshotEvery = 1 << 20 // from a snapshot a restarted node would know a committed membership
		fleet.startAll()
		all := []string{"c1", "c2", "c3", "c4", "c5", "c6"}
		fleet.waitVoters(all...)
		fleet.submitJobs("a", 50)
		// c6 is no bootstrap member: its folder has its membership in the log only.
		for _, mode := range []string{"cut", "down", "cut c6", "down c6"} {
			gone := fleet.follower(fleet.leader()).settings.Name
			if name, isC6 := strings.CutSuffix(mode, " c6"); isC6 {
				mode, gone = name, "c6"
				fleet.moveLeaderFrom("c6")
			}
			old := fleet.nodes[gone].Status().Raft.ID
			if mode == "cut" {
				fleet.setCut(true, gone)
			} else {
				fleet.kill(gone)
			}
			fleet.waitVoters(fleet.others(gone)...)
			So(fleet.submitJobs(mode+gone, 50), ShouldBeEmpty)
			took := fleet.elapsed(func() {
				if fleet.setCut(false, gone); mode == "down" {
					fleet.start(gone)
				}
				fleet.until("it finds out", func() bool { return fleet.wasRemoved(gone) })
				fleet.reopen(gone)
				fleet.waitVoters(all...)
			})
			Printf("\nremoved while %s, a voter again after %s", mode, took)
			So(took, ShouldBeLessThan, 3*time.Second)
			So(fleet.nodes[gone].Status().Raft.ID, ShouldNotEqual, old)
			So(fleet.submitJobs(mode+gone+"-again", 20), ShouldBeEmpty)
			fleet.waitLevel()
		}
		So(fleet.died, ShouldBeEmpty)
	})
}
