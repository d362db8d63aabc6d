// Package store is the runtime of a control-plane node: it connects the replication core (internal/raft) to a clock, a
// disk and the other nodes, applies what is committed to the live state (internal/state), and serves that state. It
// decides nothing about jobs: what a command does stands in internal/state/command, what is replicated when in
// internal/raft.
//
// How it is driven. Store.mu guards the core, the live state and all that stands below it in Store. The goroutines are:
//
//	loop            ticks the core, proposes, applies, hands out what the core has ready (loop.go: begin here)
//	runDiskWriter   stores what the core wants stored, one sync for all that is queued (diskwriter.go)
//	runSnapshotter  keeps a second replica of the state and writes snapshots from it (snapshotter.go)
//	runSender       one for each peer: sends its queue (peer.go)
//	fetch           at need: downloads a snapshot of another node (installsnapshot.go)
//	runGC, installOperatorKeys, joinFleet or joinOpenFleet, watchRemoval
//
// No goroutine waits for a disk or a network under the lock. A simulator drives the same steps on one goroutine, by
// ManualDriver (manual.go).
//
// The way of a command: Propose (propose.go), the pending proposals (proposals.go), a pass of the loop, the core, the
// disk writers of a majority, apply (apply.go), the waiter of Propose.
package store

import (
	"context"
	"crypto/rand"
	"hash/maphash"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"

	"crosstide/internal/clock"
	"crosstide/internal/config"
	"crosstide/internal/errs"
	"crosstide/internal/raft"
	"crosstide/internal/routine"
	"crosstide/internal/state"
	"crosstide/internal/storage"
)

// Options of a store; Settings, Disk, Net and Fatal are needed, with an open membership Removed too.
type Options struct {
	Settings config.ControlPlane
	Disk     storage.Disk
	Net      Net
	// Fatal is called, once, after a failed write or sync, or when the state cannot be trusted. It must end the
	// process.
	Fatal func(error)
	// Removed is called, once, when this node was removed from the members while it was away: its folder is discarded.
	// It must see to it that the store is stopped and its folder opened anew; the node joins as a new incarnation then.
	// Needed with an open membership.
	Removed  func()
	Damaged  bool                  // an earlier folder was set aside as damaged: never bootstrap a fleet
	Seed     uint64                // of the election time-outs; 0: a random one
	RandomID func() string         // returns names that no other process has; default crypto/rand.Text
	Clock    clock.Clock           // default clock.Real
	Logger   log.Logger            // default: none
	Registry prometheus.Registerer // default: no metrics
}

// withDefaults fills in what the caller left out.
func (opt Options) withDefaults() Options {
	if opt.Clock == nil {
		opt.Clock = clock.Real{}
	}
	if opt.Logger == nil {
		opt.Logger = log.NewNopLogger()
	}
	if opt.RandomID == nil {
		opt.RandomID = rand.Text
	}
	if opt.Seed == 0 {
		opt.Seed = new(maphash.Hash).Sum64()
	}
	return opt
}

// Store is one node of the replicated control store.
type Store struct {
	// Fixed from Open on.
	opt         Options
	settings    config.ControlPlane // opt.Settings
	clock       clock.Clock
	logger      log.Logger
	group       *routine.Group // of all goroutines
	metrics     *metrics
	storage     *storage.Store // has a lock of its own
	incarnation string         // of this process
	manual      *ManualDriver  // drives the store in the place of its goroutines; nil in a daemon
	wakeLoop    chan struct{}  // capacity 1: the loop has something to do

	// snapshotter is owned by the snapshotter goroutine; no lock guards it.
	snapshotter snapshotter

	mu sync.Mutex // guards all below

	id     string      // in raft: the node's name, or name~incarnation; fixed before core is set
	core   *raft.Core  // nil until the node knows whether it bootstraps or joins
	status raft.Status // of the core, as of the last pass
	frozen bool        // a snapshot is being installed: no message enters the core, no output leaves it
	halted bool        // a write failed or the node was removed: nothing leaves it any more; never reset

	live      *state.State
	changed   chan struct{} // closed, and made anew, when the live state moves on
	unapplied []raft.Entry  // committed, not in the live state yet

	lastTick   time.Duration
	proposals  proposals
	disk       diskQueue
	snapshots  snapshots
	served     snapshotCache
	peers      peers
	progress   followerProgress
	leadership leadership
	membership membership
	rollout    rolloutReport
}

