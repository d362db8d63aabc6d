package clock

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestVirtual(t *testing.T) {
	Convey("timers fire in order of time, then of setting; a cancelled one does not; one set on the way does", t, func() {
		var v Virtual
		var rang []string
		timer := func(name string) func() { return func() { rang = append(rang, name) } }
		v.Set(2*time.Second, timer("c"))
		v.Set(time.Second, func() {
			rang = append(rang, "a")
			v.Set(500*time.Millisecond, timer("b"))
		})
		v.Set(2*time.Second, timer("d"))
		off := v.Set(time.Second, timer("never"))
		So(off.Stop(), ShouldBeTrue)
		So(off.Stop(), ShouldBeFalse)
		v.Set(5*time.Second, timer("later"))
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
