package controller

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/clock"
)

func TestContactLog(t *testing.T) {
	Convey("Given a log of contacts without any", t, func() {
		clk := &clock.Virtual{}
		clk.Advance(time.Second)
		contacts := newContactLog(clk)
		So(contacts.isRecent(contactAny, time.Hour), ShouldBeFalse)
		So(contacts.since(contactAny, 7), ShouldEqual, 7)
		Convey("a contact counts for its kind alone, until it is too old", func() {
			contacts.record(contactLeader)
			clk.Advance(time.Second)
			So(contacts.isRecent(contactLeader, time.Second), ShouldBeTrue)
			So(contacts.isRecent(contactLeader, time.Second-1), ShouldBeFalse)
			So(contacts.isRecent(contactAny, time.Hour), ShouldBeFalse)
		})
		Convey("the time without contact begins with the last one, at the earliest with the call", func() {
			contacts.record(contactAny)
			So(contacts.since(contactAny, 0), ShouldEqual, time.Second)
			So(contacts.since(contactAny, time.Minute), ShouldEqual, time.Minute)
		})
	})
}
