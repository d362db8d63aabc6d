package jobs

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
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
