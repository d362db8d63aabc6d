package controller

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/clock"
	"crosstide/internal/jobs"
	"crosstide/internal/state/command"
)

// TestSchemaUpgrade guards against a schema that is put in force while a member of an earlier release remains, and
// against one that never is.
func TestSchemaUpgrade(t *testing.T) {
	ctx := context.Background()
	Convey("The leader puts the newest schema in force once all members support it", t, func() {
		store, clk := newFakeStore(), &clock.Virtual{}
		leader := newTestLeader(store, clk)
		pass := func() jobs.Schema {
			clk.Advance(upgradeInterval)
			leader.pass()
			leader.group.Wait()
			return store.state.JobTable.Schema
		}
		So(pass(), ShouldEqual, jobs.Schema(0))
		store.schema = jobs.NewestSchema
		So(pass(), ShouldEqual, jobs.NewestSchema)
		entries := store.index
		So(pass(), ShouldEqual, jobs.NewestSchema)
		So(store.index, ShouldEqual, entries) // nothing is proposed again
	})
	Convey("A job keeps the location to which it was submitted only under a schema that knows it", t, func() {
		for _, schema := range []jobs.Schema{0, jobs.SchemaLocations} {
			store := newFakeStore()
			_, err := store.commit(&command.JobUpgradeSchema{UpgradeSchema: jobs.UpgradeSchema{Schema: schema}})
			So(err, ShouldBeNil)
			leader := newTestLeader(store, &clock.Virtual{})
			commitConfig(store, 1)
			_, err = leader.Submit(ctx, submitCall("d"))
			So(err, ShouldBeNil)
			spec := store.state.JobTable.Jobs["j"].Spec
			So([]any{spec.Queue, spec.Location != nil}, ShouldResemble, []any{"q", schema >= jobs.SchemaLocations})
		}
	})
	Convey("A job is listed and counted under the queue that serves it now", t, func() {
		store := newFakeStore()
		_, err := store.commit(&command.JobUpgradeSchema{UpgradeSchema: jobs.UpgradeSchema{Schema: jobs.NewestSchema}})
		So(err, ShouldBeNil)
		leader := newTestLeader(store, &clock.Virtual{})
		commitConfig(store, 1)
		_, err = leader.Submit(ctx, submitCall("d"))
		So(err, ShouldBeNil)
		renamed := store.state.JobTable.Config.Queues[0]
		renamed.Name = "renamed"
		_, err = store.commit(&command.JobConfigure{Configure: jobs.Configure{Base: 1, Version: 2,
			RemoveQueues: []string{"q"}, Queues: []jobs.Queue{renamed}}})
		So(err, ShouldBeNil)
		count, err := leader.Count(ctx, CountCall{Location: Location{Host: "h", Path: "/q/"}})
		So([]any{count.Waiting, err}, ShouldResemble, []any{1, nil})
		list, err := leader.List(ctx, ListCall{Queue: "renamed", Limit: 10})
		So([]any{len(list.Jobs), err}, ShouldResemble, []any{1, nil})
		list, err = leader.List(ctx, ListCall{Queue: "q", Limit: 10})
		So([]any{len(list.Jobs), err}, ShouldResemble, []any{0, nil})
		view, err := leader.Show(ctx, ShowCall{ID: "j"})
		So([]any{view.Queue, err}, ShouldResemble, []any{"renamed", nil})
	})
}
