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
	Convey("beforeWrite runs right before the write; its error prevents the write and keeps its kind", t, func() {
		h := newHarness(t)
		defer h.end(t)
		conn := NewDedicatedConn(h.Client, h.Addr())
		runs := 0
		check := func() error { runs++; return nil }
		got, err := CallDedicated(ctx, conn, echo, message{"x"}, time.Second, check)
		So([]any{got.Text, err, runs}, ShouldResemble, []any{"x", nil, 1})
		first := conn.connection
		leaseExpired := func() error { return errs.New(errs.Stale, "lease has expired") }
		_, err = CallDedicated(ctx, conn, echo, message{"y"}, time.Second, leaseExpired)
		So(errs.KindOf(err), ShouldEqual, errs.Stale)
		So(IsUnsent(err), ShouldBeTrue)
		So(h.count(t, "crosstide_rpc_calls_total", "server", "/echo"), ShouldEqual, 1)
		_, err = CallDedicated(ctx, conn, echo, message{"z"}, time.Second, check)
		So(err, ShouldBeNil)
		So(conn.connection, ShouldNotEqual, first)
		conn.Close()
		_, err = CallDedicated(ctx, conn, echo, message{}, time.Second, check)
		So(errs.KindOf(err), ShouldEqual, errs.Stopped)
		So(runs, ShouldEqual, 2)
	})
}

func TestCallDedicated_partialWrite(t *testing.T) {
	Convey("If the socket accepts only a part, beforeWrite runs again, and its error discards the rest", t, func() {
		h := newHarness(t)
		defer h.end(t)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer ln.Close()
		peer := routine.New(ctx)
		var readErr error
		peer.Go(func(context.Context) {
			c, _ := ln.Accept()
			<-h.gate // reads nothing until the call has returned
			_, readErr = io.Copy(io.Discard, c)
		})
		runs := 0
		expiredAfterFirst := func() error {
			if runs++; runs > 1 {
				return errs.New(errs.Stale, "lease has expired")
			}
			return nil
		}
		conn := NewDedicatedConn(h.Client, ln.Addr().String())
		_, err = CallDedicated(ctx, conn, echo, message{strings.Repeat("x", 32<<20)}, time.Second, expiredAfterFirst)
		close(h.gate)
		peer.Wait()
		So([]any{errs.KindOf(err), IsUnsent(err), runs}, ShouldResemble, []any{errs.Stale, false, 2})
		So(errors.Is(readErr, unix.ECONNRESET), ShouldBeTrue)
	})
}
