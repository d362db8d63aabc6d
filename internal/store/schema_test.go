package store

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/jobs"
	"crosstide/internal/raft"
	"crosstide/internal/state/command"
)

// TestMembersSupport guards against a schema that is put in force while a member runs an earlier release: that member
// would ignore the upgrade and apply later entries in another way.
func TestMembersSupport(t *testing.T) {
	withFleet(t, 40, func(fleet *testFleet) {
		lead := fleet.leader()
		fleet.until("the leader knows that all members support the newest schema", func() bool {
			return lead.MembersSupport(jobs.NewestSchema)
		})
		So(lead.MembersSupport(jobs.NewestSchema+1), ShouldBeFalse)
		old := fleet.follower(lead)
		Convey("A call of an earlier release shows that its member supports no schema", func() {
			lead.Step(internalapi.RaftCall{From: old.settings.Addr, Messages: []raft.Message{{From: old.id, To: lead.id}}})
			So(lead.MembersSupport(jobs.NewestSchema), ShouldBeFalse)
			So(lead.MembersSupport(0), ShouldBeTrue)
			fleet.until("it was upgraded", func() bool { return lead.MembersSupport(jobs.NewestSchema) })
		})
	})
}

// TestJoin_schema guards against a node of an earlier release that joins once a schema is in force.
func TestJoin_schema(t *testing.T) {
	withFleet(t, 40, func(fleet *testFleet) {
		lead := fleet.leader()
		call := internalapi.JoinCall{ID: "c3~abc", Name: "c3", Addr: "c3"}
		join := func() (err error) {
			fleet.call(func(ctx context.Context) { _, err = lead.Join(ctx, call) })
			return err
		}
		var err error
		fleet.call(func(ctx context.Context) {
			upgrade := command.JobUpgradeSchema{UpgradeSchema: jobs.UpgradeSchema{Schema: jobs.NewestSchema}}
			_, err = lead.ProposeOrForward(ctx, &upgrade)
		})
		So(err, ShouldBeNil)
		So(errs.KindOf(join()), ShouldEqual, errs.Conflict)
		call.Schema = jobs.NewestSchema
		So(join(), ShouldBeNil)
	})
}
