package scheduler

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

// newZones returns a cluster with four workers in each of the zones east and west; all have answered.
func newZones() *cluster { return newZonesOf(4, "east", "west") }

// newZonesOf returns a cluster with count workers in each of the zones; all have answered.
func newZonesOf(count int, zones ...string) *cluster {
	c := newReadyCluster()
	for _, zone := range zones {
		for i := range count {
			worker := jobs.Worker{ID: fmt.Sprint(zone, i), Service: "s", Zone: zone, Capacity: jobs.Resources{MilliCPU: 4000}}
			c.register(worker)
		}
	}
	c.runPasses()
	c.answerAll(nil)
	c.runPasses()
	c.now += time.Second
	return c
}

// TestZoneIsVerifiedAfterLosses guards against starts that are sent into a lost zone: each stays unconfirmed until the
// lease of its worker expires.
func TestZoneIsVerifiedAfterLosses(t *testing.T) {
	wide := jobs.Step{Count: 9, Estimate: time.Hour, Needs: jobs.Resources{MilliCPU: 1500}}
	Convey("When several workers of a zone stop answering, its others are sent no starts until they answer", t, func() {
		c := newZones()
		c.submit("j", wide)
		c.runPasses()
		So(c.startedOn(), ShouldHaveLength, 9)
		c.loseStarts("east0", "east1", "east2")
		c.submit("more", jobs.Step{Count: 6, Estimate: time.Hour, Needs: jobs.Resources{MilliCPU: 1500}})
		c.runPasses()
		So(c.startedOn()["east3"], ShouldEqual, 0)
		So(c.startedOn()["west0"], ShouldEqual, 1)
		Convey("and they are probed at once", func() {
			So(c.answerRenewalsOf("east3"), ShouldBeGreaterThan, 0)
			c.runPasses()
			So(c.startedOn()["east3"], ShouldEqual, 1)
		})
	})
	Convey("Two workers that stop answering do not cause a verification of their zone", t, func() {
		c := newZones()
		c.submit("j", wide)
		c.runPasses()
		c.loseStarts("east0", "east1")
		c.submit("more", jobs.Step{Count: 7, Estimate: time.Hour, Needs: jobs.Resources{MilliCPU: 1500}})
		c.runPasses()
		So(c.startedOn()["east3"], ShouldEqual, 1)
	})
}

func TestLossesThatDoNotTriggerVerification(t *testing.T) {
	lose := func(c *cluster, count int) {
		for i := range count {
			c.core.markUnanswered(c.core.workers[fmt.Sprint("east", i)], c.now)
		}
	}
	isVerifying := func(c *cluster) bool { return c.core.workers["east30"].contact.verifyAt > 0 }
	Convey("A large zone is verified only after one in zoneFraction of its workers has stopped answering", t, func() {
		c := newZonesOf(100, "east")
		lose(c, 100/zoneFraction-1)
		So(isVerifying(c), ShouldBeFalse)
		lose(c, 100/zoneFraction)
		So(isVerifying(c), ShouldBeTrue)
	})
	Convey("Workers that announced their shutdown do not cause a verification when they stop answering", t, func() {
		c := newZonesOf(40, "east")
		for i := range 20 {
			leaving := *c.table.Workers[fmt.Sprint("east", i)]
			leaving.Left = true
			c.register(leaving)
		}
		c.runPasses()
		lose(c, 20)
		So(isVerifying(c), ShouldBeFalse)
	})
}
