// Package store is the runtime of a control-plane node, a member of the replicated store. It connects consensus
// (internal/raft, a step function) to a clock, a disk and the other members, applies committed entries to the live
// state (internal/state), and serves that state to the process and to other nodes.
//
// It does not elect leaders or commit entries (internal/raft does), define the commands (internal/state/command) or
// place tasks (the schedulers do, and propose commands here). It acknowledges a command only once it is committed, and
// holds a raft message back until the entries and the hard state that the message depends on are synced.
//
// # Goroutines
//
// Open reads the folder and Start starts the goroutines. Store.mu guards the raft core, the live state and the other
// fields below it in Store; no goroutine holds it while waiting for the disk or the network. Each goroutine owns:
//
//	loop                 the passes: ticks the core, proposes, applies, distributes each raft.Ready (loop.go)
//	runDiskWriter        writes to the log: one sync for all queued writes (diskwriter.go)
//	runSnapshotter       the second copy of the state, and all writing of snapshot files (snapshotter.go)
//	runSender            one per peer: the calls that carry its queue of raft messages (peer.go)
//	fetch                one download of a member's snapshot, when the core requests it (installsnapshot.go)
//	runGC                on the leader: purges of records past their retention, warnings about accounts (gc.go)
//	installOperatorKeys  on the leader: the first commit of the operators' keys (operatorkeys.go)
//	joinFleet            on a node with a new ID: calls to the leader until this node is a voter (join.go);
//	                     joinOpenFleet in an open fleet
//	watchRemoval         in an open fleet: the check whether this node was removed while unreachable (removal.go)
//
// In the deterministic simulator a ManualDriver (manual.go) runs the steps of all these goroutines on a single one.
//
// Entry point: Store, then Store.pass in loop.go, one iteration of the loop. From there:
//
//	a command        Propose (propose.go), proposals (proposals.go), pass, the core, the disk writers of a majority
//	                 (diskwriter.go), Store.apply (apply.go), and again Propose, which returns the outcome
//	a snapshot       written in snapshotter.go, served in servesnapshot.go, downloaded in downloadsnapshot.go,
//	                 installed in installsnapshot.go
//	a replica        Follow, from which a data-plane node pulls changes (follow.go)
//	a lost disk      recoverFolder (recovery.go), resolveEmptyFolder (emptyfolder.go), Join (join.go)
//	a role lease     ClaimRole (role.go), roleLeases (rolelease.go)
//	leadership       onStatusChange, TransferLeadership (leader.go)
//	a full disk      retryWhileDiskFull (diskfull.go)
//	a hung disk      stepDownIfDiskHangs (leader.go)
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

// Options configure a store. Settings, Disk, Net and Fatal are required, and Removed in an open fleet.
type Options struct {
	Settings config.ControlPlane
	Disk     storage.Disk
	Net      Net
	// Fatal is called once, after a write or sync failed or when the state cannot be trusted. It must end the process:
	// the content of the disk is unknown until the folder is opened again.
	Fatal func(error)
	// Removed is called once, if this node was removed from the members while it was down or partitioned, after its
	// folder was marked as discarded. It must cause the store to be stopped and the folder to be opened again; the node
	// then joins as a new incarnation.
	Removed  func()
	Damaged  bool                  // an earlier folder was set aside as damaged: the node never bootstraps a fleet
	Seed     uint64                // of the random election timeouts; 0 for a random seed
	RandomID func() string         // returns a globally unique string; default crypto/rand.Text
	Clock    clock.Clock           // default clock.Real
	Logger   log.Logger            // default: none
	Registry prometheus.Registerer // default: no metrics
}

// withDefaults returns opt with defaults for the fields that are not set.
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

