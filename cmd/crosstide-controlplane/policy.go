package main

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/urfave/cli/v3"

	"crosstide/internal/clock"
	"crosstide/internal/config"
	"crosstide/internal/daemon"
	"crosstide/internal/errs"
	"crosstide/internal/httpapi/operatorapi"
	"crosstide/internal/internalapi"
	"crosstide/internal/membership"
	"crosstide/internal/rpc"
	"crosstide/internal/storage"
	"crosstide/internal/store"
)

// policyProgram is the daemon's own part of the command line.
func policyProgram() daemon.Program[config.ControlPlane] {
	return daemon.Program[config.ControlPlane]{
		Version: version, Load: config.LoadControlPlane, Check: config.CheckControlPlane, Serve: servePolicy,
		Common:      func(settings *config.ControlPlane) *config.Common { return &settings.Common },
		StringFlags: map[string]func(*config.ControlPlane) *string{"data": func(settings *config.ControlPlane) *string { return &settings.Data }},
		Flags:       []cli.Flag{&cli.StringFlag{Name: "data", Usage: "`FOLDER` of the store, over the settings"}},
	}
}

// servePolicy runs a cplane until ctx ends.
func servePolicy(ctx context.Context, settings config.ControlPlane, profiles bool, logger log.Logger) error {
	err := runIncarnations(ctx, func(ctx context.Context, removed func()) error {
		return errs.Pass(serveIncarnation(ctx, settings, profiles, removed, logger), "a life")
	})
	return errs.Pass(err, "serve")
}

// serveIncarnation runs one life of a cplane until ctx ends, then hands the lead over and drains.
func serveIncarnation(ctx context.Context, settings config.ControlPlane, profiles bool, removed func(), logger log.Logger) error {
	registry := daemon.Registry()
	caller := rpc.NewClient(rpc.ClientOptions{UserTimeout: 2 * settings.Election, DialOverrides: settings.Via, Logger: daemon.Part(logger, "caller"), Registry: registry})
	defer caller.Close()
	opt := store.Options{
		Settings: settings, Net: store.NetworkOf(caller, settings), Logger: daemon.Part(logger, "store"), Registry: registry,
		Fatal: func(err error) {
			_ = level.Error(logger).Log("msg", "the process ends", "err", err)
			os.Exit(1)
		},
		Removed: removed,
	}
	s, err := openStore(ctx, opt, logger)
	if err != nil {
		return errs.Pass(err, "open %s", settings.Data)
	}
	srv := rpc.NewServer(rpc.ServerOptions{Addr: settings.Addr, Logger: daemon.Part(logger, "rpc"), Registry: registry})
	s.Serve(srv)
	seeds := slices.Clone(settings.Seeds)
	for _, m := range settings.Members {
		seeds = append(seeds, m.Addr)
	}
	members := daemon.NewMembership(settings.Common, membership.RoleControlPlane, seeds, caller, logger, registry, nil)
	rpc.Handle(srv, internalapi.Shuffle, members.Serve)
	operatorapi.Serve(srv, s, store.NameOf, members.Nodes)
	daemon.Routes(srv, registry, s.Ready)
	if profiles {
		daemon.Profiles(srv)
	}
	lifecycle := daemon.Lifecycle{Server: srv, Logger: logger, Zone: settings.Zone, Grace: settings.Grace, Version: version,
		Start: func() {
			s.Start()
			members.Start(context.Background())
		},
		Drain: func(leave context.Context) {
			s.TransferLeadership(leave)
			members.Stop(leave)
		},
		Stop: s.Stop,
	}
	if err := lifecycle.Run(ctx); err != nil {
		s.Stop()
		return errs.Pass(err, "run")
	}
	return nil
}

// openStore opens the store's folder. A damaged one is no member's disk any more: it is set aside, with an open
// membership its files are removed instead, and the node joins as a replaced machine. While the disk is full it waits.
func openStore(ctx context.Context, opt store.Options, logger log.Logger) (*store.Store, error) {
	dir := filepath.Clean(opt.Settings.Data)
	disk, err := storage.OSDisk(dir)
	if err != nil {
		return nil, errs.Pass(err, "folder")
	}
	opt.Disk = disk
	s, err := store.OpenWhenDiskHasSpace(ctx, opt)
	if !errs.Is(err, errs.Damaged) {
		return s, errs.Pass(err, "store")
	}
	if opt.Settings.OpenMembership {
		_ = level.Error(logger).Log("msg", "the folder is damaged; its files are removed", "err", err)
		if err := store.Discard(disk); err != nil {
			return nil, errs.Pass(err, "discard the damaged folder")
		}
		s, err = store.OpenWhenDiskHasSpace(ctx, opt)
		return s, errs.Pass(err, "store")
	}
	aside := dir + ".damaged-" + clock.Real{}.Wall().UTC().Format("20060102T150405")
	_ = level.Error(logger).Log("msg", "the folder is damaged; set aside", "as", aside, "err", err)
	if err := os.Rename(dir, aside); err != nil {
		return nil, errs.Wrap(err, errs.Disk, "set the damaged folder aside")
	}
	if opt.Disk, err = storage.OSDisk(dir); err != nil {
		return nil, errs.Pass(err, "folder")
	}
	opt.Damaged = true
	s, err = store.OpenWhenDiskHasSpace(ctx, opt)
	return s, errs.Pass(err, "store")
}

// callTimeout is how long an operator's command waits for an answer.
const callTimeout = 10 * time.Second
