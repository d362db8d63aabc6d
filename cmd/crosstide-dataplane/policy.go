package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/go-kit/log"

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

// policyProgram returns the daemon's commands in the policy deployment.
func policyProgram() daemon.Program[config.DataPlane] {
	return daemon.Program[config.DataPlane]{
		Version: version, Load: config.LoadDataPlane, Check: config.CheckDataPlane, Serve: servePolicy,
		Common: func(settings *config.DataPlane) *config.Common { return &settings.Common },
	}
}

// servePolicy runs a data-plane node until ctx ends, then steps down from the scheduler role and drains.
func servePolicy(ctx context.Context, settings config.DataPlane, profiles bool, logger log.Logger) error {
	registry := daemon.Registry()
	incarnation := make([]byte, 8)
	if _, err := rand.Read(incarnation); err != nil {
		return errs.Wrap(err, errs.Internal, "incarnation ID")
	}
	caller := rpc.NewClient(rpc.ClientOptions{UserTimeout: settings.CallTimeout, DialOverrides: settings.Via,
		Logger: daemon.Part(logger, "caller"), Registry: registry})
	defer caller.Close()
	// With a TCP user timeout of half the lease margin, the kernel does not resend a start order after the role lease
	// has expired.
	workerCaller := rpc.NewClient(rpc.ClientOptions{UserTimeout: settings.LeaseMargin / 2, DialOverrides: settings.Via,
		DialTimeout: time.Second, Logger: daemon.Part(logger, "worker-caller"), Registry: registry})
	defer workerCaller.Close()
	options := nodeOptions(settings, logger)
	options.Incarnation, options.Caller, options.WorkerCaller = hex.EncodeToString(incarnation), caller, workerCaller
	node := dataplane.New(options)
	registry.MustRegister(dataplane.NewCollector(node))
	var onControlPlanes func(addresses []string)
	if len(settings.ControlPlanes) == 0 {
		onControlPlanes = node.SetControlPlanes
	}
	members := daemon.NewMembership(settings.Common, membership.RoleDataPlane, settings.Seeds, caller, logger, registry,
		onControlPlanes)
	server := rpc.NewServer(rpc.ServerOptions{Addr: settings.Addr,
		Logger: daemon.Part(logger, "rpc"), Registry: registry})
	seed := uint64(incarnation[0])<<8 | uint64(incarnation[1])
	clientapi.Register(server, node, clientapi.Options{Timeout: settings.CallTimeout, Seed: seed})
	rpc.Handle(server, internalapi.AnnounceWorker, node.Announce)
	rpc.Handle(server, internalapi.Shuffle, members.Serve)
	node.Routes(server)
	daemon.Routes(server, registry, node.Ready)
	if profiles {
		daemon.Profiles(server)
	}
	return errs.Pass(nodeLifecycle(settings, server, node, members, logger).Run(ctx), "run")
}

// nodeOptions maps settings to a node's options, except for the incarnation ID and the callers.
func nodeOptions(settings config.DataPlane, logger log.Logger) dataplane.Options {
	controlPlanes := settings.ControlPlanes
	if len(controlPlanes) == 0 {
		controlPlanes = settings.Seeds // until the membership has found the control-plane nodes
	}
	return dataplane.Options{Name: settings.Name, Addr: settings.Addr, ControlPlanes: controlPlanes,
		Scheduler: schedulerConfig(settings), CallTimeout: settings.CallTimeout, QueueLimit: settings.QueueLimit,
		Clock: clock.Real{}, Logger: daemon.Part(logger, "dataplane")}
}

// schedulerConfig maps settings to the scheduler's settings.
func schedulerConfig(settings config.DataPlane) scheduler.Config {
	config := scheduler.DefaultConfig()
	config.RunLease, config.PollWait, config.StartWindow = settings.RunLease, settings.PollWait, settings.StartWindow
	config.MaxOrderDelay, config.RoleLeaseMargin = settings.Lateness, settings.LeaseMargin
	config.Health.MaxEjectedShare = float64(settings.MaxUnhealthyShare) / 100
	return config
}

// nodeLifecycle returns the steps in which a node starts and stops. It steps down from the scheduler role before it
// leaves the membership.
func nodeLifecycle(settings config.DataPlane, server *rpc.Server, node *dataplane.Node, members *membership.Node,
	logger log.Logger) daemon.Lifecycle {
	return daemon.Lifecycle{Server: server, Logger: logger,
		Zone: settings.Zone, Grace: settings.Grace, Version: version,
		Start: func() {
			members.Start(context.Background())
			node.Start(context.Background())
		},
		Drain: func(leave context.Context) {
			node.StepDown(leave)
			members.Stop(leave)
		},
		Stop: node.Stop,
	}
}