// Open reads the folder and makes a store that takes part in nothing yet. Failures: Disk, Damaged (see Options).
// Example:
//
//	s, err := store.Open(store.Options{Settings: settings, Disk: disk, Net: store.NetworkOf(client, settings),
//		Fatal: die})
//	s.Serve(server)
//	s.Start()
//	defer s.Stop()
func Open(opt Options) (*Store, error) {
	opt = opt.withDefaults()
	if strings.Contains(opt.Settings.Name, "~") {
		return nil, errs.Field(errs.Settings, "name", "must not hold ~, which sets the incarnation of a folder apart")
	}
	stats, set := newMetrics(), opt.Settings
	s := &Store{
		opt:         opt,
		settings:    set,
		clock:       opt.Clock,
		logger:      opt.Logger,
		group:       routine.New(context.Background()),
		metrics:     stats,
		incarnation: opt.RandomID()[:12],
		wakeLoop:    make(chan struct{}, 1),
		live:        state.New(),
		changed:     make(chan struct{}),
		proposals:   newProposals(opt.Clock, stats.commits),
		disk:        diskQueue{wake: make(chan struct{}, 1)},
		snapshots:   snapshots{wake: make(chan struct{}, 1)},
		peers:       newPeers(),
		progress:    newFollowerProgress(),
		leadership:  leadership{leases: newRoleLeases(set.RoleLease, set.RoleLease/10)},
		membership:  membership{known: map[string]bool{}},
		rollout:     newRolloutReport(),
	}
	if err := s.recoverFolder(); err != nil {
		return nil, errs.Pass(err, "open the store")
	}
	s.metrics.register(s, opt.Registry) // only now: after a failure Open is called again
	return s, nil
}

// Start lets the store take part. It returns at once.
func (s *Store) Start() { s.group.Go(s.run) }

// Stop ends all of the store's goroutines and closes its folder. Nothing that was acknowledged is lost by it.
func (s *Store) Stop() {
	s.group.Stop()
	if err := s.storage.Close(); err != nil {
		_ = level.Error(s.logger).Log("msg", "storage close failed", "err", err)
	}
}

// run starts the goroutines once the node knows who it is, and becomes the loop.
func (s *Store) run(ctx context.Context) {
	if s.core == nil && !s.resolveEmptyFolder(ctx) {
		return
	}
	s.group.Go(s.runDiskWriter)
	s.group.Go(s.runSnapshotter)
	s.group.Go(s.runGC)
	s.group.Go(s.installOperatorKeys)
	switch {
	case s.id != s.settings.Name && s.settings.OpenMembership:
		s.group.Go(s.joinOpenFleet)
	case s.id != s.settings.Name:
		s.group.Go(s.joinFleet)
	}
	if s.settings.OpenMembership {
		s.group.Go(s.watchRemoval)
	}
	s.loop(ctx)
}

// fatal halts the store and has the process ended.
func (s *Store) fatal(err error) {
	if s.halt() {
		_ = level.Error(s.logger).Log("msg", "store halted", "err", err)
		s.opt.Fatal(err)
	}
}

// halt ends the use of the store for good: nothing leaves it any more. It tells whether the store was in use until now.
func (s *Store) halt() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasHalted := s.halted
	s.halted = true
	return !wasHalted
}

// NameOf returns the name of the control-plane node that has a raft ID: what stands before the incarnation.
func NameOf(id string) string {
	name, _, _ := strings.Cut(id, "~")
	return name
}
