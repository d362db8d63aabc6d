package command

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/state"
)

func TestPlacementPolicies(t *testing.T) {
	Convey("Placement, lease TTLs, retries and wait reasons follow the bundle in force", t, func() {
		fixture := newOperatorsFixture()
		fixture.putInForce(`{"queues":{"default":{"placement":{"near":[{"label":"data","value":"s","within":"rack"}]},
			"hold":"9s","retries":1}},"retries":7}`)
		for _, worker := range []state.Worker{
			{Name: "m1", Zone: "z1", Rack: "r1"},
			{Name: "m2", Zone: "z1", Rack: "r1", Labels: map[string]string{"data": "s"}},
			{Name: "m3", Zone: "z2", Rack: "r1"},
		} {
			_, err := fixture.do(&Announce{Worker: worker})
			So(err, ShouldBeNil)
			fixture.st.Workers[worker.Name].Incarnation = "b"
		}
		spec := &state.Spec{Queue: "default", Steps: []state.StepSpec{{Type: "t"}}}
		refusal := func(name string) state.Refusal {
			return fixture.st.PlacementRefusal(spec, &spec.Steps[0], fixture.st.Workers[name])
		}
		So([]state.Refusal{refusal("m1"), refusal("m2"), refusal("m3")}, ShouldResemble,
			[]state.Refusal{"", "", "near"})
		So(fixture.st.Bundle.LeaseTTLFor("default", 20*time.Second), ShouldEqual, 9*time.Second)
		So(fixture.st.Bundle.LeaseTTLFor("x", 20*time.Second), ShouldEqual, 20*time.Second)
		So(fixture.st.Bundle.RetriesFor("default", 5), ShouldEqual, 1)
		So(fixture.st.Bundle.RetriesFor("x", 9), ShouldEqual, 7)
		_, err := fixture.do(&CloseWorker{Order: "c1", Worker: "m2", Retire: true})
		So(err, ShouldBeNil)
		So(refusal("m1"), ShouldEqual, state.Refusal("near"))
		So(fixture.st.WaitReason(spec), ShouldEqual, "")
		version := fixture.putInForce(`{"queues":{"other":{}}}`)
		So(refusal("m1"), ShouldEqual, state.Refusal("queue"))
		So(fixture.st.WaitReason(spec), ShouldEqual, fmt.Sprintf("no queue default in bundle %d", version))
	})
}
