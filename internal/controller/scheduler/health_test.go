package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestHealth(t *testing.T) {
	Convey("Given two workers of a zone, of which one sends heartbeats", t, func() {
		b := newCluster(1, "w1", "w2")
		b.pass(time.Millisecond)
		Convey("none is silent at first: a new leader may not have heard them yet", func() {
			So(b.core.Health(b.now).Silent, ShouldBeEmpty)
		})
		Convey("the other one is silent after SilenceTimeout", func() {
			for range 10 {
				b.pass(time.Second)
				b.core.Heartbeat(b.now, "w1", b.now)
			}
			health := b.core.Health(b.now)
			So(health.Workers, ShouldEqual, 2)
			So(health.Silent, ShouldResemble, map[string]int{"z": 1})
		})
	})
}
