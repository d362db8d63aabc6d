package main

import (
	"context"
	"os"
	"slices"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/urfave/cli/v3"

	"crosstide/internal/config"
	"crosstide/internal/daemon"
	"crosstide/internal/errs"
	"crosstide/internal/httpapi/operatorapi"
	"crosstide/internal/internalapi"
	"crosstide/internal/membership"
	"crosstide/internal/rpc"
	"crosstide/internal/store"
)

// dataFlag returns the flag for the data folder of the store.
func dataFlag() cli.Flag {
	return &cli.StringFlag{Name: "data", Usage: "`FOLDER` of the store; overrides the settings"}
}

// policyProgram returns the daemon's commands in the policy deployment.
func policyProgram() daemon.Program[config.ControlPlane] {
	return daemon.Program[config.ControlPlane]{
		Version: version, Load: config.LoadControlPlane, Check: config.CheckControlPlane, Serve: servePolicy,
		Common: func(settings *config.ControlPlane) *config.Common { return &settings.Common },
		StringFlags: map[string]func(*config.ControlPlane) *string{
			"data": func(settings *config.ControlPlane) *string { return &settings.Data },
		},
		Flags: []cli.Flag{dataFlag()},
	}
}

// servePolicy runs a control-plane node until ctx ends.
func servePolicy(ctx context.Context, settings config.ControlPlane, profiles bool, logger log.Logger) error {
	err := runIncarnations(ctx, func(ctx context.Context, removed func()) error {
		return errs.Pass(servePolicyIncarnation(ctx, settings, profiles, removed, logger), "incarnation")
	})
	return errs.Pass(err, "serve")
}

// servePolicyIncarnation runs one incarnation of a control-plane node until ctx ends, then transfers leadership and
// drains. Every incarnation has its own store, server and metrics registry.
func servePolicyIncarnation(ctx context.Context, settings config.ControlPlane, profiles bool, removed func(),
	logger log.Logger) error {
	registry := daemon.Registry()
	caller := rpc.NewClient(rpc.ClientOptions{UserTimeout: 2 * settings.ElectionTimeout, DialOverrides: settings.Via,
		Logger: daemon.Part(logger, "caller"), Registry: registry})
	defer caller.Close()
	opened, err := openStore(ctx, store.Options{
		Settings: settings, Net: store.NewNet(caller, settings),
		Logger: daemon.Part(logger, "store"), Registry: registry,
		Fatal: func(err error) {
			_ = level.Error(logger).Log("msg", "store failed, process exits", "err", err)
			os.Exit(1)
		},
		Removed: removed,
	}, logger)
	if err != nil {
		return errs.Pass(err, "open %s", settings.Data)
	}
	server := rpc.NewServer(rpc.ServerOptions{Addr: settings.Addr,
		Logger: daemon.Part(logger, "rpc"), Registry: registry})
	members := daemon.NewMembership(settings.Common, membership.RoleControlPlane, memberSeeds(settings), caller, logger,
		registry, nil)
	opened.Serve(server)
	rpc.Handle(server, internalapi.Shuffle, members.Serve)
	operatorapi.Register(server, opened, store.NameOf, members.Nodes)
	daemon.Routes(server, registry, opened.Ready)
	if profiles {
		daemon.Profiles(server)
	}
	lifecycle := daemon.Lifecycle{Server: server, Logger: logger,
		Zone: settings.Zone, Grace: settings.Grace, Version: version,
		Start: func() {
			opened.Start()
			members.Start(context.Background())
		},
		Drain: func(leave context.Context) {
			opened.TransferLeadership(leave)
			members.Stop(leave)
		},
		Stop: opened.Stop,
	}
	if err := lifecycle.Run(ctx); err != nil {
		opened.Stop()
		return errs.Pass(err, "run")
	}
	return nil
}

// memberSeeds returns the addresses that the membership contacts first: the seeds in the settings and the store's
// bootstrap members.
func memberSeeds(settings config.ControlPlane) []string {
	seeds := slices.Clone(settings.Seeds)
	for _, member := range settings.Members {
		seeds = append(seeds, member.Addr)
	}
	return seeds
}
