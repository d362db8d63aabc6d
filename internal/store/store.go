// Package store is the runtime of a cplane: it gives the replication core its clock, disk and network, applies
// what is committed to the live state, and answers for it.
//
// One mutex guards the core and the live state. The goroutines are: the loop (ticks, output of the core,
// applying), the disk (one sync for all that is pending), the shadow (a second replica of the state that writes
// the slots, so that the live one is never locked for that), a sender for each peer, and, at need, a fetch.
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
	"crosstide/internal/internalapi"
	"crosstide/internal/raft"
	"crosstide/internal/routine"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
	"crosstide/internal/storage"
)

const (
	pollInterval      = 10 * time.Millisecond // of what is waited for but gives no sign
	ticksPerHeartbeat = 4                     // of the core, in one Heartbeat
	maxReadyLag       = 2 * time.Second       // a ready node was level with its leader within it
	gcInterval        = 10 * time.Second
	takeoverPeriod    = 2 * time.Second // of a new leader: no snapshot is written meanwhile
)

// Net carries the calls to other cplanes at an address; all end by their own time-out.
type Net interface {
	SendMessages(ctx context.Context, addr string, call internalapi.RaftCall) error
	FetchChunk(ctx context.Context, addr string, call internalapi.ChunkCall) (internalapi.ChunkAnswer, error)
	BootstrapStatus(ctx context.Context, addr string, call internalapi.DiscoverCall) (internalapi.DiscoverAnswer, error)
	Join(ctx context.Context, addr string, call internalapi.JoinCall) (internalapi.JoinAnswer, error)
	Propose(ctx context.Context, addr string, call internalapi.ProposeCall) (internalapi.ProposeAnswer, error)
	ReadIndex(ctx context.Context, addr string) (internalapi.ReadIndexAnswer, error)
	Rollout(ctx context.Context, addr string) (internalapi.RolloutAnswer, error)
}

// Options of a store; Settings, Disk, Net and Fatal are needed, with an open membership Removed too.
type Options struct {
	Settings config.ControlPlane
	Disk     storage.Disk
	Net      Net
	// Fatal is told of a failed write or sync, of a state that cannot be trusted. It must end the process.
	Fatal func(error)
	// Removed is told, once, that this node was removed from the members while it was away: its folder is void. It
	// must see to it that the store is stopped and its folder opened anew; the node joins as a new incarnation then.
	// Needed with an open membership.
	Removed  func()
	Damaged  bool                  // an earlier folder was set aside as damaged: never found a fleet
	Seed     uint64                // of the election time-outs; 0 draws one
	RandomID func() string         // of names that no other process has; default crypto/rand.Text
	Clock    clock.Clock           // default clock.Real
	Logger   log.Logger            // default: none
	Registry prometheus.Registerer // default: not shown
}

// Store is a running cplane's part in the control store.
type Store struct {
	opt         Options
	settings    config.ControlPlane
	clock       clock.Clock
	logger      log.Logger
	group       *routine.Group
	manual      *ManualDriver // who drives the store in place of its goroutines; nil in a daemon
	metrics     *metrics
	storage     *storage.Store
	incarnation string // of this process
	id          string // in the quorum; fixed before core is set

	wakeLoop chan struct{} // capacity 1: the loop has something to do

	mu           sync.Mutex
	core         *raft.Core // nil until the node knows who it is
	live         *state.State
	status       raft.Status // as of the last pass
	peers        map[string]*peer
	learnedAddrs map[string]string // addresses of nodes that are not in the member set yet, by ID
	knownAddrs   map[string]bool   // addresses of nodes that others told of; of an open fleet only
	changed      chan struct{}     // closed when the live state moved on
	lastTick     time.Duration
	frozen       bool // a snapshot is being installed: nothing goes into the core or out of it
	halted       bool // a write failed: nothing leaves any more

	proposals   proposals
	unapplied   []raft.Entry // committed, not in the live state yet
	leaderTerm  uint64       // 0: not leading
	leaderSince time.Duration
	roleLeases  *roleLeases

	leaderCommit              uint64        // commit index the leader told
	leaderHeardAt, caughtUpAt time.Duration // told at, level at
	disk                      diskQueue
	snapshots                 snapshots
	snapshotter               snapshotter // of the snapshotter goroutine, not under mu
	bootstrapMembers          map[string]string
	served                    snapshotCache
	ownBundle                 internalapi.NodeBundle            // the bundle of the live state
	followerBundles           map[string]internalapi.NodeBundle // by node
}

