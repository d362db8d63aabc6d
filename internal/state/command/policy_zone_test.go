package command

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
	"crosstide/internal/state"
)

func TestZones(t *testing.T) {
	Convey("One operator evacuates a zone and two lift that; without operators no signature is needed", t, func() {
		o := newOperatorsFixture()
		unsigned := &EvacuateZone{Order: "o0", Zone: "z1", Out: true}
		_, err := o.do(unsigned)
		So(errs.KindOf(err), ShouldEqual, errs.Forbidden)
		_, err = o.do(o.zone("o1", "ada", "z1", true))
		So(err, ShouldBeNil)
		old := o.zone("o6", "ben", "z1", false)
		for _, test := range []struct {
			order     Command
			kind      errs.Kind
			evacuated bool // after the order
		}{
			{o.zone("o2", "ada", "z1", false), "", true},
			{o.zone("o3", "ada", "z1", false), errs.Forbidden, true},
			{o.zone("o2", "ada", "z1", false), "", true},
			{o.zone("o4", "eve", "z1", false), errs.Forbidden, true},
			{o.zone("o5", "ben", "z1", false), "", false},
			{o.zone("o7", "ben", "z1", false), errs.Unknown, false},
			{o.zone("o8", "ben", "z1", true), "", true},
			{old, errs.Forbidden, true}, // a signature for lifting the first evacuation
		} {
			_, err := o.do(test.order)
			So(errs.KindOf(err), ShouldEqual, test.kind)
			_, isEvacuated := o.st.Evacuated["z1"]
			So(isEvacuated, ShouldEqual, test.evacuated)
		}
		withoutOperators := &operatorsFixture{st: state.New()}
		for _, order := range []Command{unsigned, &EvacuateZone{Order: "o1", Zone: "z1"}} {
			_, err := withoutOperators.do(order)
			So(err, ShouldBeNil)
		}
		So(withoutOperators.st.Evacuated, ShouldBeEmpty)
	})
}
