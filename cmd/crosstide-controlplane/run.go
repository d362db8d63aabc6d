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

// program is the daemon's own part of the command line.
func program() daemon.Program[config.ControlPlane] {
	return daemon.Program[config.ControlPlane]{
		Version: version, Load: config.LoadControlPlane, Check: config.CheckControlPlane, Serve: serve,
		Common:      func(set *config.ControlPlane) *config.Common { return &set.Common },
		StringFlags: map[string]func(*config.ControlPlane) *string{"data": func(set *config.ControlPlane) *string { return &set.Data }},
		Flags:       []cli.Flag{&cli.StringFlag{Name: "data", Usage: "`FOLDER` of the store, over the settings"}},
	}
}

// serve runs a cplane until ctx ends.
func serve(ctx context.Context, set config.ControlPlane, profiles bool, logger log.Logger) error {
	err := serveLives(ctx, func(ctx context.Context, removed func()) error {
		return errs.Pass(serveLife(ctx, set, profiles, removed, logger), "a life")
	})
	return errs.Pass(err, "serve")
}

// serveLife runs one life of a cplane until ctx ends, then hands the lead over and drains.
func serveLife(ctx context.Context, set config.ControlPlane, profiles bool, removed func(), logger log.Logger) error {
	reg := daemon.Registry()
	caller := rpc.NewClient(rpc.ClientOptions{UserTimeout: 2 * set.Election, DialOverrides: set.Via, Logger: daemon.Part(logger, "caller"), Registry: reg})
	defer caller.Close()
	opt := store.Options{
		Settings: set, Net: store.NetworkOf(caller, set), Logger: daemon.Part(logger, "store"), Registry: reg,
		Fatal: func(err error) {
			_ = level.Error(logger).Log("msg", "the process ends", "err", err)
			os.Exit(1)
		},
		Removed: removed,
	}
	s, err := open(ctx, opt, logger)
	if err != nil {
		return errs.Pass(err, "open %s", set.Data)
	}
	srv := rpc.NewServer(rpc.ServerOptions{Addr: set.Addr, Logger: daemon.Part(logger, "rpc"), Registry: reg})
	s.Serve(srv)
	seeds := slices.Clone(set.Seeds)
	for _, m := range set.Members {
		seeds = append(seeds, m.Addr)
	}
	members := daemon.NewMembership(set.Common, membership.RoleControlPlane, seeds, caller, logger, reg, nil)
	rpc.Handle(srv, internalapi.Shuffle, members.Serve)
	operatorapi.Serve(srv, s, store.NameOf, members.Nodes)
	daemon.Routes(srv, reg, s.Ready)
	if profiles {
		daemon.Profiles(srv)
	}
	life := daemon.Lifecycle{Server: srv, Logger: logger, Zone: set.Zone, Grace: set.Grace, Version: version,
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
	if err := life.Run(ctx); err != nil {
		s.Stop()
		return errs.Pass(err, "run")
	}
	return nil
}

// open opens the store's folder. A damaged one is no member's disk any more: it is set aside, with an open
// membership its files are removed instead, and the node joins as a replaced machine. While the disk is full it waits.
func open(ctx context.Context, opt store.Options, logger log.Logger) (*store.Store, error) {
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

// patience is how long an operator's command waits for an answer.
const patience = 10 * time.Second
