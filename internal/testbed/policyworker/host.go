package policyworker

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	rnd "math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"crosstide/internal/clock"
	"crosstide/internal/daemon"
	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/routine"
	"crosstide/internal/rpc"
	"crosstide/internal/testbed/journal"
)

const (
	announceEvery = 3 * time.Second
	announceBound = 2 * time.Second
)

// Host is a process's minions: one, or many hollow ones that share an address, a server and a caller. A call is
// led to the minion that it names.
type Host struct {
	set    Settings
	clock  clock.Clock
	logger log.Logger
	server *rpc.Server
	caller *rpc.Client
	bodies map[string]*body
	pens   map[string]*journal.Writer
	group  *routine.Group

	mu    sync.Mutex
	stays int // minions that have not left
	err   error
	over  chan struct{} // closed when all have left, or one cannot write its journal
}

// Open makes the minions of set and their journals, and listens. Nothing is answered for a minion before its
// boot is in its journal. Faults: Settings, Disk. Example:
//
//	host, err := policyworker.Open(set, clock.Real{}, logger)
//	if err != nil {
//		return errs.Pass(err, "minion")
//	}
//	return host.Run(ctx) // until ctx ends, or a drain has led to the end
func Open(set Settings, clock clock.Clock, logger log.Logger) (*Host, error) {
	if err := set.Check(); err != nil {
		return nil, errs.Pass(err, "minion")
	}
	reg := daemon.Registry()
	h := &Host{
		set: set, clock: clock, logger: logger, bodies: map[string]*body{}, pens: map[string]*journal.Writer{},
		server: rpc.NewServer(rpc.ServerOptions{Addr: set.Addr, Logger: logger, Clock: clock, Registry: reg}),
		caller: rpc.NewClient(rpc.ClientOptions{Logger: logger, Clock: clock, DialOverrides: set.Via, Registry: reg}),
		group:  routine.New(context.Background()), stays: set.Count, over: make(chan struct{}),
	}
	for _, name := range set.names() {
		if err := h.add(name); err != nil {
			h.Close()
			return nil, errs.Pass(err, "minion %s", name)
		}
	}
	h.server.Route(internalapi.RenewLease.Path, h.serve)
	daemon.Routes(h.server, reg, func() error { return errs.Pass(h.fault(), "journal") })
	if err := h.server.Start(); err != nil {
		h.Close()
		return nil, errs.Pass(err, "minion")
	}
	return h, nil
}

func (h *Host) add(name string) error {
	path := strings.ReplaceAll(h.set.Journal, "{name}", name)
	pen, ok := h.pens[path]
	if !ok {
		var err error
		if pen, err = journal.Open(path); err != nil {
			return errs.Pass(err, "journal")
		}
		h.pens[path] = pen
	}
	var id [8]byte
	_, _ = rand.Read(id[:]) // never fails
	t := h.set.traits(name, hex.EncodeToString(id[:]))
	b := &body{
		host: h, traits: t, core: NewCore(t), pen: pen, zero: h.clock.Now(), waits: map[uint64]chan Reply{},
		luck: rnd.New(rnd.NewPCG(h.set.Seed, xxhash.Sum64String(name))),
	}
	h.bodies[name] = b
	b.do(func(time.Duration) Step { return b.core.Start() })
	return errs.Pass(h.fault(), "start")
}

// Addr is the host:port that all minions of the host are reached at.
func (h *Host) Addr() string { return h.server.Addr() }

// Run announces the minions and answers until ctx ends or all have left after a drain; then it closes the host.
// A journal that cannot be written ends it with a Disk fault.
func (h *Host) Run(ctx context.Context) error {
	_ = level.Info(h.logger).Log("msg", "minions are up", "addr", h.Addr(), "count", len(h.bodies), "kind", h.set.Kind)
	for _, b := range h.bodies {
		h.group.Go(b.announce)
	}
	select {
	case <-ctx.Done():
	case <-h.over:
	}
	h.Close()
	return errs.Pass(h.fault(), "minions at %s", h.Addr())
}