// Active reads the folder and makes a store that takes part in nothing yet. Failures: Disk, Damaged (see Options).
// Example:
//
//	s, err := store.Active(store.Options{Settings: settings, Disk: disk, Net: store.Wire(caller, settings), Fatal: die})
//	s.Serve(server)
//	s.Start()
//	defer s.Stop()
func Open(opt Options) (*Store, error) {
	opt = opt.withDefaults()
	if strings.Contains(opt.Settings.Name, "~") {
		return nil, errs.Field(errs.Settings, "name", "must not hold ~, which sets the incarnation of a folder apart")
	}
	s := &Store{
		opt: opt, settings: opt.Settings, clock: opt.Clock, logger: opt.Logger, group: routine.New(context.Background()),
		incarnation: opt.RandomID()[:12],
		wakeLoop:    make(chan struct{}, 1), disk: diskQueue{wake: make(chan struct{}, 1)}, snapshots: snapshots{wake: make(chan struct{}, 1)},
		live: state.New(), peers: map[string]*peer{}, learnedAddrs: map[string]string{}, knownAddrs: map[string]bool{}, changed: make(chan struct{}),
		followerBundles: map[string]internalapi.NodeBundle{}, roleLeases: newRoleLeases(opt.Settings.RoleLease, opt.Settings.RoleLease/10),
		caughtUpAt: -maxReadyLag * 2,
	}
	s.metrics = newMetrics()
	s.proposals = newProposals(s.clock, s.metrics.commits)
	if err := s.recoverFolder(); err != nil {
		return nil, errs.Pass(err, "open the store")
	}
	s.metrics.register(s, opt.Registry) // only now: after a failure Open is called again
	return s, nil
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

// Start lets the store take part. It returns at once.
func (s *Store) Start() { s.group.Go(s.run) }

// Stop ends all of the store's goroutines. Nothing that was acknowledged is lost by it.
func (s *Store) Stop() {
	s.group.Stop()
	if err := s.storage.Close(); err != nil {
		_ = level.Error(s.logger).Log("msg", "close the store", "err", err)
	}
}

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

// signal wakes the goroutine that waits on c.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sleep waits for d; false if ctx ended first.
func (s *Store) sleep(ctx context.Context, d time.Duration) bool { return sleep(ctx, s.clock, d) }

func sleep(ctx context.Context, by clock.Clock, d time.Duration) bool {
	expired := make(chan struct{})
	defer by.Set(d, func() { close(expired) }).Stop()
	select {
	case <-expired:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Store) loop(ctx context.Context) {
	var ring clock.Stopper
	wake := func() { signal(s.wakeLoop) }
	for {
		due := s.pass()
		if s.catchingUp() {
			s.sleep(ctx, applyPause)
		}
		if ring != nil {
			ring.Stop()
		}
		ring = s.clock.Set(due, wake)
		select {
		case <-ctx.Done():
			ring.Stop()
			s.mu.Lock()
			s.proposals.failAll(errs.New(errs.Stopped, "the store is stopping; the proposal may or may not be committed"))
			s.mu.Unlock()
			return
		case <-s.wakeLoop:
		}
	}
}

// pass is one turn of the loop; it gives the time to the next tick.
func (s *Store) pass() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	tick := s.tickInterval()
	if s.frozen || s.halted {
		return tick
	}
	if now-s.lastTick >= tick {
		s.core.Tick(now)
		s.lastTick = now
		s.stepDownIfDiskHangs(now)
		s.removeSilent(now)
	}
	s.proposePending(now)
	r := s.core.Ready()
	before := s.status
	s.status = s.core.Status()
	s.enqueueMessages(r.Messages)
	s.disk.add(r)
	s.apply(r.CommittedEntries)
	s.onStatusChange(before, now)
	s.startFetch(r.Fetch)
	return s.untilNextPass(now)
}

// untilNextPass is the time until the core needs a tick; a follower waits for messages until it may stand for leader.
func (s *Store) untilNextPass(now time.Duration) time.Duration {
	next := s.lastTick + s.tickInterval()
	if s.status.Role != raft.Leader {
		next = max(next, s.core.ElectionDeadline())
	}
	return max(0, next-now)
}

// tickInterval is the time between two ticks of the core; in between the loop runs only when there is something to do.
func (s *Store) tickInterval() time.Duration { return s.settings.Heartbeat / ticksPerHeartbeat }

// apply brings committed entries into the live state and wakes who waits for them.
func (s *Store) apply(entries []raft.Entry) {
	s.unapplied = append(s.unapplied, entries...)
	batch := s.nextApplied()
	if len(batch) == 0 {
		return
	}
	for _, e := range batch {
		answer, err := applyTo(s.live, e)
		s.snapshots.unsnapshottedBytes += len(e.Data) + entryOverhead
		s.proposals.applied(e, answer, err)
	}
	s.snapshots.committed = append(s.snapshots.committed, batch...)
	signal(s.snapshots.wake)
	s.trackOwnBundle()
	close(s.changed)
	s.changed = make(chan struct{})
}

// What one pass applies at most: a node that comes back has a thousand entries to apply, and a leader that applied them
// all at once would send no heartbeat meanwhile.
const (
	applyEntries = 64
	applyBytes   = 256 << 10
	// applyPause is left to everything else between two such passes: on one processor, messages would wait for all of them.
	applyPause = time.Millisecond
)

// catchingUp tells whether committed entries wait to be applied.
func (s *Store) catchingUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.unapplied) > 0
}

