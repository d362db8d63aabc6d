package command

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
	"crosstide/internal/state"
)

func TestZones(t *testing.T) {
	Convey("One operator evacuates a zone and two lift the evacuation; without operators none must sign", t, func() {
		fixture := newOperatorsFixture()
		unsigned := &EvacuateZone{Order: "o0", Zone: "z1", Start: true}
		_, err := fixture.do(unsigned)
		So(errs.KindOf(err), ShouldEqual, errs.Forbidden)
		_, err = fixture.do(fixture.zone("o1", "ada", "z1", true))
		So(err, ShouldBeNil)
		old := fixture.zone("o6", "ben", "z1", false)
		for _, test := range []struct {
			order     Command
			kind      errs.Kind
			evacuated bool // after the order
		}{
			{fixture.zone("o2", "ada", "z1", false), "", true},
			{fixture.zone("o3", "ada", "z1", false), errs.Forbidden, true},
			{fixture.zone("o2", "ada", "z1", false), "", true},
			{fixture.zone("o4", "eve", "z1", false), errs.Forbidden, true},
			{fixture.zone("o5", "ben", "z1", false), "", false},
			{fixture.zone("o7", "ben", "z1", false), errs.Unknown, false},
			{fixture.zone("o8", "ben", "z1", true), "", true},
			{old, errs.Forbidden, true}, // a signature for lifting the first evacuation
		} {
			_, err := fixture.do(test.order)
			So(errs.KindOf(err), ShouldEqual, test.kind)
			_, isEvacuated := fixture.st.Evacuated["z1"]
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
