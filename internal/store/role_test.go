package store

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/internalapi"
)

// TestClaimRole_afterLeaderChange checks that a new leader does not grant a role to another node while the holder may
// still count its lease, although the new leader does not know when its predecessor last renewed that lease.
func TestClaimRole_afterLeaderChange(t *testing.T) {
	withFleet(t, 40, func(fleet *testFleet) {
		claim := func(holder string, epoch uint64, release bool) (lease internalapi.RoleLease) {
			s := fleet.leader()
			call := internalapi.ClaimRoleCall{Role: "sched", Holder: holder, Addr: holder, Incarnation: "1",
				Epoch: epoch, Release: release}
			var err error
			fleet.call(func(ctx context.Context) { lease, err = s.ClaimRole(ctx, call) })
			So(err, ShouldBeNil)
			return lease
		}
		first := claim("a", 0, false)
		So(first.Mine, ShouldBeTrue)
		So(claim("b", 0, false).Mine, ShouldBeFalse)
		// After the leader fails, the next one restarts the lease at its own election and still knows the epoch.
		lead := fleet.leader()
		fleet.kill(lead.settings.Name)
		So(claim("b", 0, false).Mine, ShouldBeFalse)
		So(claim("a", first.Epoch, false).Mine, ShouldBeTrue)
		var second internalapi.RoleLease
		start := fleet.clock.Now()
		for !second.Mine {
			second = claim("b", 0, false)
			fleet.clock.Advance(50 * time.Millisecond)
		}
		So(fleet.clock.Now()-start, ShouldBeGreaterThan, fleet.settings.RoleLease)
		So(second.Epoch, ShouldBeGreaterThan, first.Epoch)
		So(claim("a", first.Epoch, false).Mine, ShouldBeFalse)
		So(claim("b", second.Epoch, true).Mine, ShouldBeFalse)
		So(claim("a", 0, false).Mine, ShouldBeTrue)
	})
}
