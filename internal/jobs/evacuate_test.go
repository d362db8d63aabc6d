package jobs

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
)

func TestEvacuate(t *testing.T) {
	Convey("Starting or ending an evacuation a second time changes nothing", t, func() {
		table := testTable()
		before := table.bytes()
		table.Evacuate(Evacuate{Zone: "zone-1"})
		So(table.bytes(), ShouldEqual, before)
		table.Evacuate(Evacuate{Zone: "zone-1", Start: true})
		table.Evacuate(Evacuate{Zone: "zone-1", Start: true})
		So(table.Evacuated, ShouldResemble, map[string]bool{"zone-1": true})
		table.Evacuate(Evacuate{Zone: "zone-1"})
		So(table.bytes(), ShouldEqual, before)
	})
}

// TestEvacuate_base guards against an order that is applied although a newer order for its zone was acknowledged.
func TestEvacuate_base(t *testing.T) {
	based := func(start bool, base uint64) Evacuate { return Evacuate{Zone: "zone-1", Start: start, Base: &base} }
	Convey("An order is applied only on the revision that is its base", t, func() {
		table := testTable()
		So(table.Evacuate(based(true, 0)), ShouldBeNil)
		before := table.bytes()
		for _, late := range []Evacuate{based(false, 0), based(true, 0), based(false, 2)} {
			So(table.Evacuate(late), shouldBeKind, errs.Stale)
		}
		So(table.bytes(), ShouldEqual, before)
		So(table.Evacuate(based(false, 1)), ShouldBeNil)
		So(table.Evacuated, ShouldBeEmpty)
		So(table.ZoneRevisions, ShouldResemble, map[string]uint64{"zone-1": 2})
	})
	Convey("An order that repeats the current state makes earlier orders stale too, also in a copy of the table", t, func() {
		table := testTable()
		So(table.Evacuate(based(true, 0)), ShouldBeNil)
		So(table.Evacuate(based(true, 1)), ShouldBeNil)
		for _, each := range []*Table{table.decodedCopy(), table} {
			So(each.Evacuate(based(false, 1)), shouldBeKind, errs.Stale)
			So(each.Evacuated["zone-1"], ShouldBeTrue)
		}
	})
	Convey("Orders for other zones do not matter", t, func() {
		table := testTable()
		base := uint64(0)
		So(table.Evacuate(Evacuate{Zone: "zone-2", Start: true, Base: &base}), ShouldBeNil)
		So(table.Evacuate(based(true, 0)), ShouldBeNil)
	})
}
