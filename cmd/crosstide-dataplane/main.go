// Command crosstide-dataplane is a front node: it takes clients' jobs, follows the store and is a candidate for the duty
// sched; it is the clients' command too.
package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"time"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"

	"crosstide/internal/clock"
	"crosstide/internal/config"
	"crosstide/internal/daemon"
	"crosstide/internal/dataplane"
	"crosstide/internal/dataplane/scheduler"
	"crosstide/internal/errs"
	"crosstide/internal/httpapi/clientapi"
	"crosstide/internal/internalapi"
	"crosstide/internal/membership"
	"crosstide/internal/rpc"
)

// version is set by the linker.
var version = "dev"

func main() {
	if err := newApp().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "crosstide-dataplane:", err)
		os.Exit(1)
	}
}

// newApp returns the program's command line: the daemons of both deployments and the clients' commands.
func newApp() *cli.Command {
	program := daemon.Program[config.DataPlane]{
		Version: version, Load: config.LoadDataPlane, Check: config.CheckDataPlane, Serve: servePolicy,
		Common: func(settings *config.DataPlane) *config.Common { return &settings.Common },
	}
	commands := append(append(program.Commands(), policyJobCommands()...), platformCommand(), jobsCommand())
	return &cli.Command{Name: "crosstide-dataplane", Usage: "a front node of crosstide", Commands: commands}
}

func schedulerConfig(settings config.DataPlane) scheduler.Config {
	cfg := scheduler.DefaultConfig()
	cfg.RunLease, cfg.PollWait, cfg.StartWindow = settings.RunLease, settings.PollWait, settings.StartWindow
	cfg.Lateness, cfg.RoleLeaseMargin = settings.Lateness, settings.LeaseMargin
	cfg.Health.MaxShare = float64(settings.MaxUnhealthyShare) / 100
	return cfg
}

func servePolicy(ctx context.Context, settings config.DataPlane, profiles bool, logger log.Logger) error {
	registry := daemon.Registry()
	incarnation := make([]byte, 8)
	if _, err := rand.Read(incarnation); err != nil {
		return errs.Wrap(err, errs.Internal, "boot id")
	}
	caller := rpc.NewClient(rpc.ClientOptions{UserTimeout: settings.CallTimeout, DialOverrides: settings.Via, Logger: daemon.Part(logger, "caller"), Registry: registry})
	defer caller.Close()
	// The kernel must not go on resending a start order when the lease is over: its time-out is well inside the margin.
	workerCaller := rpc.NewClient(rpc.ClientOptions{UserTimeout: settings.LeaseMargin / 2, DialOverrides: settings.Via, DialTimeout: time.Second,
		Logger: daemon.Part(logger, "hold"), Registry: registry})
	defer workerCaller.Close()
	core := settings.ControlPlanes
	if len(core) == 0 {
		core = settings.Seeds // until the membership has found the cplanes
	}
	n := dataplane.New(dataplane.Options{Name: settings.Name, Addr: settings.Addr, Incarnation: hex.EncodeToString(incarnation), ControlPlanes: core, Scheduler: schedulerConfig(settings),
		CallTimeout: settings.CallTimeout, QueueLimit: settings.QueueLimit, Clock: clock.Real{}, Logger: daemon.Part(logger, "dataplane"),
		Caller: caller, WorkerCaller: workerCaller})
	registry.MustRegister(dataplane.NewCollector(n))
	var learn func([]string)
	if len(settings.ControlPlanes) == 0 {
		learn = n.SetControlPlanes
	}
	members := daemon.NewMembership(settings.Common, membership.RoleDataPlane, settings.Seeds, caller, logger, registry, learn)
	srv := rpc.NewServer(rpc.ServerOptions{Addr: settings.Addr, Logger: daemon.Part(logger, "rpc"), Registry: registry})
	clientapi.Register(srv, n, clientapi.Options{Timeout: settings.CallTimeout, Seed: uint64(incarnation[0])<<8 | uint64(incarnation[1])})
	rpc.Handle(srv, internalapi.AnnounceWorker, n.Announce)
	rpc.Handle(srv, internalapi.Shuffle, members.Serve)
	n.Routes(srv)
	daemon.Routes(srv, registry, n.Ready)
	if profiles {
		daemon.Profiles(srv)
	}
	lifecycle := daemon.Lifecycle{Server: srv, Logger: logger, Zone: settings.Zone, Grace: settings.Grace, Version: version,
		Start: func() {
			members.Start(context.Background())
			n.Start(context.Background())
		},
		Drain: func(leave context.Context) {
			n.StepDown(leave)
			members.Stop(leave)
		},
		Stop: n.Stop,
	}
	return errs.Pass(lifecycle.Run(ctx), "run")
}
