package rpc

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
	"crosstide/internal/routine"
)

func TestServer_blockedHandlers(t *testing.T) {
	Convey("500 blocked handlers do not hold up another call, and Stop lets them finish", t, func() {
		h := newHarness()
		defer h.Client.Close()
		work := routine.New(ctx)
		var mu sync.Mutex
		well := 0
		for range 500 {
			work.Go(func(ctx context.Context) {
				if _, err := Call(ctx, h.Client, h.Addr(), block, message{}, time.Hour); err == nil {
					mu.Lock()
					well++
					mu.Unlock()
				}
			})
		}
		for range 500 {
			<-h.entered
		}
		_, err := Call(ctx, h.Client, h.Addr(), echo, message{}, time.Hour)
		So(err, ShouldBeNil)
		close(h.gate)
		work.Wait()
		So(well, ShouldEqual, 500)
		So(len(h.Client.pool.idle[h.Addr()]), ShouldEqual, h.Client.opt.MaxIdlePerAddress)
		So(h.Stop(time.Hour), ShouldBeNil)
	})
}

func TestServer_stopAfterAnswers(t *testing.T) {
	Convey("Stop closes no connection before the answers of the handlers that it waited for are written", t, func() {
		for range 20 {
			h := newHarness()
			work := routine.New(ctx)
			failed := make(chan error, 100)
			for range 100 {
				work.Go(func(ctx context.Context) {
					if _, err := Call(ctx, h.Client, h.Addr(), block, message{}, time.Hour); err != nil {
						failed <- err
					}
				})
			}
			for range 100 {
				<-h.entered
			}
			stopped := routine.New(ctx)
			stopped.Go(func(context.Context) { _ = h.Stop(time.Hour) })
			for stopping := false; !stopping; runtime.Gosched() {
				h.Server.mu.Lock()
				stopping = h.stopping
				h.Server.mu.Unlock()
			}
			close(h.gate)
			work.Wait()
			stopped.Wait()
			So(failed, ShouldBeEmpty)
			h.Client.Close()
		}
	})
}

func TestServer_stopAfterStart(t *testing.T) {
	Convey("A server that is stopped right after its start stops", t, func() {
		for range 50 {
			newHarness().end()
		}
	})
}

func TestServer_stopAfterGrace(t *testing.T) {
	Convey("Stop rejects new requests, and ends handlers that outlast grace", t, func() {
		h := newHarness()
		defer h.Client.Close()
		work := routine.New(ctx)
		work.Go(func(ctx context.Context) { _, _ = Call(ctx, h.Client, h.Addr(), block, message{}, time.Hour) })
		<-h.entered
		_, err := Call(ctx, h.Client, h.Addr(), echo, message{}, time.Hour) // leaves an idle connection
		So(err, ShouldBeNil)
		stopped := make(chan error, 1)
		routine.New(ctx).Go(func(context.Context) { stopped <- h.Stop(time.Minute) })
		for err == nil { // until Stop has begun
			_, err = Call(ctx, h.Client, h.Addr(), echo, message{}, time.Hour)
		}
		So(errs.KindOf(err), ShouldEqual, errs.Stopped)
		for h.requests.Context().Err() == nil { // the timer of grace may not be set yet at first
			h.clock.Advance(time.Second)
		}
		So(errs.KindOf(<-stopped), ShouldEqual, errs.Timeout)
		work.Wait()
	})
}

func TestServer_wrongMethod(t *testing.T) {
	Convey("A rejected method is answered in JSON with the head of the table of kinds", t, func() {
		h := newHarness()
		defer h.end()
		res, err := http.Get("http://" + h.Addr() + "/echo")
		So(err, ShouldBeNil)
		body, _ := io.ReadAll(res.Body)
		_ = res.Body.Close()
		http.DefaultClient.CloseIdleConnections()
		So([]any{res.StatusCode, res.Header.Get("Allow")}, ShouldResemble, []any{405, "POST"})
		So(string(bytes.TrimSpace(body)), ShouldEqual, `{"kind":"invalid","field":"method","message":"GET is not taken here"}`)
	})
}

func TestServer_startAtTakenAddress(t *testing.T) {
	Convey("The start at an address in use fails at once, however often it is tried", t, func() {
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
