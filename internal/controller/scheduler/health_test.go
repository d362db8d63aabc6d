package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestHealth(t *testing.T) {
	Convey("Given two workers of a zone, of which one sends heartbeats", t, func() {
		c := newCluster(1, "w1", "w2")
		c.passAfter(time.Millisecond)
		Convey("none counts as silent at first, as a new leader may not have heard from them yet", func() {
			So(c.core.Health(c.now).Silent, ShouldBeEmpty)
		})
		Convey("the other one counts as silent after SilenceTimeout", func() {
			for range 10 {
				c.passAfter(time.Second)
				c.core.Heartbeat(c.now, "w1", c.workerClock())
			}
			health := c.core.Health(c.now)
			So(health.Workers, ShouldEqual, 2)
			So(health.Silent, ShouldResemble, map[string]int{"z": 1})
		})
	})
}
