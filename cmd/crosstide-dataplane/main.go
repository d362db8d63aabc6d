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
	program := daemon.Program[config.DataPlane]{
		Version: version, Load: config.LoadDataPlane, Check: config.CheckDataPlane, Serve: serve,
		Common: func(set *config.DataPlane) *config.Common { return &set.Common },
	}
	app := &cli.Command{Name: "crosstide-dataplane", Usage: "a front node of crosstide", Commands: append(append(program.Commands(), jobCommands()...), platformCommand(), jobsCommand())}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "crosstide-dataplane:", err)
		os.Exit(1)
	}
}

func passes(set config.DataPlane) scheduler.Config {
	cfg := scheduler.DefaultConfig()
	cfg.RunLease, cfg.PollWait, cfg.StartWindow = set.RunLease, set.PollWait, set.StartWindow
	cfg.Lateness, cfg.RoleLeaseMargin = set.Lateness, set.LeaseMargin
	cfg.Health.MaxShare = float64(set.MaxUnhealthyShare) / 100
	return cfg
}

func serve(ctx context.Context, set config.DataPlane, profiles bool, logger log.Logger) error {
	reg := daemon.Registry()
	boot := make([]byte, 8)
	if _, err := rand.Read(boot); err != nil {
		return errs.Wrap(err, errs.Internal, "boot id")
	}
	caller := rpc.NewClient(rpc.ClientOptions{UserTimeout: set.CallTimeout, DialOverrides: set.Via, Logger: daemon.Part(logger, "caller"), Registry: reg})
	defer caller.Close()
	// The kernel must not go on resending a start order when the lease is over: its time-out is well inside the margin.
	minions := rpc.NewClient(rpc.ClientOptions{UserTimeout: set.LeaseMargin / 2, DialOverrides: set.Via, DialTimeout: time.Second,
		Logger: daemon.Part(logger, "hold"), Registry: reg})
	defer minions.Close()
	core := set.ControlPlanes
	if len(core) == 0 {
		core = set.Seeds // until the membership has found the cplanes
	}
	n := dataplane.New(dataplane.Options{Name: set.Name, Addr: set.Addr, Incarnation: hex.EncodeToString(boot), ControlPlanes: core, Scheduler: passes(set),
		CallTimeout: set.CallTimeout, QueueLimit: set.QueueLimit, Clock: clock.Real{}, Logger: daemon.Part(logger, "dataplane"),
		Caller: caller, WorkerCaller: minions})
	reg.MustRegister(dataplane.NewCollector(n))
	var learn func([]string)
	if len(set.ControlPlanes) == 0 {
		learn = n.SetControlPlanes
	}
	members := daemon.NewMembership(set.Common, membership.RoleDataPlane, set.Seeds, caller, logger, reg, learn)
	srv := rpc.NewServer(rpc.ServerOptions{Addr: set.Addr, Logger: daemon.Part(logger, "rpc"), Registry: reg})
	clientapi.Register(srv, n, clientapi.Options{Timeout: set.CallTimeout, Seed: uint64(boot[0])<<8 | uint64(boot[1])})
	rpc.Handle(srv, internalapi.AnnounceWorker, n.Announce)
	rpc.Handle(srv, internalapi.Shuffle, members.Serve)
	n.Routes(srv)
	daemon.Routes(srv, reg, n.Ready)
	if profiles {
		daemon.Profiles(srv)
	}
	life := daemon.Lifecycle{Server: srv, Logger: logger, Zone: set.Zone, Grace: set.Grace, Version: version,
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
	return errs.Pass(life.Run(ctx), "run")
}
