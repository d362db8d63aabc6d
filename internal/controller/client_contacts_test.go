package controller

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/clock"
)

func TestContactLog(t *testing.T) {
	Convey("Given an empty contact log", t, func() {
		clk := &clock.Virtual{}
		clk.Advance(time.Second)
		contacts := newContactLog(clk)
		So(contacts.isRecent(contactAny, time.Hour), ShouldBeFalse)
		So(contacts.since(contactAny, 7), ShouldEqual, 7)
		Convey("a contact is recent only for its own kind and until it is older than the maximum age", func() {
			contacts.record(contactLeader)
			clk.Advance(time.Second)
			So(contacts.isRecent(contactLeader, time.Second), ShouldBeTrue)
			So(contacts.isRecent(contactLeader, time.Second-1), ShouldBeFalse)
			So(contacts.isRecent(contactAny, time.Hour), ShouldBeFalse)
		})
		Convey("the time without contact starts at the last contact or at the start of the call, whichever is later", func() {
			contacts.record(contactAny)
			So(contacts.since(contactAny, 0), ShouldEqual, time.Second)
			So(contacts.since(contactAny, time.Minute), ShouldEqual, time.Minute)
		})
	})
}
