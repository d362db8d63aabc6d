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
		o := newOperatorsFixture()
		o.force(`{"queues":{"default":{"placement":{"near":[{"label":"data","value":"s","within":"rack"}]},"hold":"9s","retries":1}},"retries":7}`)
		for _, m := range []state.Worker{{Name: "m1", Zone: "z1", Rack: "r1"}, {Name: "m2", Zone: "z1", Rack: "r1", Labels: map[string]string{"data": "s"}},
			{Name: "m3", Zone: "z2", Rack: "r1"}} {
			_, err := o.do(&Announce{Worker: m})
			So(err, ShouldBeNil)
			o.st.Workers[m.Name].Incarnation = "b"
		}
		spec := &state.Spec{Queue: "default", Steps: []state.StepSpec{{Type: "t"}}}
		fits := func(name string) string { return o.st.PlacementRefusal(spec, &spec.Steps[0], o.st.Workers[name]) }
		So([]string{fits("m1"), fits("m2"), fits("m3")}, ShouldResemble, []string{"", "", "near"})
		b := &o.st.Bundle
		So([]any{b.LeaseTTLFor("default", 20*time.Second), b.LeaseTTLFor("x", 20*time.Second), b.RetriesFor("default", 5), b.RetriesFor("x", 9)},
			ShouldResemble, []any{9 * time.Second, 20 * time.Second, 1, 7})
		_, err := o.do(&CloseWorker{Order: "c1", Worker: "m2", Retire: true})
		So(err, ShouldBeNil)
		So(fits("m1"), ShouldEqual, "near")
		So(o.st.WaitReason(spec), ShouldEqual, "")
		v := o.force(`{"queues":{"other":{}}}`)
		So([]string{fits("m1"), o.st.WaitReason(spec)}, ShouldResemble, []string{"queue", fmt.Sprintf("no queue default in bundle %d", v)})
	})
}
