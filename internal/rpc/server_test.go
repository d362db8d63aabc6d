package rpc

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
	"crosstide/internal/routine"
)

func TestServer_blockedHandlers(t *testing.T) {
	Convey("500 blocked handlers do not delay another call, and Stop waits until they return", t, func() {
		h := newHarness(t)
		defer h.Client.Close()
		group := routine.New(ctx)
		var answered atomic.Int32
		for range 500 {
			group.Go(func(ctx context.Context) {
				if _, err := Call(ctx, h.Client, h.Addr(), block, message{}, time.Hour); err == nil {
					answered.Add(1)
				}
			})
		}
		for range 500 {
			<-h.entered
		}
		_, err := Call(ctx, h.Client, h.Addr(), echo, message{}, time.Hour)
		So(err, ShouldBeNil)
		close(h.gate)
		group.Wait()
		So(answered.Load(), ShouldEqual, 500)
		So(len(h.Client.pool.idle[h.Addr()]), ShouldEqual, h.Client.opt.MaxIdlePerAddress)
		So(h.Stop(time.Hour), ShouldBeNil)
	})
}

func TestServer_stopAfterAnswers(t *testing.T) {
	Convey("Stop closes no connection before the handlers that it waited for have written their responses", t, func() {
		for range 20 {
			h := newHarness(t)
			So(h.stopDuringCalls(100), ShouldBeEmpty)
			h.Client.Close()
		}
	})
}

// stopDuringCalls stops the server while calls of block run, then lets them return, and returns their errors.
func (h *harness) stopDuringCalls(count int) (failed chan error) {
	calls, stop := routine.New(ctx), routine.New(ctx)
	failed = make(chan error, count)
	for range count {
		calls.Go(func(ctx context.Context) {
			if _, err := Call(ctx, h.Client, h.Addr(), block, message{}, time.Hour); err != nil {
				failed <- err
			}
		})
	}
	for range count {
		<-h.entered
	}
	stop.Go(func(context.Context) { _ = h.Stop(time.Hour) })
	waitUntil(func() bool {
		h.Server.mu.Lock()
		defer h.Server.mu.Unlock()
		return h.stopping
	})
	close(h.gate)
	calls.Wait()
	stop.Wait()
	return failed
}

func TestServer_stopAfterStart(t *testing.T) {
	Convey("Stop right after Start returns: no event loop starts too late to see the stop", t, func() {
		for range 50 {
			newHarness(t).end(t)
		}
	})
}

func TestServer_stopAfterGrace(t *testing.T) {
	Convey("Stop rejects new requests, and ends the context of handlers that run longer than grace", t, func() {
		h := newHarness(t)
		defer h.Client.Close()
		group := routine.New(ctx)
		group.Go(func(ctx context.Context) { _, _ = Call(ctx, h.Client, h.Addr(), block, message{}, time.Hour) })
		<-h.entered
		_, err := Call(ctx, h.Client, h.Addr(), echo, message{}, time.Hour) // leaves an idle connection
		So(err, ShouldBeNil)
		stopped := make(chan error, 1)
		routine.New(ctx).Go(func(context.Context) { stopped <- h.Stop(time.Minute) })
		for err == nil { // until Stop has begun
			_, err = Call(ctx, h.Client, h.Addr(), echo, message{}, time.Hour)
		}
		So(errs.KindOf(err), ShouldEqual, errs.Stopped)
		for h.requests.Context().Err() == nil { // Stop may not have set its timer yet
			h.clock.Advance(time.Second)
		}
		So(errs.KindOf(<-stopped), ShouldEqual, errs.Timeout)
		group.Wait()
	})
}

func TestServer_wrongMethod(t *testing.T) {
	Convey("A method that is not allowed is answered with status 405, Allow and an error body", t, func() {
		h := newHarness(t)
		defer h.end(t)
		response, err := http.Get("http://" + h.Addr() + "/echo")
		So(err, ShouldBeNil)
		body, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		http.DefaultClient.CloseIdleConnections()
		So([]any{response.StatusCode, response.Header.Get("Allow")}, ShouldResemble, []any{405, "POST"})
		So(string(bytes.TrimSpace(body)), ShouldEqual,
			`{"kind":"invalid","field":"method","message":"GET is not allowed at this path"}`)
	})
}

func TestServer_startAtTakenAddress(t *testing.T) {
	Convey("Start at an address that is in use fails, and never waits for a loop that is not running yet", t, func() {
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
