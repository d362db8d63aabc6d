package store

import (
	"context"
	"maps"
	"slices"

	"crosstide/internal/api"
	"crosstide/internal/errs"
	"crosstide/internal/quorum"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

// Hand drives a store that was not started, step by step on one goroutine: the deterministic simulator runs the
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
type Hand struct {
	s    *Store
	want *quorum.FetchSnapshot
	in   *install
}

// ByHand gives the store's driver; the store must not be started.
func (s *Store) ByHand() *Hand {
	s.hand = &Hand{s: s}
	return s.hand
}

// Member tells whether the node knows who it is.
func (h *Hand) Member() bool { return h.s.core != nil }

// Found begins a fleet as settle does once all members were found fresh.
func (h *Hand) Found() error { return errs.Pass(h.s.found(nil), "found") }

// Settle is one round of asking the other members what the empty folder means.
func (h *Hand) Settle() error {
	s := h.s
	answers := map[string]api.FoundAnswer{}
	for _, m := range s.set.Members {
		if m.ID == s.set.Name {
			continue
		}
		if a, err := s.opt.Net.Found(context.Background(), m.Addr, api.FoundCall{Name: s.set.Name, Boot: s.boot}); err == nil {
			answers[m.ID] = a
		}
	}
	if v, _ := judge(s.set.Name, s.boot, s.digest(), len(s.set.Members), answers, nil); v == exists {
		return errs.Pass(s.rename(), "settle")
	}
	return nil
}

// Joins gives the call that takes this node in; false if it is a voter or never was another.
func (h *Hand) Joins() (call api.JoinCall, addr string, ok bool) {
	s := h.s
	if s.core == nil || s.id == s.set.Name || s.status.Voter {
		return call, "", false
	}
	return api.JoinCall{ID: s.id, Name: s.set.Name, Addr: s.set.Addr, Zone: s.set.Zone}, s.leaderAddr(), true
}

// Pass is a turn of the loop.
func (h *Hand) Pass() {
	if h.s.core != nil {
		h.s.pass()
	}
}

// Parcel is a call with replication messages.
type Parcel struct {
	Addr string
	Call api.QuorumCall
}

// Out takes the messages to other members, in the order of their IDs.
func (h *Hand) Out() (out []Parcel) {
	if h.s.broken {
		return nil
	}
	for _, id := range slices.Sorted(maps.Keys(h.s.peers)) {
		p := h.s.peers[id]
		for len(p.queue) > 0 {
			out = append(out, Parcel{p.addr, api.QuorumCall{From: h.s.set.Addr, Messages: p.take()}})
		}
	}
	return out
}

// Batch is what waits for one sync.
type Batch struct {
	s    *Store
	work []work
}

// Disk takes what waits for the disk; nil if it is busy or there is nothing.
func (h *Hand) Disk() *Batch {
	if h.s.diskBusy != 0 || h.s.broken {
		return nil
	}
	if w := h.s.pick(); len(w) > 0 {
		return &Batch{h.s, w}
	}
	return nil
}

// Write writes and syncs the batch; Stored must follow.
func (b *Batch) Write() error { return errs.Pass(b.s.write(b.work), "write") }

// Stored takes in that the batch is synced.
func (b *Batch) Stored() { b.s.stored(b.work) }

// Entries are those in the batch, in the order of writing.
func (b *Batch) Entries() (out []quorum.Entry) {
	for _, w := range b.work {
		out = append(out, w.append...)
	}
	return out
}

// Shade brings the shadow up and adopts a fetched image once the disk is idle.
func (h *Hand) Shade() error {
	in, err := h.s.trail(context.Background())
	if err != nil {
		return errs.Pass(err, "shade")
	}
	if in != nil && h.s.freeze(in) {
		h.in = in
	}
	if h.in == nil || !h.s.idle() {
		return nil
	}
	in, h.in = h.in, nil
	defer h.s.thaw()
	return errs.Pass(h.s.put(context.Background(), in), "shade")
}

// Fetch fetches the snapshot that the core asked for, at once; nothing if it asked for none.
func (h *Hand) Fetch() error {
	if h.want == nil || h.in != nil {
		return nil
	}
	want := *h.want
	h.want, h.s.fetching = nil, false
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // no rests between tries
	in, err := h.s.download(ctx, want)
	if err == nil {
		in.live, err = state.Decode(in.image.Body)
	}
	if err == nil {
		in.done = make(chan struct{})
		h.s.install = in
	}
	return errs.Pass(err, "fetch")
}

// Proposal is a command under way.
type Proposal struct {
	s *Store
	w *waiter
}

// Propose is Store.Propose without the wait.
func (h *Hand) Propose(c command.Command) (*Proposal, error) {
	data, err := command.Encode(h.s.clock.Wall(), c)
	if err != nil {
		return nil, errs.Pass(err, "propose")
	}
	w := &waiter{data: data, done: make(chan outcome, 1)}
	if err := h.s.enter(w); err != nil {
		return nil, errs.Pass(err, "propose")
	}
	return &Proposal{h.s, w}, nil
}

// Done gives the outcome; false while there is none.
func (p *Proposal) Done() (index uint64, answer any, err error, ok bool) {
	select {
	case o := <-p.w.done:
		return o.index, o.answer, o.err, true
	default:
		return 0, nil, nil, false
	}
}

// Leave ends the wait, as Store.Propose does after 2 s.
func (p *Proposal) Leave() error { return errs.Pass(p.s.leave(p.w).err, "propose") }

// Duty is Store.Duty up to its proposal: the answer, or a command to propose and then to tell Granted of.
func (h *Hand) Duty(call api.DutyCall) (a api.DutyAnswer, held state.Duty, c command.Command, err error) {
	a, held, c, err = h.s.ask(call)
	return a, held, c, errs.Pass(err, "duty")
}

// Granted ends what Duty began.
func (h *Hand) Granted(call api.DutyCall, held state.Duty, index uint64, err error) (api.DutyAnswer, error) {
	a, err := h.s.granted(call, held, index, err)
	return a, errs.Pass(err, "duty")
}

// Lack is Store.Follow without the wait: nil if the caller lacks nothing.
func (h *Hand) Lack(version uint64) (*api.Lack, error) {
	l, _, err := h.s.lack(version, maxFollow)
	return l, errs.Pass(err, "lack")
}

// Tidy proposes the letting go of what is old, if this node leads.
func (h *Hand) Tidy() {
	if c := h.s.tidying(); c != nil {
		_, _ = h.Propose(c) // what it misses the next one does
	}
}

// State is the live state.
func (h *Hand) State() *state.State { return h.s.live }

// Floor is the index of the newest slot.
func (h *Hand) Floor() uint64 { return h.s.newest.Index }

// Wants tells whether the core asked for a snapshot.
func (h *Hand) Wants() bool { return h.want != nil && h.in == nil }

// Core is the replication core, nil before the node knows who it is.
func (h *Hand) Core() *quorum.Core { return h.s.core }