// nextApplied takes the committed entries that this pass applies. A store that is driven by hand applies all.
func (s *Store) nextApplied() []raft.Entry {
	n, bytes := 0, 0
	for n < len(s.unapplied) && (s.manual != nil || n < applyEntries && bytes < applyBytes) {
		bytes += len(s.unapplied[n].Data)
		n++
	}
	batch := s.unapplied[:n:n]
	if s.unapplied = s.unapplied[n:]; len(s.unapplied) > 0 {
		signal(s.wakeLoop)
	} else {
		s.unapplied = nil
	}
	return batch
}

// applyTo applies one entry; members and the first entry of a leader move the index only.
func applyTo(to *state.State, e raft.Entry) (any, error) {
	data := e.Data
	if e.Kind != raft.Normal {
		data = nil
	}
	answer, err := command.Apply(to, e.Index, e.Term, data)
	return answer, errs.Pass(err, "entry %d", e.Index)
}

// onStatusChange does what a change of leader or members asks for.
func (s *Store) onStatusChange(before raft.Status, now time.Duration) {
	st := &s.status
	if before.Role != st.Role || before.Leader != st.Leader || before.Term != st.Term {
		_ = level.Info(s.logger).Log("msg", "role", "role", st.Role, "term", st.Term, "leader", st.Leader, "commit", st.Commit)
	}
	lead := uint64(0)
	if st.Role == raft.Leader {
		lead = st.Term
	}
	if lead != s.leaderTerm {
		s.proposals.failAll(errs.New(errs.Timeout, "the leader changed; the proposal may or may not be committed"))
		s.roleLeases.StepDown()
		s.leaderTerm, s.leaderSince = lead, now
	}
	if lead != 0 && !s.roleLeases.Active() {
		if commit, ok := s.core.LeaseReadIndex(now); ok && s.live.Index >= commit {
			s.roleLeases.BecomeLeader(now, s.live.Roles)
		}
	}
	if s.leaderHeardAt > s.caughtUpAt && s.live.Index >= s.leaderCommit {
		s.caughtUpAt = s.leaderHeardAt
	}
	s.updatePeers()
}

// stepDownIfDiskHangs gives the lead away when the own disk hangs: the others commit without it, but a node that cannot
// store must not go on deciding for them.
func (s *Store) stepDownIfDiskHangs(now time.Duration) {
	if s.status.Role == raft.Leader && s.disk.isHung(now, 2*s.settings.Election) {
		if to := s.successor(); to != "" && s.core.TransferLeadership(now, to) == nil {
			_ = level.Warn(s.logger).Log("msg", "the disk hangs: handing over", "to", to, "for", now-s.disk.busySince)
		}
	}
}

// successor is the voter, other than this node, that has most of the log, of those heard of within an Election; of two
// alike the one heard of last.
func (s *Store) successor() (to string) {
	now := s.clock.Now()
	var newest time.Duration
	for _, m := range s.status.Members {
		heard, ok := s.core.LastContact(now, m.ID)
		if m.ID == s.id || m.Learner || !ok || now-heard >= s.settings.Election {
			continue
		}
		more := s.status.Match[m.ID] > s.status.Match[to]
		if to == "" || more || s.status.Match[m.ID] == s.status.Match[to] && heard > newest {
			to, newest = m.ID, heard
		}
	}
	return to
}

