package controller

import (
	"bytes"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/controller/scheduler"
)

func TestHealthLog(t *testing.T) {
	Convey("Given a health log", t, func() {
		var text bytes.Buffer
		h := &healthLog{log: log.NewLogfmtLogger(&text)}
		h.report(time.Second, scheduler.Health{Workers: 48, Silent: map[string]int{}})
		Convey("nothing is logged while workers are healthy", func() {
			So(text.String(), ShouldBeEmpty)
		})
		Convey("the next report is due after healthInterval", func() {
			So(h.isDue(time.Second+healthInterval-1), ShouldBeFalse)
			So(h.isDue(time.Second+healthInterval), ShouldBeTrue)
		})
		Convey("silent workers are logged once, by zone, and so is their return", func() {
			silent := scheduler.Health{Workers: 48, Silent: map[string]int{"south": 16, "north": 1}}
			h.report(2*time.Second, silent)
			h.report(3*time.Second, silent)
			h.report(4*time.Second, scheduler.Health{Workers: 48, Silent: map[string]int{}})
			So(text.String(), ShouldEqual, "level=warn msg=\"silent workers\" of=48 zones=north:1,south:16\n"+
				"level=warn msg=\"silent workers\" of=48 zones=none\n")
		})
		Convey("lost and refused runs are logged when their number rises", func() {
			health := scheduler.Health{Workers: 48, Counts: scheduler.Counts{Lost: 5, Expired: 3, Refused: 2}}
			h.report(2*time.Second, health)
			h.report(3*time.Second, health)
			So(text.String(), ShouldEqual,
				"level=warn msg=\"runs lost, unconfirmed or refused\" lost=5 lapsed=3 doubted=0 refused=2\n")
		})
	})
}
