package store

import (
	"context"
	"maps"
	"slices"

	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/raft"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

// ManualDriver drives a store that was not started, step by step on one goroutine, so that the deterministic simulator
// runs the daemon's own code. Each method does a step that a goroutine of a started store does when it is woken; the
// caller decides when a sync ends or a message arrives. No step waits: Net must answer at once. Example:
//
//	s, err := store.Open(options)
//	d := s.Manual()
//	d.Pass()                   // runs one turn of the loop
//	b := d.TakeDiskBatch()     // returns the queued writes, nil if the queue is empty
//	err = b.Write()            // writes and syncs them
//	b.MarkStored()             // now, or later in simulated time
//	err = d.RunSnapshotter()   // writes snapshots that are due
//	for _, m := range d.TakeMessages() { send(m.Addr, m.Call) }
type ManualDriver struct {
	store   *Store
	wanted  *raft.FetchSnapshot // the core's request for a snapshot; nil: none
	fetched *fetchedSnapshot    // to be installed once the disk is idle; until then the store is frozen
}

// Manual returns a driver of the store, which must not be started.
func (s *Store) Manual() *ManualDriver {
	s.manual = &ManualDriver{store: s}
	return s.manual
}

// IsMember reports whether the core exists: the folder was not empty, or Bootstrap or ResolveEmptyFolder started it.
func (d *ManualDriver) IsMember() bool { return d.store.core != nil }

// Bootstrap creates a new fleet, as resolveEmptyFolder does once all members are known to be fresh.
func (d *ManualDriver) Bootstrap() error { return errs.Pass(d.store.bootstrap(nil), "bootstrap") }

// ResolveEmptyFolder is one round of resolveEmptyFolder that starts a new incarnation if a fleet exists, and never
// bootstraps one.
func (d *ManualDriver) ResolveEmptyFolder() error {
	s := d.store
	answers := map[string]internalapi.DiscoverAnswer{}
	for _, m := range s.settings.Members {
		if m.ID == s.settings.Name {
			continue
		}
		if a, err := s.opt.Net.BootstrapStatus(context.Background(), m.Addr, s.discoverCall()); err == nil {
			answers[m.ID] = a
		}
	}
	decision, _ := decideBootstrap(s.settings.Name, s.incarnation, s.digest(), len(s.settings.Members), answers, nil)
	if decision == fleetExists {
		return errs.Pass(s.startNewIncarnation(), "start as a new incarnation")
	}
	return nil
}

// JoinCall returns this node's request to join and the leader's address, "" if none is known. ok is false if the node
// is a voter or a bootstrap member, or has no core yet.
func (d *ManualDriver) JoinCall() (call internalapi.JoinCall, addr string, ok bool) {
	s := d.store
	if s.core == nil || s.id == s.settings.Name || s.status.Voter {
		return call, "", false
	}
	return s.joinCall(), s.status.LeaderAddr, true
}

// Pass runs one turn of the loop.
func (d *ManualDriver) Pass() {
	if d.store.core != nil {
		d.store.pass()
	}
}

// OutboundCall is a call with raft messages and the address to which to send it.
type OutboundCall struct {
	Addr string
	Call internalapi.RaftCall
}

// TakeMessages removes all queued messages and returns them as calls, ordered by the receiver's ID. It returns none if
// the store is halted.
func (d *ManualDriver) TakeMessages() (calls []OutboundCall) {
	if d.store.halted {
		return nil
	}
	for _, id := range slices.Sorted(maps.Keys(d.store.peers.byID)) {
		peer := d.store.peers.byID[id]
		for len(peer.queue) > 0 {
			call := d.store.raftCall(peer.takeBatch())
			calls = append(calls, OutboundCall{peer.addr, call})
		}
	}
	return calls
}

// DiskBatch holds the writes that one sync stores.
type DiskBatch struct {
	store  *Store
	writes []diskWrite
}

// TakeDiskBatch removes all queued writes and returns them. It returns nil if the queue is empty, another batch is
// being stored or the store is halted.
func (d *ManualDriver) TakeDiskBatch() *DiskBatch {
	if d.store.diskQueue.busySince != 0 || d.store.halted {
		return nil
	}
	if writes := d.store.takeDiskWrites(); len(writes) > 0 {
		return &DiskBatch{d.store, writes}
	}
	return nil
}

// Write writes and syncs the batch; MarkStored must follow.
func (b *DiskBatch) Write() error { return errs.Pass(b.store.writeBatch(b.writes), "write") }

// MarkStored reports to the store that the batch is synced.
func (b *DiskBatch) MarkStored() { b.store.onStored(b.writes) }

// Entries returns the log entries in the batch, in the order in which they are written.
func (b *DiskBatch) Entries() (entries []raft.Entry) {
	for _, w := range b.writes {
		entries = append(entries, w.entries...)
	}
	return entries
}

// RunSnapshotter applies durable entries to the snapshotter's state, writes a snapshot if one is due, and installs a
// fetched snapshot once the disk is idle.
func (d *ManualDriver) RunSnapshotter() error {
	fetched, err := d.store.applyDurableEntries(context.Background())
	if err != nil {
		return errs.Pass(err, "apply durable entries")
	}
	if fetched != nil && d.store.freeze(fetched) {
		d.fetched = fetched
	}
	if d.fetched == nil || !d.store.isDiskIdle() {
		return nil
	}
	fetched, d.fetched = d.fetched, nil
	defer d.store.unfreeze()
	return errs.Pass(d.store.replaceWithFetched(context.Background(), fetched), "install")
}

// FetchSnapshot downloads the snapshot that the core requested, if any. It returns at the first failed call.
func (d *ManualDriver) FetchSnapshot() error {
	if d.wanted == nil || d.fetched != nil {
		return nil
	}
	wanted := *d.wanted
	d.wanted, d.store.snapshots.fetching = nil, false
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // ends the pause after a failed call, and so the download
	fetched, err := d.store.downloadAndDecode(ctx, wanted)
	if err == nil {
		d.store.snapshots.toInstall = fetched
	}
	return errs.Pass(err, "fetch")
}

// Proposal is a command that was proposed by ManualDriver.Propose.
type Proposal struct {
	store  *Store
	waiter *waiter
}

// Propose is Store.Propose without the wait.
func (d *ManualDriver) Propose(c command.Command) (*Proposal, error) {
	data, err := command.Encode(d.store.clock.Wall(), c)
	if err != nil {
		return nil, errs.Pass(err, "propose")
	}
	w := &waiter{data: data, done: make(chan outcome, 1)}
	if err := d.store.enqueueProposal(w); err != nil {
		return nil, errs.Pass(err, "propose")
	}
	return &Proposal{d.store, w}, nil
}

// Done returns the outcome. ok is false while the proposal has none, and after an earlier call returned it.
func (p *Proposal) Done() (index uint64, answer any, err error, ok bool) {
	select {
	case o := <-p.waiter.done:
		return o.index, o.answer, o.err, true
	default:
		return 0, nil, nil, false
	}
}

// Abandon ends the wait and returns the error of the outcome, as Store.Propose does after proposeTimeout.
func (p *Proposal) Abandon() error {
	return errs.Pass(p.store.abandonProposal(p.waiter).err, "propose")
}

// ClaimRole is Store.ClaimRole up to its proposal. It returns the answer, or a command to propose; FinishRoleCall must
// be called with its outcome and with current.
func (d *ManualDriver) ClaimRole(call internalapi.ClaimRoleCall) (
	answer internalapi.RoleLease, current state.Role, c command.Command, err error,
) {
	answer, current, c, err = d.store.evaluateRoleCall(call)
	return answer, current, c, errs.Pass(err, "role %s", call.Role)
}

// FinishRoleCall returns the answer to a call after its command was proposed. before is the role that ClaimRole
// returned with the command; index and err are the command's outcome.
func (d *ManualDriver) FinishRoleCall(call internalapi.ClaimRoleCall, before state.Role, index uint64, err error) (
	internalapi.RoleLease, error,
) {
	answer, err := d.store.finishRoleCall(call, before, index, err)
	return answer, errs.Pass(err, "role %s", call.Role)
}

// ChangesAfter is Store.Follow without the wait; it returns nil if no entry after version is applied.
func (d *ManualDriver) ChangesAfter(version uint64) (*internalapi.SourceUpdate, error) {
	update, _, err := d.store.changesAfter(version, maxFollowBytes)
	return update, errs.Pass(err, "changes after %d", version)
}

// ProposeGC proposes to purge records past their retention, if this node leads.
func (d *ManualDriver) ProposeGC() {
	if c := d.store.gcCommand(); c != nil {
		_, _ = d.Propose(c) // after a failure the next call purges the same records
	}
}

// State returns the live state; the caller must not change it.
func (d *ManualDriver) State() *state.State { return d.store.live }

// SnapshotIndex returns the index of the newest snapshot.
func (d *ManualDriver) SnapshotIndex() uint64 { return d.store.snapshots.newest.Index }

// WantsSnapshot reports whether FetchSnapshot has a snapshot to download.
func (d *ManualDriver) WantsSnapshot() bool { return d.wanted != nil && d.fetched == nil }

// Core returns the replication core; nil while IsMember is false.
func (d *ManualDriver) Core() *raft.Core { return d.store.core }
