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

func TestControlPlaneOptions(t *testing.T) {
	Convey("The platform's settings are mapped to a control-plane node's options", t, func() {
		node := platform.NodeSettings{
			Name: "10.1.0.10", InternalAddress: "10.1.0.10:7720", ControlAddress: "10.1.0.10:7800",
			StopGracePeriod: 6 * time.Second, OrdersByHeartbeat: true, MaxDescriptors: 4000,
			Scheduler: platform.SchedulerSettings{JobRetention: time.Minute},
		}
		options := controlPlaneOptions(node, log.NewNopLogger())
		So(options.Store.Addr, ShouldEqual, "10.1.0.10:7720")
		So(options.ControlAddress, ShouldEqual, "10.1.0.10:7800")
		So(options.Grace, ShouldEqual, 5500*time.Millisecond)
		So(options.JobRetention, ShouldEqual, 2*time.Minute)
		So(options.OrdersByHeartbeat, ShouldBeTrue)
		So(options.Descriptors, ShouldEqual, 4000)
		So(options.Workers(nil, nil), ShouldHaveSameTypeAs, &platform.Workers{})
	})
}

func TestExchanger(t *testing.T) {
	Convey("A request is sent through the client, and the response is returned with its header for any status", t, func() {
		server := rpc.NewServer(rpc.ServerOptions{Addr: "127.0.0.1:0"})
		server.Route("POST /work", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Seen", r.Header.Get("X-Sent"))
			rpc.WriteJSON(w, http.StatusConflict, "no")
		})
		So(server.Start(), ShouldBeNil)
		caller := rpc.NewClient(rpc.ClientOptions{})
		defer caller.Close()
		request := platform.Request{
			Method: "POST", Path: "/work", Header: map[string]string{"X-Sent": "v"}, Body: []byte("{}"),
		}
		response, err := exchanger{caller}.Exchange(context.Background(), server.Addr(), request, 5*time.Second)
		So(err, ShouldBeNil)
		So(response.Status, ShouldEqual, 409)
		So(response.Header["X-Seen"], ShouldResemble, []string{"v"})
		So(string(response.Body), ShouldEqual, "\"no\"\n")
		So(server.Stop(time.Second), ShouldBeNil)
	})
}