// TransferLeadership gives the lead to another if this node has it, and waits until it is gone, for one Election at most.
func (s *Store) TransferLeadership(ctx context.Context) {
	s.mu.Lock()
	if s.core == nil || s.status.Role != raft.Leader {
		s.mu.Unlock()
		return
	}
	to := s.successor()
	err := s.core.TransferLeadership(s.clock.Now(), to)
	s.mu.Unlock()
	signal(s.wakeLoop)
	if err != nil {
		_ = level.Warn(s.logger).Log("msg", "no handover", "err", err)
		return
	}
	for end := s.clock.Now() + s.settings.Election; s.clock.Now() < end && s.sleep(ctx, pollInterval); {
		s.mu.Lock()
		gone := s.status.Role != raft.Leader
		s.mu.Unlock()
		if gone {
			_ = level.Info(s.logger).Log("msg", "handed over", "to", to)
			return
		}
	}
}

// runGC lets the leader propose the letting go of what is old.
func (s *Store) runGC(ctx context.Context) {
	warned := accountWarnings{}
	for s.sleep(ctx, gcInterval) {
		warned.logNew(s)
		c := s.gcCommand()
		if c == nil {
			continue
		}
		if _, _, err := s.Propose(ctx, c); err != nil {
			_ = level.Debug(s.logger).Log("msg", "tidy", "err", err)
		}
	}
}

// gcCommand gives the command that lets go of what is old; nil on a node that does not lead or if there is nothing.
func (s *Store) gcCommand() command.Command {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaderTerm == 0 || len(s.live.EndedJobs)+len(s.live.TombstoneOrder)+len(s.live.OrderKeys) == 0 && !s.live.Accounts.HasReservations() {
		return nil
	}
	at := s.clock.Wall()
	return &command.Purge{
		JobsBefore: at.Add(-s.settings.KeepEndedFor), JobsKeep: s.settings.KeepEnded,
		TombstonesBefore: at.Add(-s.settings.KeepTombstonesFor), TombstonesKeep: s.settings.KeepTombstones,
		OrdersBefore: at.Add(-s.settings.KeepTombstonesFor),
	}
}

// Ready is nil when the node knows a leader and was level with it within the last 2 s.
func (s *Store) Ready() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return errs.Pass(s.checkReady(s.clock.Now()), "ready")
}

func (s *Store) checkReady(now time.Duration) error {
	switch {
	case s.core == nil:
		return errs.New(errs.Unavailable, "not part of a fleet yet")
	case s.status.Leader == "":
		return errs.New(errs.Unavailable, "no leader is known")
	case s.status.Role == raft.Leader:
		if commit, ok := s.core.LeaseReadIndex(now); !ok || s.live.Index < commit {
			return errs.New(errs.Unavailable, "the lead is not confirmed")
		}
	case now-s.caughtUpAt > maxReadyLag:
		return errs.New(errs.Unavailable, "behind the leader: at %d of %d", s.live.Index, s.leaderCommit)
	}
	return nil
}

// Status tells how this node stands.
func (s *Store) Status() internalapi.StatusAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := internalapi.StatusAnswer{Applied: s.live.Index, Ready: s.checkReady(s.clock.Now()) == nil, Roles: map[string]internalapi.RoleLease{}}
	if s.core != nil {
		out.Raft = s.core.Status()
	}
	for name, d := range s.live.Roles {
		out.Roles[name] = internalapi.RoleLease{Epoch: d.Epoch, Holder: d.Holder, Addr: d.Addr}
	}
	return out
}

// fatal ends the use of the store for good, and the process is to end.
func (s *Store) fatal(err error) {
	if s.halt() {
		_ = level.Error(s.logger).Log("msg", "fatal", "err", err)
		s.opt.Fatal(err)
	}
}

// halt ends the use of the store for good: nothing leaves it any more. It tells whether it was in use until now.
func (s *Store) halt() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.halted
	s.halted = true
	return !was
}

// nameOf gives the name in a quorum ID: what stands before the incarnation.
func nameOf(id string) string {
	name, _, _ := strings.Cut(id, "~")
	return name
}

// NameOf gives the name of the cplane that has a quorum ID.
func NameOf(id string) string { return nameOf(id) }

// replaceState makes next the live state. Called under the lock.
func (s *Store) replaceState(next *state.State) {
	s.live = next
	s.live.OnEvent = func(n state.Event) {
		if n.Kind == state.EventRoleChanged {
			s.roleLeases.ObserveEpoch(s.clock.Now(), n.Name, s.live.Roles[n.Name].Epoch)
		}
	}
	s.trackOwnBundle()
	close(s.changed)
	s.changed = make(chan struct{})
}

// inTakeover tells whether this node has led for a short time only.
func (s *Store) inTakeover() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaderTerm != 0 && s.clock.Now()-s.leaderSince < takeoverPeriod
}
