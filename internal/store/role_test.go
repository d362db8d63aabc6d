package store

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/internalapi"
)

func TestClaimRole(t *testing.T) {
	withFleet(t, 40, func(fleet *testFleet) {
		ask := func(holder string, epoch uint64, giveUp bool) (a internalapi.RoleLease) {
			s := fleet.leader()
			var err error
			fleet.call(func(ctx context.Context) {
				a, err = s.ClaimRole(ctx, internalapi.ClaimRoleCall{Role: "sched", Holder: holder, Addr: holder, Incarnation: "1", Epoch: epoch, Release: giveUp})
			})
			So(err, ShouldBeNil)
			return a
		}
		first := ask("a", 0, false)
		So(first.Mine, ShouldBeTrue)
		So(ask("b", 0, false).Mine, ShouldBeFalse)
		// The leader falls: the next one counts the lease anew, and still knows the epoch.
		lead := fleet.leader()
		fleet.kill(lead.settings.Name)
		So(ask("b", 0, false).Mine, ShouldBeFalse)
		So(ask("a", first.Epoch, false).Mine, ShouldBeTrue)
		var second internalapi.RoleLease
		began, tries := fleet.clock.Now(), 0
		for ; !second.Mine; tries++ {
			second = ask("b", 0, false)
			fleet.clock.Advance(50 * time.Millisecond)
		}
		So(fleet.clock.Now()-began, ShouldBeGreaterThan, fleet.settings.RoleLease)
		So(second.Epoch, ShouldBeGreaterThan, first.Epoch)
		So(ask("a", first.Epoch, false).Mine, ShouldBeFalse)
		So(ask("b", second.Epoch, true).Mine, ShouldBeFalse)
		So(ask("a", 0, false).Mine, ShouldBeTrue)
	})
}
