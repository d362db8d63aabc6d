package store

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

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
