package main

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/controller"
	"crosstide/internal/errs"
	"crosstide/internal/jobs"
	"crosstide/internal/rpc"
	"crosstide/platform"
)

// startLeader starts a fake control-plane node that answers every call about a job with the state cancelled.
func startLeader() *rpc.Server {
	server := rpc.NewServer(rpc.ServerOptions{Addr: "127.0.0.1:0"})
	rpc.Handle(server, controller.JobEndpoint, func(context.Context, controller.JobCall) (controller.JobAnswer, error) {
		return controller.JobAnswer{State: jobs.Cancelled}, nil
	})
	So(server.Start(), ShouldBeNil)
	return server
}

// send sends a request and returns the status of the response.
func send(method, url string) int {
	request, err := http.NewRequest(method, url, nil)
	So(err, ShouldBeNil)
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	So(err, ShouldBeNil)
	So(response.Body.Close(), ShouldBeNil)
	return response.StatusCode
}

func TestDataPlaneOptions(t *testing.T) {
	Convey("A data-plane node on the platform forwards clients' calls and reports its readiness", t, func() {
		leader := startLeader()
		node := platform.NodeSettings{
			ClientAddress: "10.0.0.1:80", ReadyAddress: "10.0.0.1:81", Seeds: []string{leader.Addr()},
			Zone: "z", StopGracePeriod: 3 * time.Second, MaxDescriptors: 4000,
		}
		options := dataPlaneOptions(node, log.NewNopLogger())
		So(options.ControlPlaneAddresses, ShouldResemble, node.Seeds)
		So(options.Address, ShouldEqual, node.ClientAddress)
		So(options.ReadyAddress, ShouldEqual, node.ReadyAddress)
		So(options.Descriptors, ShouldEqual, 4000)
		So(options.Grace, ShouldEqual, node.StopGracePeriod)
		So(options.Zone, ShouldEqual, node.Zone)
		server := rpc.NewServer(rpc.ServerOptions{Addr: "127.0.0.1:0"})
		caller := rpc.NewClient(rpc.ClientOptions{})
		client := controller.NewClient(controller.ClientOptions{Caller: caller, Seeds: options.ControlPlaneAddresses})
		options.ServeClients(server, client)
		ready := errs.New(errs.Unavailable, "not yet")
		options.ServeReady(server, func() error { return ready })
		So(server.Start(), ShouldBeNil)
		url := "http://" + server.Addr()
		So(send(http.MethodDelete, url+"/queue/00000000000000a1"), ShouldEqual, http.StatusOK)
		So(send(http.MethodGet, url+platform.ReadinessPath), ShouldEqual, http.StatusServiceUnavailable)
		ready = nil
		So(send(http.MethodGet, url+platform.ReadinessPath), ShouldEqual, http.StatusOK)
		caller.Close()
		So(server.Stop(time.Minute), ShouldBeNil)
		So(leader.Stop(time.Minute), ShouldBeNil)
	})
	Convey("Reading the seeds fails if the settings cannot be read", t, func() {
		t.Setenv("CROSSTIDE_SETTINGS", "")
		_, err := dataPlaneOptions(platform.NodeSettings{}, log.NewNopLogger()).ReadSeeds()
		So(errs.KindOf(err), ShouldEqual, errs.Settings)
	})
}
