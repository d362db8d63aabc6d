package clock

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestVirtual(t *testing.T) {
	Convey("alarms ring in order of time, then of setting; one called off does not; one set on the way does", t, func() {
		var v Virtual
		var rang []string
		ring := func(name string) func() { return func() { rang = append(rang, name) } }
		v.Set(2*time.Second, ring("c"))
		v.Set(time.Second, func() {
			rang = append(rang, "a")
			v.Set(500*time.Millisecond, ring("b"))
		})
		v.Set(2*time.Second, ring("d"))
		off := v.Set(time.Second, ring("never"))
		So(off.Stop(), ShouldBeTrue)
		So(off.Stop(), ShouldBeFalse)
		v.Set(5*time.Second, ring("later"))
		v.Advance(3 * time.Second)
		So(rang, ShouldResemble, []string{"a", "b", "c", "d"})
		So(v.Now(), ShouldEqual, 3*time.Second)
	})
	Convey("the machine's clock does not go back", t, func() {
		c := Real{}
		before := c.Now()
		for range 1000 {
			now := c.Now()
			So(now, ShouldBeGreaterThanOrEqualTo, before)
			before = now
		}
	})
}
