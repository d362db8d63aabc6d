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
// daemon's own code with it. What the goroutines of a started store wait for is a question here, and the caller
// decides when a sync is done or a message arrives. Net must answer at once. Example:
//
//	s, err := store.Active(options)
//	h := s.ByHand()
//	h.Pass()                   // a turn of the loop
//	b := h.TakeDiskBatch()              // what waits for the disk, nil if nothing
//	err = b.Write()            // later: it is synced,
//	b.MarkStored()                 // and the store takes that in
//	err = h.RunSnapshotter()            // the shadow follows, slots are written
//	for _, p := range h.TakeMessages() { send(p.Addr, p.Call) }
type ManualDriver struct {
	store   *Store
	wanted  *raft.FetchSnapshot
	fetched *fetchedSnapshot
}

// Manual gives the store's driver; the store must not be started.
func (s *Store) Manual() *ManualDriver {
	s.manual = &ManualDriver{store: s}
	return s.manual
}

// IsMember tells whether the node knows who it is.
func (h *ManualDriver) IsMember() bool { return h.store.core != nil }

// Bootstrap begins a fleet as settle does once all members were found fresh.
func (h *ManualDriver) Bootstrap() error { return errs.Pass(h.store.bootstrap(nil), "found") }

// ResolveEmptyFolder is one round of asking the other members what the empty folder means.
func (h *ManualDriver) ResolveEmptyFolder() error {
	s := h.store
	answers := map[string]internalapi.DiscoverAnswer{}
	for _, m := range s.settings.Members {
		if m.ID == s.settings.Name {
			continue
		}
		if a, err := s.opt.Net.BootstrapStatus(context.Background(), m.Addr, s.discoverCall()); err == nil {
			answers[m.ID] = a
		}
	}
	if v, _ := decideBootstrap(s.settings.Name, s.incarnation, s.digest(), len(s.settings.Members), answers, nil); v == fleetExists {
		return errs.Pass(s.startNewIncarnation(), "settle")
	}
	return nil
}

// JoinCall gives the call that takes this node in; false if it is a voter or never was another.
func (h *ManualDriver) JoinCall() (call internalapi.JoinCall, addr string, ok bool) {
	s := h.store
	if s.core == nil || s.id == s.settings.Name || s.status.Voter {
		return call, "", false
	}
	return s.joinCall(), s.status.LeaderAddr, true
}

// Pass is a turn of the loop.
func (h *ManualDriver) Pass() {
	if h.store.core != nil {
		h.store.pass()
	}
}

// OutboundCall is a call with replication messages.
type OutboundCall struct {
	Addr string
	Call internalapi.RaftCall
}

// TakeMessages takes the messages to other members, in the order of their IDs.
func (h *ManualDriver) TakeMessages() (out []OutboundCall) {
	if h.store.halted {
		return nil
	}
	for _, id := range slices.Sorted(maps.Keys(h.store.peers.byID)) {
		p := h.store.peers.byID[id]
		for len(p.queue) > 0 {
			out = append(out, OutboundCall{p.addr, internalapi.RaftCall{From: h.store.settings.Addr, Messages: p.takeBatch()}})
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
func (h *ManualDriver) TakeDiskBatch() *DiskBatch {
	if h.store.disk.busySince != 0 || h.store.halted {
		return nil
	}
	if w := h.store.takeDiskWrites(); len(w) > 0 {
		return &DiskBatch{h.store, w}
	}
	return nil
}

// Write writes and syncs the batch; Stored must follow.
func (b *DiskBatch) Write() error { return errs.Pass(b.store.writeBatch(b.writes), "write") }

// MarkStored takes in that the batch is synced.
func (b *DiskBatch) MarkStored() { b.store.onStored(b.writes) }

// Entries are those in the batch, in the order of writing.
func (b *DiskBatch) Entries() (out []raft.Entry) {
	for _, w := range b.writes {
		out = append(out, w.entries...)
	}
	return out
}

// RunSnapshotter brings the shadow up and adopts a fetched image once the disk is idle.
func (h *ManualDriver) RunSnapshotter() error {
	fetched, err := h.store.applyStored(context.Background())
	if err != nil {
		return errs.Pass(err, "shade")
	}
	if fetched != nil && h.store.freeze(fetched) {
		h.fetched = fetched
	}
	if h.fetched == nil || !h.store.isDiskIdle() {
		return nil
	}
	fetched, h.fetched = h.fetched, nil
	defer h.store.unfreeze()
	return errs.Pass(h.store.replaceWithFetched(context.Background(), fetched), "shade")
}

// FetchSnapshot fetches the snapshot that the core asked for, at once; nothing if it asked for none.
func (h *ManualDriver) FetchSnapshot() error {
	if h.wanted == nil || h.fetched != nil {
		return nil
	}
	wanted := *h.wanted
	h.wanted, h.store.snapshots.fetching = nil, false
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // no rests between tries
	fetched, err := h.store.fetchDecoded(ctx, wanted)
	if err == nil {
		h.store.snapshots.toInstall = fetched
	}
	return errs.Pass(err, "fetch")
}

// Proposal is a command under way.
type Proposal struct {
	store  *Store
	waiter *waiter
}

// Propose is Store.Propose without the wait.
func (h *ManualDriver) Propose(c command.Command) (*Proposal, error) {
	data, err := command.Encode(h.store.clock.Wall(), c)
	if err != nil {
		return nil, errs.Pass(err, "propose")
	}
	w := &waiter{data: data, done: make(chan outcome, 1)}
	if err := h.store.enqueueProposal(w); err != nil {
		return nil, errs.Pass(err, "propose")
	}
	return &Proposal{h.store, w}, nil
}

// Done gives the outcome; false while there is none.
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

// ClaimRole is Store.ClaimRole up to its proposal: the answer, or a command to propose and then to tell Granted of.
func (h *ManualDriver) ClaimRole(call internalapi.ClaimRoleCall) (a internalapi.RoleLease, current state.Role, c command.Command, err error) {
	a, current, c, err = h.store.evaluateRoleCall(call)
	return a, current, c, errs.Pass(err, "duty")
}

// FinishRoleCall ends what Duty began.
func (h *ManualDriver) FinishRoleCall(call internalapi.ClaimRoleCall, current state.Role, index uint64, err error) (internalapi.RoleLease, error) {
	a, err := h.store.finishRoleCall(call, current, index, err)
	return a, errs.Pass(err, "duty")
}

// ChangesAfter is Store.Follow without the wait: nil if the caller lacks nothing.
func (h *ManualDriver) ChangesAfter(version uint64) (*internalapi.SourceUpdate, error) {
	l, _, err := h.store.changesAfter(version, maxFollowBytes)
	return l, errs.Pass(err, "lack")
}

// ProposeGC proposes the letting go of what is old, if this node leads.
func (h *ManualDriver) ProposeGC() {
	if c := h.store.gcCommand(); c != nil {
		_, _ = h.Propose(c) // what it misses the next one does
	}
}

// State is the live state.
func (h *ManualDriver) State() *state.State { return h.store.live }

// SnapshotIndex is the index of the newest slot.
func (h *ManualDriver) SnapshotIndex() uint64 { return h.store.snapshots.newest.Index }

// WantsSnapshot tells whether the core asked for a snapshot.
func (h *ManualDriver) WantsSnapshot() bool { return h.wanted != nil && h.fetched == nil }

// Core is the replication core, nil before the node knows who it is.
func (h *ManualDriver) Core() *raft.Core { return h.store.core }
