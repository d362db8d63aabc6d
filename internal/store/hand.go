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
//	s, err := store.Open(options)
//	h := s.ByHand()
//	h.Pass()                   // a turn of the loop
//	b := h.Disk()              // what waits for the disk, nil if nothing
//	err = b.Write()            // later: it is synced,
//	b.Stored()                 // and the store takes that in
//	err = h.Shade()            // the shadow follows, slots are written
//	for _, p := range h.Out() { send(p.Addr, p.Call) }
type ManualDriver struct {
	store *Store
	want  *raft.FetchSnapshot
	in    *install
}

// Manual gives the store's driver; the store must not be started.
func (s *Store) Manual() *ManualDriver {
	s.hand = &ManualDriver{store: s}
	return s.hand
}

// Member tells whether the node knows who it is.
func (h *ManualDriver) Member() bool { return h.store.core != nil }

// Found begins a fleet as settle does once all members were found fresh.
func (h *ManualDriver) Found() error { return errs.Pass(h.store.found(nil), "found") }

// Settle is one round of asking the other members what the empty folder means.
func (h *ManualDriver) Settle() error {
	s := h.store
	answers := map[string]internalapi.FoundAnswer{}
	for _, m := range s.set.Members {
		if m.ID == s.set.Name {
			continue
		}
		if a, err := s.opt.Net.Found(context.Background(), m.Addr, internalapi.FoundCall{Name: s.set.Name, Boot: s.boot}); err == nil {
			answers[m.ID] = a
		}
	}
	if v, _ := judge(s.set.Name, s.boot, s.digest(), len(s.set.Members), answers, nil); v == exists {
		return errs.Pass(s.rename(), "settle")
	}
	return nil
}

// Joins gives the call that takes this node in; false if it is a voter or never was another.
func (h *ManualDriver) Joins() (call internalapi.JoinCall, addr string, ok bool) {
	s := h.store
	if s.core == nil || s.id == s.set.Name || s.status.Voter {
		return call, "", false
	}
	return internalapi.JoinCall{ID: s.id, Name: s.set.Name, Addr: s.set.Addr, Zone: s.set.Zone}, s.leaderAddr(), true
}

// Pass is a turn of the loop.
func (h *ManualDriver) Pass() {
	if h.store.core != nil {
		h.store.pass()
	}
}

// Parcel is a call with replication messages.
type Parcel struct {
	Addr string
	Call internalapi.QuorumCall
}

// Out takes the messages to other members, in the order of their IDs.
func (h *ManualDriver) Out() (out []Parcel) {
	if h.store.broken {
		return nil
	}
	for _, id := range slices.Sorted(maps.Keys(h.store.peers)) {
		p := h.store.peers[id]
		for len(p.queue) > 0 {
			out = append(out, Parcel{p.addr, internalapi.QuorumCall{From: h.store.set.Addr, Messages: p.take()}})
		}
	}
	return out
}

// Batch is what waits for one sync.
type Batch struct {
	store *Store
	work  []work
}

// Disk takes what waits for the disk; nil if it is busy or there is nothing.
func (h *ManualDriver) Disk() *Batch {
	if h.store.diskBusy != 0 || h.store.broken {
		return nil
	}
	if w := h.store.pick(); len(w) > 0 {
		return &Batch{h.store, w}
	}
	return nil
}

// Write writes and syncs the batch; Stored must follow.
func (b *Batch) Write() error { return errs.Pass(b.store.write(b.work), "write") }

// Stored takes in that the batch is synced.
func (b *Batch) Stored() { b.store.stored(b.work) }

// Entries are those in the batch, in the order of writing.
func (b *Batch) Entries() (out []raft.Entry) {
	for _, w := range b.work {
		out = append(out, w.append...)
	}
	return out
}

// Shade brings the shadow up and adopts a fetched image once the disk is idle.
func (h *ManualDriver) Shade() error {
	in, err := h.store.trail(context.Background())
	if err != nil {
		return errs.Pass(err, "shade")
	}
	if in != nil && h.store.freeze(in) {
		h.in = in
	}
	if h.in == nil || !h.store.idle() {
		return nil
	}
	in, h.in = h.in, nil
	defer h.store.thaw()
	return errs.Pass(h.store.put(context.Background(), in), "shade")
}

// Fetch fetches the snapshot that the core asked for, at once; nothing if it asked for none.
func (h *ManualDriver) Fetch() error {
	if h.want == nil || h.in != nil {
		return nil
	}
	want := *h.want
	h.want, h.store.fetching = nil, false
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // no rests between tries
	in, err := h.store.download(ctx, want)
	if err == nil {
		in.live, err = state.Decode(in.image.Body)
	}
	if err == nil {
		in.done = make(chan struct{})
		h.store.install = in
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
	if err := h.store.enter(w); err != nil {
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

// Leave ends the wait, as Store.Propose does after 2 s.
func (p *Proposal) Leave() error { return errs.Pass(p.store.leave(p.waiter).err, "propose") }

// Duty is Store.Duty up to its proposal: the answer, or a command to propose and then to tell Granted of.
func (h *ManualDriver) Duty(call internalapi.DutyCall) (a internalapi.DutyAnswer, held state.Duty, c command.Command, err error) {
	a, held, c, err = h.store.ask(call)
	return a, held, c, errs.Pass(err, "duty")
}

// Granted ends what Duty began.
func (h *ManualDriver) Granted(call internalapi.DutyCall, held state.Duty, index uint64, err error) (internalapi.DutyAnswer, error) {
	a, err := h.store.granted(call, held, index, err)
	return a, errs.Pass(err, "duty")
}

// Lack is Store.Follow without the wait: nil if the caller lacks nothing.
func (h *ManualDriver) Lack(version uint64) (*internalapi.Lack, error) {
	l, _, err := h.store.lack(version, maxFollow)
	return l, errs.Pass(err, "lack")
}

// Tidy proposes the letting go of what is old, if this node leads.
func (h *ManualDriver) Tidy() {
	if c := h.store.tidying(); c != nil {
		_, _ = h.Propose(c) // what it misses the next one does
	}
}

// State is the live state.
func (h *ManualDriver) State() *state.State { return h.store.live }

// Floor is the index of the newest slot.
func (h *ManualDriver) Floor() uint64 { return h.store.newest.Index }

// Wants tells whether the core asked for a snapshot.
func (h *ManualDriver) Wants() bool { return h.want != nil && h.in == nil }

// Core is the replication core, nil before the node knows who it is.
func (h *ManualDriver) Core() *raft.Core { return h.store.core }
