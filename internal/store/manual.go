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

// ManualDriver drives a store that was not started, step by step on one goroutine: the deterministic simulator runs the
// daemon's own code with it. Each step is one that a goroutine of a started store makes when it is woken; the caller
// decides when a sync is done or a message arrives. Nothing waits: Net must answer at once. Example:
//
//	s, err := store.Open(options)
//	d := s.Manual()
//	d.Pass()                   // a turn of the loop
//	b := d.TakeDiskBatch()     // what waits for the disk, nil if nothing
//	err = b.Write()            // later: it is synced,
//	b.MarkStored()             // and the store knows
//	err = d.RunSnapshotter()   // the replica follows, snapshots are written
//	for _, m := range d.TakeMessages() { send(m.Addr, m.Call) }
type ManualDriver struct {
	store   *Store
	wanted  *raft.FetchSnapshot // asked for by the core; nil: nothing
	fetched *fetchedSnapshot    // waits for the disk to be idle; the store is frozen meanwhile
}

// Manual returns a driver; the store must not be started then.
func (s *Store) Manual() *ManualDriver {
	s.manual = &ManualDriver{store: s}
	return s.manual
}

// IsMember tells whether the folder tells who this node is, or that was resolved: the core runs.
func (d *ManualDriver) IsMember() bool { return d.store.core != nil }

// Bootstrap begins a fleet, as resolveEmptyFolder does once all members were found fresh.
func (d *ManualDriver) Bootstrap() error { return errs.Pass(d.store.bootstrap(nil), "found") }

// ResolveEmptyFolder is one round of asking the other members what the empty folder means. It joins an existing fleet,
// and never bootstraps one.
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
		return errs.Pass(s.startNewIncarnation(), "settle")
	}
	return nil
}

// JoinCall returns the call that takes this node in, and the leader's address; false if it is a voter, or a bootstrap
// member under its own name.
func (d *ManualDriver) JoinCall() (call internalapi.JoinCall, addr string, ok bool) {
	s := d.store
	if s.core == nil || s.id == s.settings.Name || s.status.Voter {
		return call, "", false
	}
	return s.joinCall(), s.status.LeaderAddr, true
}

// Pass is a turn of the loop.
func (d *ManualDriver) Pass() {
	if d.store.core != nil {
		d.store.pass()
	}
}

// OutboundCall is a call with replication messages.
type OutboundCall struct {
	Addr string
	Call internalapi.RaftCall
}

// TakeMessages takes the messages to other members, in the order of their IDs.
func (d *ManualDriver) TakeMessages() (out []OutboundCall) {
	if d.store.halted {
		return nil
	}
	for _, id := range slices.Sorted(maps.Keys(d.store.peers.byID)) {
		p := d.store.peers.byID[id]
		for len(p.queue) > 0 {
			call := internalapi.RaftCall{From: d.store.settings.Addr, Messages: p.takeBatch()}
			out = append(out, OutboundCall{p.addr, call})
		}
	}
	return out
}

// DiskBatch is what waits for one sync.
type DiskBatch struct {
	store  *Store
	writes []diskWrite
}

// TakeDiskBatch takes what waits for the disk; nil if it is busy or there is nothing.
func (d *ManualDriver) TakeDiskBatch() *DiskBatch {
	if d.store.disk.busySince != 0 || d.store.halted {
		return nil
	}
	if w := d.store.takeDiskWrites(); len(w) > 0 {
		return &DiskBatch{d.store, w}
	}
	return nil
}

// Write writes and syncs the batch; MarkStored must follow.
func (b *DiskBatch) Write() error { return errs.Pass(b.store.writeBatch(b.writes), "write") }

// MarkStored reports to the store that the batch is synced.
func (b *DiskBatch) MarkStored() { b.store.onStored(b.writes) }

// Entries returns those in the batch, in the order of writing.
func (b *DiskBatch) Entries() (out []raft.Entry) {
	for _, w := range b.writes {
		out = append(out, w.entries...)
	}
	return out
}

// RunSnapshotter applies what is stored to the replica, writes the snapshots that are due, and installs a fetched one
// once the disk is idle.
func (d *ManualDriver) RunSnapshotter() error {
	fetched, err := d.store.applyStored(context.Background())
	if err != nil {
		return errs.Pass(err, "shade")
	}
	if fetched != nil && d.store.freeze(fetched) {
		d.fetched = fetched
	}
	if d.fetched == nil || !d.store.isDiskIdle() {
		return nil
	}
	fetched, d.fetched = d.fetched, nil
	defer d.store.unfreeze()
	return errs.Pass(d.store.replaceWithFetched(context.Background(), fetched), "shade")
}

// FetchSnapshot downloads the snapshot that the core asked for, at once; nothing if it asked for none.
func (d *ManualDriver) FetchSnapshot() error {
	if d.wanted == nil || d.fetched != nil {
		return nil
	}
	wanted := *d.wanted
	d.wanted, d.store.snapshots.fetching = nil, false
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // no pauses between tries
	fetched, err := d.store.fetchDecoded(ctx, wanted)
	if err == nil {
		d.store.snapshots.toInstall = fetched
	}
	return errs.Pass(err, "fetch")
}

// Proposal is a command without an outcome yet.
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

// Done returns the outcome; false while there is none.
func (p *Proposal) Done() (index uint64, answer any, err error, ok bool) {
	select {
	case o := <-p.waiter.done:
		return o.index, o.answer, o.err, true
	default:
		return 0, nil, nil, false
	}
}

// Abandon ends the wait, as Store.Propose does after 2 s.
func (p *Proposal) Abandon() error {
	return errs.Pass(p.store.abandonProposal(p.waiter).err, "propose")
}

// ClaimRole is Store.ClaimRole up to its proposal: the answer, or a command to propose, after whose outcome
// FinishRoleCall must be called.
func (d *ManualDriver) ClaimRole(call internalapi.ClaimRoleCall) (
	answer internalapi.RoleLease, current state.Role, c command.Command, err error,
) {
	answer, current, c, err = d.store.evaluateRoleCall(call)
	return answer, current, c, errs.Pass(err, "duty")
}

// FinishRoleCall answers a call by the outcome of the command that ClaimRole returned.
func (d *ManualDriver) FinishRoleCall(call internalapi.ClaimRoleCall, before state.Role, index uint64, err error) (
	internalapi.RoleLease, error,
) {
	answer, err := d.store.finishRoleCall(call, before, index, err)
	return answer, errs.Pass(err, "duty")
}

// ChangesAfter is Store.Follow without the wait: nil if the caller lacks nothing.
func (d *ManualDriver) ChangesAfter(version uint64) (*internalapi.SourceUpdate, error) {
	update, _, err := d.store.changesAfter(version, maxFollowBytes)
	return update, errs.Pass(err, "lack")
}

// ProposeGC proposes to purge what is past its retention, if this node leads.
func (d *ManualDriver) ProposeGC() {
	if c := d.store.gcCommand(); c != nil {
		_, _ = d.Propose(c) // a failed one is made up for by the next
	}
}

// State returns the live state.
func (d *ManualDriver) State() *state.State { return d.store.live }

// SnapshotIndex returns the index of the newest snapshot.
func (d *ManualDriver) SnapshotIndex() uint64 { return d.store.snapshots.newest.Index }

// WantsSnapshot tells whether the core asked for a snapshot that FetchSnapshot has not fetched yet.
func (d *ManualDriver) WantsSnapshot() bool { return d.wanted != nil && d.fetched == nil }

// Core returns the replication core; nil before IsMember.
func (d *ManualDriver) Core() *raft.Core { return d.store.core }