// Drain switches draining of all minions. With leave it is final: Run returns once nothing runs and the ends
// are acknowledged, or when the grace is over.
func (h *Host) Drain(on, leave bool) {
	for _, b := range h.bodies {
		b.do(func(now time.Duration) Step { return b.core.Drain(now, on, leave) })
	}
}

// Close ends everything at once, runs too, and journals nothing more.
func (h *Host) Close() {
	h.group.Cancel()
	for _, b := range h.bodies {
		b.close()
	}
	if err := h.server.Stop(time.Second); err != nil {
		_ = level.Warn(h.logger).Log("msg", "calls were cut off", "err", err)
	}
	h.caller.Close()
	h.group.Stop()
	for _, pen := range h.pens {
		if err := pen.Close(); err != nil {
			_ = level.Warn(h.logger).Log("msg", "journal", "err", err)
		}
	}
}

func (h *Host) fault() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.err
}

// left counts a minion that is gone; err is nil for one that left in order.
func (h *Host) left(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stays--; err != nil && h.err == nil {
		h.err = err
		h.stays = min(h.stays, 0)
	}
	if h.stays <= 0 {
		select {
		case <-h.over:
		default:
			close(h.over)
		}
	}
}

// serve answers a hold call, or loses the answer.
func (h *Host) serve(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		rpc.WriteError(w, errs.Field(errs.Invalid, "method", "%s is not taken here", r.Method))
		return
	}
	raw, err := rpc.ReadBody(r, rpc.MaxBody)
	if err != nil {
		rpc.WriteError(w, errs.Pass(err, "hold"))
		return
	}
	call, err := decodeCall(raw)
	if err != nil {
		rpc.WriteError(w, errs.Pass(err, "hold"))
		return
	}
	b := h.bodies[call.Worker]
	if b == nil {
		rpc.WriteError(w, errs.Field(errs.Unknown, "minion", "%q is not here", call.Worker))
		return
	}
	answer, lost, err := b.hold(r.Context(), call)
	switch {
	case lost:
		h.cut(w)
	case err != nil:
		rpc.WriteError(w, err)
	default:
		rpc.WriteJSON(w, http.StatusOK, answer)
	}
}

// cut closes the connection of w without an answer. Where the server does not lend it, an answer is begun and
// never finished: the caller closes at its own bound.
func (h *Host) cut(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		_ = level.Warn(h.logger).Log("msg", "an answer is lost in silence", "err", err)
		w.Header().Set("Content-Length", strconv.Itoa(1<<20))
		w.WriteHeader(http.StatusOK)
		return
	}
	_ = conn.Close()
}

// body is the process's side of one minion: its clock, timers, journal and waiting calls.
type body struct {
	host   *Host
	traits Traits
	zero   time.Duration // the host's clock at the boot

	mu    sync.Mutex
	core  *Core
	pen   *journal.Writer
	luck  *rnd.Rand
	tag   uint64
	waits map[uint64]chan Reply
	ring  clock.Stopper
	gone  bool
}

// do returns the core an input at the present clock and carries out what it asks for: journal first, then answers.
func (b *body) do(input func(now time.Duration) Step) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.gone {
		return
	}
	b.carry(input(b.host.clock.Now() - b.zero))
}

func (b *body) carry(step Step) {
	for _, e := range step.Journal {
		e.At = b.host.clock.Wall().UnixNano()
		if err := b.pen.Append(e); err != nil {
			b.shut()
			b.host.left(errs.Pass(err, "minion %s has lost its witness", b.traits.Name))
			return
		}
	}
	for _, r := range step.Replies {
		if wait := b.waits[r.Tag]; wait != nil {
			delete(b.waits, r.Tag)
			wait <- r // has room for one
		}
	}
	if step.Leave {
		b.shut()
		b.host.left(nil)
		return
	}
	if b.ring != nil {
		b.ring.Stop()
		b.ring = nil
	}
	if step.Wake != Never {
		b.ring = b.host.clock.Set(b.zero+step.Wake-b.host.clock.Now(), func() { b.do(b.core.Tick) })
	}
}

