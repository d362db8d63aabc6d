package rpc

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sys/unix"

	"crosstide/internal/errs"
	"crosstide/internal/routine"
)

func TestCallDedicated_checkBeforeWrite(t *testing.T) {
	Convey("beforeWrite runs right before the write; its error prevents every byte and keeps its kind", t, func() {
		h := newHarness()
		defer h.end()
		l := NewDedicatedConn(h.Client, h.Addr())
		runs := 0
		check := func() error { runs++; return nil }
		got, err := CallDedicated(ctx, l, echo, message{"x"}, time.Second, check)
		So([]any{got.Text, err, runs}, ShouldResemble, []any{"x", nil, 1})
		first := l.connection
		_, err = CallDedicated(ctx, l, echo, message{"y"}, time.Second, func() error { return errs.New(errs.Stale, "lease is over") })
		So(errs.KindOf(err), ShouldEqual, errs.Stale)
		So(IsUnsent(err), ShouldBeTrue)
		So(h.count("crosstide_rpc_calls_total", "server", "/echo"), ShouldEqual, 1)
		_, err = CallDedicated(ctx, l, echo, message{"z"}, time.Second, check)
		So(err, ShouldBeNil)
		So(l.connection, ShouldNotEqual, first)
		l.Close()
		_, err = CallDedicated(ctx, l, echo, message{}, time.Second, check)
		So(errs.KindOf(err), ShouldEqual, errs.Stopped)
		So(runs, ShouldEqual, 2)
	})
}

func TestCallDedicated_partialWrite(t *testing.T) {
	Convey("When the socket takes only a part, the rest waits for beforeWrite too, and is discarded on its error", t, func() {
		h := newHarness()
		defer h.end()
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer ln.Close()
		peer := routine.New(ctx)
		var seen error
		peer.Go(func(context.Context) {
			c, _ := ln.Accept()
			<-h.gate // reads nothing until the call is over
			_, seen = io.Copy(io.Discard, c)
		})
		runs := 0
		_, err = CallDedicated(ctx, NewDedicatedConn(h.Client, ln.Addr().String()), echo, message{strings.Repeat("x", 32<<20)}, time.Second, func() error {
			if runs++; runs > 1 {
				return errs.New(errs.Stale, "lease is over")
			}
			return nil
		})
		close(h.gate)
		peer.Wait()
		So([]any{errs.KindOf(err), IsUnsent(err), runs}, ShouldResemble, []any{errs.Stale, false, 2})
		So(errors.Is(seen, unix.ECONNRESET), ShouldBeTrue)
	})
}
