package rpc

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
)

func TestStartAtTakenAddress(t *testing.T) {
	Convey("A server whose address is taken says so at once, however often it is tried", t, func() {
		first := NewServer(ServerOptions{Addr: "127.0.0.1:0"})
		So(first.Start(), ShouldBeNil)
		defer func() { So(first.Stop(0), ShouldBeNil) }()
		for range 100 {
			second := NewServer(ServerOptions{Addr: first.Addr()})
			So(errs.Is(second.Start(), errs.Settings), ShouldBeTrue)
			So(second.Stop(0), ShouldBeNil)
		}
	})
}