// shut answers nothing any more. b.mu is held.
func (b *body) shut() {
	b.gone = true
	if b.ring != nil {
		b.ring.Stop()
	}
	for tag, wait := range b.waits {
		delete(b.waits, tag)
		wait <- Reply{Tag: tag, Err: errs.New(errs.Stopped, "minion %s has left", b.traits.Name)}
	}
}

func (b *body) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.gone {
		b.shut()
	}
}

// hold takes in a call and waits for its answer; lost tells that the answer is to be dropped.
func (b *body) hold(ctx context.Context, call internalapi.LeaseCall) (answer internalapi.LeaseAnswer, lost bool, err error) {
	late, lost := b.fate(len(call.Starts) > 0)
	if late > 0 { // the order is carried out even if nobody waits for the answer any more
		rung := make(chan struct{})
		ring := b.host.clock.Set(late, func() { close(rung) })
		defer ring.Stop()
		select {
		case <-rung:
		case <-b.host.group.Context().Done():
		}
	}
	wait := make(chan Reply, 1)
	var tag uint64
	b.do(func(now time.Duration) Step {
		b.tag++
		tag = b.tag
		b.waits[tag] = wait
		return b.core.Call(now, tag, call)
	})
	if tag == 0 {
		return answer, false, errs.New(errs.Stopped, "minion %s has left", b.traits.Name)
	}
	select {
	case r := <-wait:
		answer, err = r.Answer, r.Err
	case <-ctx.Done():
		lost, err = true, errs.Wrap(ctx.Err(), errs.Stopped, "the call is over")
	}
	if lost {
		b.mu.Lock()
		delete(b.waits, tag)
		b.core.Lost(tag)
		b.mu.Unlock()
	}
	return answer, lost, err
}

// fate draws whether a call is carried out late and whether its answer is lost.
func (b *body) fate(starts bool) (late time.Duration, lost bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	set := b.host.set
	lost = b.luck.Float64() < set.Lose
	if bound := time.Duration(set.Late); starts && bound > 0 {
		late = time.Duration(b.luck.Int64N(int64(bound)) + 1)
		lost = b.luck.Float64() < 0.5 || lost
	}
	return late, lost
}

// announce tells one dplane after another where the minion is, until ctx ends.
func (b *body) announce(ctx context.Context) {
	h, t := b.host, b.traits
	call := internalapi.AnnounceWorkerCall{
		Name: t.Name, Addr: h.Addr(), Incarnation: t.Boot, Kind: t.Kind, Zone: t.Zone, Rack: t.Rack,
		Labels: t.Labels, Cores: t.Cores, GPUs: t.GPUs,
	}
	if len(h.set.Dplanes) == 0 {
		return
	}
	for at := int(xxhash.Sum64String(t.Name) % uint64(len(h.set.Dplanes))); ctx.Err() == nil; {
		again := announceEvery
		answer, err := rpc.Call(ctx, h.caller, h.set.Dplanes[at], internalapi.AnnounceWorker, call, announceBound)
		switch {
		case err != nil:
			_ = level.Debug(h.logger).Log("msg", "announcement failed", "minion", t.Name, "dplane", h.set.Dplanes[at], "err", err)
			at = (at + 1) % len(h.set.Dplanes)
			again = announceEvery / 6
		case answer.Interval > 0:
			again = answer.Interval
		}
		rung := make(chan struct{})
		ring := h.clock.Set(again, func() { close(rung) })
		select {
		case <-rung:
		case <-ctx.Done():
			ring.Stop()
		}
	}
}
