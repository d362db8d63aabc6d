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
	announceEvery   = 3 * time.Second
	announceTimeout = 2 * time.Second
)

// Host is a process's minions: one, or many hollow ones that share an address, a server and a caller. A call is
// led to the minion that it names.
type Host struct {
	settings Settings
	clock    clock.Clock
	logger   log.Logger
	server   *rpc.Server
	caller   *rpc.Client
	drivers  map[string]*driver
	journals map[string]*journal.Writer
	group    *routine.Group

	mu        sync.Mutex
	remaining int // minions that have not left
	err       error
	done      chan struct{} // closed when all have left, or one cannot write its journal
}

// Open makes the minions of set and their journals, and listens. Nothing is answered for a minion before its
// boot is in its journal. Faults: Settings, Disk. Example:
//
//	host, err := policyworker.Open(set, clock.Real{}, logger)
//	if err != nil {
//		return errs.Pass(err, "minion")
//	}
//	return host.Run(ctx) // until ctx ends, or a drain has led to the end
func Open(settings Settings, clock clock.Clock, logger log.Logger) (*Host, error) {
	if err := settings.Check(); err != nil {
		return nil, errs.Pass(err, "minion")
	}
	reg := daemon.Registry()
	h := &Host{
		settings: settings, clock: clock, logger: logger, drivers: map[string]*driver{}, journals: map[string]*journal.Writer{},
		server: rpc.NewServer(rpc.ServerOptions{Addr: settings.Addr, Logger: logger, Clock: clock, Registry: reg}),
		caller: rpc.NewClient(rpc.ClientOptions{Logger: logger, Clock: clock, DialOverrides: settings.DialOverrides, Registry: reg}),
		group:  routine.New(context.Background()), remaining: settings.Count, done: make(chan struct{}),
	}
	for _, name := range settings.names() {
		if err := h.addWorker(name); err != nil {
			h.Close()
			return nil, errs.Pass(err, "minion %s", name)
		}
	}
	h.server.Route(internalapi.RenewLease.Path, h.serveRenewLease)
	daemon.Routes(h.server, reg, func() error { return errs.Pass(h.failure(), "journal") })
	if err := h.server.Start(); err != nil {
		h.Close()
		return nil, errs.Pass(err, "minion")
	}
	return h, nil
}

func (h *Host) addWorker(name string) error {
	path := strings.ReplaceAll(h.settings.Journal, "{name}", name)
	writer, ok := h.journals[path]
	if !ok {
		var err error
		if writer, err = journal.Open(path); err != nil {
			return errs.Pass(err, "journal")
		}
		h.journals[path] = writer
	}
	var id [8]byte
	_, _ = rand.Read(id[:]) // never fails
	t := h.settings.traits(name, hex.EncodeToString(id[:]))
	b := &driver{
		host: h, traits: t, core: NewCore(t), writer: writer, startedAt: h.clock.Now(), waiting: map[uint64]chan Reply{},
		rng: rnd.New(rnd.NewPCG(h.settings.Seed, xxhash.Sum64String(name))),
	}
	h.drivers[name] = b
	b.step(func(time.Duration) Actions { return b.core.Start() })
	return errs.Pass(h.failure(), "start")
}

// Addr is the host:port that all minions of the host are reached at.
func (h *Host) Addr() string { return h.server.Addr() }

// Run announces the minions and answers until ctx ends or all have left after a drain; then it closes the host.
// A journal that cannot be written ends it with a Disk fault.
func (h *Host) Run(ctx context.Context) error {
	_ = level.Info(h.logger).Log("msg", "minions are up", "addr", h.Addr(), "count", len(h.drivers), "kind", h.settings.Kind)
	for _, b := range h.drivers {
		h.group.Go(b.announce)
	}
	select {
	case <-ctx.Done():
	case <-h.done:
	}
	h.Close()
	return errs.Pass(h.failure(), "minions at %s", h.Addr())
}

// Drain switches draining of all minions. With leave it is final: Run returns once nothing runs and the ends
// are acknowledged, or when the grace is over.
func (h *Host) Drain(on, leave bool) {
	for _, b := range h.drivers {
		b.step(func(now time.Duration) Actions { return b.core.Drain(now, on, leave) })
	}
}

// Close ends everything at once, runs too, and journals nothing more.
func (h *Host) Close() {
	h.group.Cancel()
	for _, b := range h.drivers {
		b.close()
	}
	if err := h.server.Stop(time.Second); err != nil {
		_ = level.Warn(h.logger).Log("msg", "calls were cut off", "err", err)
	}
	h.caller.Close()
	h.group.Stop()
	for _, writer := range h.journals {
		if err := writer.Close(); err != nil {
			_ = level.Warn(h.logger).Log("msg", "journal", "err", err)
		}
	}
}

func (h *Host) failure() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.err
}

// workerExited counts a minion that is gone; err is nil for one that left in order.
func (h *Host) workerExited(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.remaining--; err != nil && h.err == nil {
		h.err = err
		h.remaining = min(h.remaining, 0)
	}
	if h.remaining <= 0 {
		select {
		case <-h.done:
		default:
			close(h.done)
		}
	}
}

// serveRenewLease answers a hold call, or loses the answer.
func (h *Host) serveRenewLease(w http.ResponseWriter, r *http.Request) {
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
	b := h.drivers[call.Worker]
	if b == nil {
		rpc.WriteError(w, errs.Field(errs.Unknown, "minion", "%q is not here", call.Worker))
		return
	}
	answer, lost, err := b.renewLease(r.Context(), call)
	switch {
	case lost:
		h.dropConnection(w)
	case err != nil:
		rpc.WriteError(w, err)
	default:
		rpc.WriteJSON(w, http.StatusOK, answer)
	}
}

