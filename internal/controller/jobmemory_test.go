package controller

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/jobs"
)

func TestJobMemory(t *testing.T) {
	spec := func(id string, tasks int) *jobs.Spec {
		return &jobs.Spec{ID: id, Steps: []jobs.Step{{Count: tasks}}}
	}
	Convey("Submissions that are being committed count until they are released", t, func() {
		table := jobs.NewTable()
		m := &jobMemory{limit: spec("a", 1000).Footprint() + spec("b", 10).Footprint()}
		release, err := m.reserve(table, spec("a", 1000))
		So(err, ShouldBeNil)
		_, err = m.reserve(table, spec("c", 1000))
		So(errs.KindOf(err), ShouldEqual, errs.Overloaded)
		_, err = m.reserve(table, spec("b", 10))
		So(err, ShouldBeNil)
		release()
		_, err = m.reserve(table, spec("c", 1000))
		So(err, ShouldBeNil)
	})
	Convey("The jobs of the table count, and a repeated submission is never rejected", t, func() {
		ctx := context.Background()
		store := newFakeStore()
		commitConfig(store, 1)
		leader := newTestLeader(store, &clock.Virtual{})
		first := submitCall("a")
		leader.jobMemory.limit = first.Spec.Footprint() + 1
		_, err := leader.Submit(ctx, first)
		So(err, ShouldBeNil)
		second := submitCall("b")
		second.Spec.ID = "other"
		_, err = leader.Submit(ctx, second)
		So(errs.KindOf(err), ShouldEqual, errs.Overloaded)
		_, err = leader.Submit(ctx, first)
		So(err, ShouldBeNil)
	})
}
