package main

import (
	"net/http"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/config"
	"crosstide/internal/controller"
	"crosstide/internal/errs"
	"crosstide/internal/rpc"
)

func TestJobsOptions(t *testing.T) {
	Convey("The settings of a front node make its options; calls and readiness are at one address", t, func() {
		settings := config.DefaultJobsDataPlane()
		settings.Addr, settings.Zone, settings.Grace, settings.Seeds = "10.0.0.1:7000", "z", 7*time.Second, []string{"10.0.1.1:7100"}
		options := jobsOptions(settings, true, log.NewNopLogger())
		So([]any{options.CoreAddresses, options.Address, options.ReadyAddress, options.Grace, options.Zone}, ShouldResemble,
			[]any{settings.Seeds, settings.Addr, "", settings.Grace, "z"})
		server := rpc.NewServer(rpc.ServerOptions{Addr: "127.0.0.1:0"})
		caller := rpc.NewClient(rpc.ClientOptions{})
		options.ServeClients(server, controller.NewClient(controller.ClientOptions{Caller: caller}))
		options.ServeReady(server, func() error { return errs.New(errs.Unavailable, "not yet") })
		So(server.Start(), ShouldBeNil)
		So(send(http.MethodGet, "http://"+server.Addr()+"/v2/queues"), ShouldEqual, http.StatusServiceUnavailable) // no core is known
		So(send(http.MethodGet, "http://"+server.Addr()+"/v2/jobs/a%20b"), ShouldEqual, http.StatusUnprocessableEntity)
		So(send(http.MethodGet, "http://"+server.Addr()+"/readyz"), ShouldEqual, http.StatusServiceUnavailable)
		So(send(http.MethodGet, "http://"+server.Addr()+"/metrics"), ShouldEqual, http.StatusOK)
		caller.Close()
		So(server.Stop(time.Minute), ShouldBeNil)
	})
}
