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
	Convey("A data-plane node's settings are mapped to its options; one address serves calls and readiness", t, func() {
		settings := config.DefaultJobsDataPlane()
		settings.Addr, settings.Zone, settings.Grace = "10.0.0.1:7000", "z", 7*time.Second
		settings.Seeds, settings.MemoryMB = []string{"10.0.1.1:7100"}, 3
		options := jobsOptions(settings, true, log.NewNopLogger())
		So(options.ControlPlaneAddresses, ShouldResemble, settings.Seeds)
		So(options.Address, ShouldEqual, settings.Addr)
		So(options.ReadyAddress, ShouldEqual, "")
		So(options.Grace, ShouldEqual, settings.Grace)
		So(options.MemoryBytes, ShouldEqual, 3<<20)
		So(options.Zone, ShouldEqual, "z")
		server := rpc.NewServer(rpc.ServerOptions{Addr: "127.0.0.1:0"})
		caller := rpc.NewClient(rpc.ClientOptions{})
		options.ServeClients(server, controller.NewClient(controller.ClientOptions{Caller: caller}))
		options.ServeReady(server, func() error { return errs.New(errs.Unavailable, "not yet") })
		So(server.Start(), ShouldBeNil)
		get := func(path string) int { return send(http.MethodGet, "http://"+server.Addr()+path) }
		So(get("/v2/queues"), ShouldEqual, http.StatusServiceUnavailable) // no control-plane node is known
		So(get("/v2/jobs/a%20b"), ShouldEqual, http.StatusUnprocessableEntity)
		So(get("/readyz"), ShouldEqual, http.StatusServiceUnavailable)
		So(get("/metrics"), ShouldEqual, http.StatusOK)
		caller.Close()
		So(server.Stop(time.Minute), ShouldBeNil)
	})
}