// dropConnection closes the connection of w without an answer. Where the server does not lend it, an answer is begun and
// never finished: the caller closes at its own bound.
func (h *Host) dropConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		_ = level.Warn(h.logger).Log("msg", "an answer is lost in silence", "err", err)
		w.Header().Set("Content-Length", strconv.Itoa(1<<20))
		w.WriteHeader(http.StatusOK)
		return
	}
	_ = conn.Close()
}

// driver is the process's side of one minion: its clock, timers, journal and waiting calls.
type driver struct {
	host      *Host
	traits    Traits
	startedAt time.Duration // the host's clock at the boot

	mu      sync.Mutex
	core    *Core
	writer  *journal.Writer
	rng     *rnd.Rand
	lastTag uint64
	waiting map[uint64]chan Reply
	timer   clock.Stopper
	closed  bool
}

// step returns the core an input at the present clock and carries out what it asks for: journal first, then answers.
func (b *driver) step(input func(now time.Duration) Actions) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	b.execute(input(b.host.clock.Now() - b.startedAt))
}

func (b *driver) execute(actions Actions) {
	for _, e := range actions.Journal {
		e.At = b.host.clock.Wall().UnixNano()
		if err := b.writer.Append(e); err != nil {
			b.closeLocked()
			b.host.workerExited(errs.Pass(err, "minion %s has lost its witness", b.traits.Name))
			return
		}
	}
	for _, r := range actions.Replies {
		if wait := b.waiting[r.Tag]; wait != nil {
			delete(b.waiting, r.Tag)
			wait <- r // has room for one
		}
	}
	if actions.Exit {
		b.closeLocked()
		b.host.workerExited(nil)
		return
	}
	if b.timer != nil {
		b.timer.Stop()
		b.timer = nil
	}
	if actions.WakeAt != Never {
		b.timer = b.host.clock.Set(b.startedAt+actions.WakeAt-b.host.clock.Now(), func() { b.step(b.core.Tick) })
	}
}

// closeLocked answers nothing any more. b.mu is held.
func (b *driver) closeLocked() {
	b.closed = true
	if b.timer != nil {
		b.timer.Stop()
	}
	for tag, wait := range b.waiting {
		delete(b.waiting, tag)
		wait <- Reply{Tag: tag, Err: errs.New(errs.Stopped, "minion %s has left", b.traits.Name)}
	}
}

func (b *driver) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.closed {
		b.closeLocked()
	}
}

// renewLease takes in a call and waits for its answer; lost tells that the answer is to be dropped.
func (b *driver) renewLease(ctx context.Context, call internalapi.LeaseCall) (answer internalapi.LeaseAnswer, lost bool, err error) {
	delay, lost := b.drawFaults(len(call.Starts) > 0)
	if delay > 0 { // the order is carried out even if nobody waits for the answer any more
		elapsed := make(chan struct{})
		timer := b.host.clock.Set(delay, func() { close(elapsed) })
		defer timer.Stop()
		select {
		case <-elapsed:
		case <-b.host.group.Context().Done():
		}
	}
	wait := make(chan Reply, 1)
	var tag uint64
	b.step(func(now time.Duration) Actions {
		b.lastTag++
		tag = b.lastTag
		b.waiting[tag] = wait
		return b.core.RenewLease(now, tag, call)
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
		delete(b.waiting, tag)
		b.core.AnswerLost(tag)
		b.mu.Unlock()
	}
	return answer, lost, err
}

// drawFaults draws whether a call is carried out late and whether its answer is lost.
func (b *driver) drawFaults(starts bool) (delay time.Duration, lost bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	settings := b.host.settings
	lost = b.rng.Float64() < settings.LossProbability
	if bound := time.Duration(settings.MaxDelay); starts && bound > 0 {
		delay = time.Duration(b.rng.Int64N(int64(bound)) + 1)
		lost = b.rng.Float64() < 0.5 || lost
	}
	return delay, lost
}

// announce tells one dplane after another where the minion is, until ctx ends.
func (b *driver) announce(ctx context.Context) {
	h, t := b.host, b.traits
	call := internalapi.AnnounceWorkerCall{
		Name: t.Name, Addr: h.Addr(), Incarnation: t.Incarnation, Kind: t.Kind, Zone: t.Zone, Rack: t.Rack,
		Labels: t.Labels, Cores: t.Cores, GPUs: t.GPUs,
	}
	if len(h.settings.DataPlanes) == 0 {
		return
	}
	for at := int(xxhash.Sum64String(t.Name) % uint64(len(h.settings.DataPlanes))); ctx.Err() == nil; {
		again := announceEvery
		answer, err := rpc.Call(ctx, h.caller, h.settings.DataPlanes[at], internalapi.AnnounceWorker, call, announceTimeout)
		switch {
		case err != nil:
			_ = level.Debug(h.logger).Log("msg", "announcement failed", "minion", t.Name, "dplane", h.settings.DataPlanes[at], "err", err)
			at = (at + 1) % len(h.settings.DataPlanes)
			again = announceEvery / 6
		case answer.Interval > 0:
			again = answer.Interval
		}
		elapsed := make(chan struct{})
		timer := h.clock.Set(again, func() { close(elapsed) })
		select {
		case <-elapsed:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}
