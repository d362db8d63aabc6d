package main

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/rpc"
	"crosstide/platform"
)

func TestCoreOptions(t *testing.T) {
	Convey("The platform's settings make a core node's options", t, func() {
		core := platform.CoreSettings{Name: "10.1.0.10", InternalAddress: "10.1.0.10:7720", ControlAddress: "10.1.0.10:7800",
			Grace: 6 * time.Second, OrdersByHeartbeat: true, Descriptors: 4000, Scheduler: platform.SchedulerSettings{JobRetention: time.Minute}}
		options := coreOptions(core, log.NewNopLogger())
		So([]any{options.Store.Addr, options.ControlAddress, options.Grace, options.JobRetention, options.OrdersByHeartbeat, options.Descriptors}, ShouldResemble,
			[]any{"10.1.0.10:7720", "10.1.0.10:7800", 5500 * time.Millisecond, 2 * time.Minute, true, 4000})
		So(options.Workers(nil, nil), ShouldHaveSameTypeAs, &platform.Workers{})
	})
}

func TestExchanger(t *testing.T) {
	Convey("A platform request goes out over the caller, and any status comes back with its head", t, func() {
		s := rpc.NewServer(rpc.ServerOptions{Addr: "127.0.0.1:0"})
		s.Route("POST /work", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Seen", r.Header.Get("X-Sent"))
			rpc.WriteJSON(w, http.StatusConflict, "no")
		})
		So(s.Start(), ShouldBeNil)
		caller := rpc.NewClient(rpc.ClientOptions{})
		defer caller.Close()
		r, err := exchanger{caller}.Exchange(context.Background(), s.Addr(), platform.Request{Method: "POST", Path: "/work",
			Header: map[string]string{"X-Sent": "v"}, Body: []byte("{}")}, 5*time.Second)
		So(err, ShouldBeNil)
		So([]any{r.Status, r.Header["X-Seen"], string(r.Body)}, ShouldResemble, []any{409, []string{"v"}, "\"no\"\n"})
		So(s.Stop(time.Second), ShouldBeNil)
	})
}
