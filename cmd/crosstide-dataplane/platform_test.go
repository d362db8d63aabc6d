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

// startLeader starts a core of one node that cancels every job.
func startLeader() *rpc.Server {
	s := rpc.NewServer(rpc.ServerOptions{Addr: "127.0.0.1:0"})
	rpc.Handle(s, controller.JobEndpoint, func(context.Context, controller.JobCall) (controller.JobAnswer, error) {
		return controller.JobAnswer{State: jobs.Cancelled}, nil
	})
	So(s.Start(), ShouldBeNil)
	return s
}

// send makes a request and returns the answer's status.
func send(method, url string) int {
	request, err := http.NewRequest(method, url, nil)
	So(err, ShouldBeNil)
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	So(err, ShouldBeNil)
	So(response.Body.Close(), ShouldBeNil)
	return response.StatusCode
}

func TestFrontOptions(t *testing.T) {
	Convey("The platform's settings make a front node that forwards clients' calls and answers its readiness", t, func() {
		leader := startLeader()
		core := platform.CoreSettings{ClientAddress: "10.0.0.1:80", ReadyAddress: "10.0.0.1:81", Seeds: []string{leader.Addr()},
			Zone: "z", Grace: 3 * time.Second, Descriptors: 4000}
		options := frontOptions(core, log.NewNopLogger())
		So([]any{options.CoreAddresses, options.Address, options.ReadyAddress, options.Descriptors, options.Grace, options.Zone}, ShouldResemble,
			[]any{core.Seeds, core.ClientAddress, core.ReadyAddress, 4000, core.Grace, core.Zone})
		server := rpc.NewServer(rpc.ServerOptions{Addr: "127.0.0.1:0"})
		caller := rpc.NewClient(rpc.ClientOptions{})
		options.ServeClients(server, controller.NewClient(controller.ClientOptions{Caller: caller, Seeds: options.CoreAddresses}))
		ready := errs.New(errs.Unavailable, "not yet")
		options.ServeReady(server, func() error { return ready })
		So(server.Start(), ShouldBeNil)
		So(send(http.MethodDelete, "http://"+server.Addr()+"/queue/00000000000000a1"), ShouldEqual, http.StatusOK)
		So(send(http.MethodGet, "http://"+server.Addr()+platform.ReadinessPath), ShouldEqual, http.StatusServiceUnavailable)
		ready = nil
		So(send(http.MethodGet, "http://"+server.Addr()+platform.ReadinessPath), ShouldEqual, http.StatusOK)
		caller.Close()
		So(server.Stop(time.Minute), ShouldBeNil)
		So(leader.Stop(time.Minute), ShouldBeNil)
	})
	Convey("Settings that cannot be read leave the seeds", t, func() {
		t.Setenv("CROSSTIDE_SETTINGS", "")
		_, err := frontOptions(platform.CoreSettings{}, log.NewNopLogger()).ReadSeeds()
		So(errs.KindOf(err), ShouldEqual, errs.Settings)
	})
}