// Store is one member of the replicated store. Its exported methods may be called from any goroutine.
type Store struct {
	// Set by Open, except for manual, which Manual sets; not changed afterwards.
	opt         Options
	settings    config.ControlPlane // opt.Settings
	clock       clock.Clock
	logger      log.Logger
	group       *routine.Group // of all goroutines
	metrics     *metrics
	storage     *storage.Store // has its own lock
	incarnation string         // random ID of this process
	manual      *ManualDriver  // drives the store instead of its goroutines; nil in a daemon
	wakeLoop    chan struct{}  // capacity 1; a signal asks the loop for a pass

	// snapshotter is owned by the goroutine runSnapshotter and needs no lock, except that startCore sets it before that
	// goroutine runs.
	snapshotter snapshotter

	// mu guards all below. The functions passed to View run under it and take locks of their callers: it comes before
	// those in the lock order.
	mu sync.Mutex

	id     string      // raft ID: the node's name, or name~incarnation; set before core and not changed afterwards
	core   *raft.Core  // nil until it is known whether this node bootstraps or joins
	status raft.Status // of core, as of the last pass
	frozen bool        // a snapshot is being installed: core receives no messages and no Ready is taken from it
	halted bool        // a write failed or the node was removed: the store sends nothing more; never reset

	live      *state.State  // replicated state with all entries up to live.Index applied
	changed   chan struct{} // closed and replaced when the live state changes
	unapplied []raft.Entry  // committed and not applied to live yet, in the order of the log

	lastTick         time.Duration // when core was last ticked, on clock
	proposals        proposals
	diskQueue        diskQueue
	snapshots        snapshots
	snapshotCache    snapshotCache
	peers            peers
	followerProgress followerProgress
	leadership       leadership
	membership       membership
	rollout          rolloutReport
}

// Open reads the folder and returns a store that neither sends nor votes before Start. Failures: Settings, Disk,
// Damaged. Example:
//
//	s, err := store.Open(store.Options{Settings: settings, Disk: disk, Net: store.NewNet(client, settings),
//		Fatal: die})
//	s.Serve(server)
//	s.Start()
//	defer s.Stop()
func Open(opt Options) (*Store, error) {
	opt = opt.withDefaults()
	if strings.Contains(opt.Settings.Name, "~") {
		return nil, errs.Field(errs.Settings, "name", "must not contain '~', which separates name and incarnation")
	}
	metrics, settings := newMetrics(), opt.Settings
	s := &Store{
		opt:              opt,
		settings:         settings,
		clock:            opt.Clock,
		logger:           opt.Logger,
		group:            routine.New(context.Background()),
		metrics:          metrics,
		incarnation:      opt.RandomID()[:12],
		wakeLoop:         make(chan struct{}, 1),
		live:             state.New(),
		changed:          make(chan struct{}),
		proposals:        newProposals(opt.Clock, metrics.commits),
		diskQueue:        diskQueue{wake: make(chan struct{}, 1)},
		snapshots:        snapshots{wake: make(chan struct{}, 1)},
		peers:            newPeers(),
		followerProgress: newFollowerProgress(),
		leadership:       leadership{leases: newRoleLeases(settings.RoleLease, settings.RoleLease/10)},
		membership:       membership{knownAddresses: map[string]bool{}},
		rollout:          newRolloutReport(),
	}
	if err := s.recoverFolder(); err != nil {
		return nil, errs.Pass(err, "open the store")
	}
	s.metrics.register(s, opt.Registry) // last: after a failed Open a caller may retry, and must not register twice
	return s, nil
}

// Start starts the goroutines of the store and returns at once.
func (s *Store) Start() { s.group.Go(s.run) }

// Stop ends all goroutines of the store and closes its folder. Nothing that was acknowledged is lost.
func (s *Store) Stop() {
	s.group.Stop()
	if err := s.storage.Close(); err != nil {
		_ = level.Error(s.logger).Log("msg", "storage close failed", "err", err)
	}
}

// run resolves an empty folder, starts the other goroutines and runs the loop.
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

// fatal halts the store and calls Options.Fatal, unless the store was halted before.
func (s *Store) fatal(err error) {
	if s.halt() {
		_ = level.Error(s.logger).Log("msg", "store halted", "err", err)
		s.opt.Fatal(err)
	}
}

// halt permanently stops the store from sending or acknowledging anything. It returns false if it was halted before.
func (s *Store) halt() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasHalted := s.halted
	s.halted = true
	return !wasHalted
}

// NameOf returns the node's name in a raft ID, which is the part before "~" and the incarnation.
func NameOf(id string) string {
	name, _, _ := strings.Cut(id, "~")
	return name
}
