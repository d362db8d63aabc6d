package scheduler

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

// newZones returns a harness with four workers in each of the zones east and west; all have answered.
func newZones() *harness { return newZonesOf(4, "east", "west") }

// newZonesOf returns a harness with so many workers in each of the zones; all have answered.
func newZonesOf(count int, zones ...string) *harness {
	h := newHarness()
	for _, zone := range zones {
		for i := range count {
			worker := jobs.Worker{ID: fmt.Sprint(zone, i), Service: "s", Zone: zone, Capacity: jobs.Resources{MilliCPU: 4000}}
			So(h.table.Register(jobs.Register{Workers: []jobs.Worker{worker}}), ShouldBeNil)
		}
	}
	h.pass()
	h.answerAll(nil)
	h.pass()
	h.now += time.Second
	return h
}

func TestZoneIsVerifiedAfterLosses(t *testing.T) {
	wide := jobs.Step{Count: 9, Estimate: time.Hour, Needs: jobs.Resources{MilliCPU: 1500}}
	Convey("When several workers of a zone stop answering, its others get no starts before they have answered", t, func() {
		h := newZones()
		h.submit(wide)
		h.pass()
		So(h.startedOn(), ShouldHaveLength, 9)
		h.loseStarts("east0", "east1", "east2")
		h.submitTo("q", "more", jobs.Step{Count: 6, Estimate: time.Hour, Needs: jobs.Resources{MilliCPU: 1500}})
		h.pass()
		So(h.startedOn()["east3"], ShouldEqual, 0)
		So(h.startedOn()["west0"], ShouldEqual, 1)
		Convey("and they are probed at once", func() {
			asked := false
			for _, renewal := range h.renewals {
				if renewal.Worker.ID == "east3" {
					asked = true
					h.core.RenewalAnswered(h.now, "east3", renewal.Number, RenewalAnswer{Clock: time.Minute + h.now}, RenewalOK)
				}
			}
			So(asked, ShouldBeTrue)
			h.pass()
			So(h.startedOn()["east3"], ShouldEqual, 1)
		})
	})
	Convey("Two workers without an answer do not implicate their zone", t, func() {
		h := newZones()
		h.submit(wide)
		h.pass()
		h.loseStarts("east0", "east1")
		h.submitTo("q", "more", jobs.Step{Count: 7, Estimate: time.Hour, Needs: jobs.Resources{MilliCPU: 1500}})
		h.pass()
		So(h.startedOn()["east3"], ShouldEqual, 1)
	})
}

func TestLossesThatDoNotImplicateZone(t *testing.T) {
	lose := func(h *harness, count int) {
		for i := range count {
			h.core.markUnanswered(h.core.workers[fmt.Sprint("east", i)], h.now)
		}
	}
	verifying := func(h *harness) bool { return h.core.workers["east30"].contact.verifyAt > 0 }
	Convey("A large zone is implicated by a fraction of its workers without an answer, not by a few", t, func() {
		h := newZonesOf(100, "east")
		lose(h, 100/zoneFraction-1)
		So(verifying(h), ShouldBeFalse)
		lose(h, 100/zoneFraction)
		So(verifying(h), ShouldBeTrue)
	})
	Convey("Workers that announced their shutdown do not implicate their zone when they stop answering", t, func() {
		h := newZonesOf(40, "east")
		for i := range 20 {
			leaving := *h.table.Workers[fmt.Sprint("east", i)]
			leaving.Left = true
			So(h.table.Register(jobs.Register{Workers: []jobs.Worker{leaving}}), ShouldBeNil)
		}
		h.pass()
		lose(h, 20)
		So(verifying(h), ShouldBeFalse)
	})
}
