// Package jobsworker is the testbed's stand-in for a worker of the jobs deployment. It implements the contract of
// internal/httpapi/workerapi: it refuses runs that exceed its capacity, kills its runs when the lease expires by its
// own clock, refuses fenced orders and journals every event. It starts no real work: a run has a Program, which only
// defines a duration and an outcome.
//
// Host is the process: it serves the calls, sends the heartbeats and advances its core at the core's deadlines. The
// core makes all decisions. Entry points: core.Advance and core.Start.
package jobsworker

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/httpapi/jobsapi"
	"crosstide/internal/httpapi/workerapi"
	"crosstide/internal/routine"
	"crosstide/internal/rpc"
	"crosstide/internal/testbed/journal"
)

const (
	serverGrace      = time.Second
	idleInterval     = time.Minute // between two calls of core.Advance while no run is in progress
	idlePollInterval = 50 * time.Millisecond
)

// Host is one incarnation of a worker as a process: its server, its heartbeats and its timer around a core.
type Host struct {
	settings  Settings
	id        string // the worker's ID
	clock     clock.Clock
	logger    log.Logger
	startedAt time.Duration // time on clock at which the worker's clock is 0
	server    *rpc.Server
	client    *rpc.Client
	writer    *journal.Writer // nil: no journal
	group     *routine.Group

	mu         sync.Mutex
	core       *core
	changed    chan struct{} // closed and replaced when a call or a deadline may have changed core
	sequence   int           // of the newest heartbeat
	isDraining bool
	nextCore   int    // index in Settings.ControlAddrs of the next heartbeat's receiver while no leader is known
	leader     string // address for heartbeats; empty if not known
}

// Open starts a new incarnation of a worker and listens. Failures: Settings, Disk. Example:
//
//	host, err := jobsworker.Open(settings, clock.Real{}, logger)
//	if err != nil {
//		return errs.Pass(err, "worker")
//	}
//	return host.Run(ctx)
func Open(settings Settings, clock clock.Clock, logger log.Logger) (*Host, error) {
	if err := settings.Check(); err != nil {
		return nil, errs.Pass(err, "worker")
	}
	settings.setDefaults()
	h := &Host{settings: settings, id: settings.Name + "-" + randomSuffix(), clock: clock, logger: logger,
		startedAt: clock.Now(), group: routine.New(context.Background()), changed: make(chan struct{})}
	if err := h.openJournal(); err != nil {
		return nil, errs.Pass(err, "worker %s", settings.Name)
	}
	h.core = newCore(h.id, settings.Capacity, h.record)
	h.client = rpc.NewClient(rpc.ClientOptions{Logger: logger, Clock: clock})
	h.server = rpc.NewServer(rpc.ServerOptions{Addr: settings.Address, Logger: logger, Clock: clock, Loops: 1})
	rpc.Handle(h.server, workerapi.StartEndpoint, h.start)
	rpc.Handle(h.server, workerapi.StopEndpoint, h.stop)
	rpc.Handle(h.server, workerapi.RenewLeaseEndpoint, h.renewLease)
	h.record(Event{Event: EventWorkerStart, Worker: h.id, Zone: settings.Zone, Rack: settings.Rack,
		Labels: settings.Labels, Needs: settings.Capacity})
	if err := h.server.Start(); err != nil {
		h.close()
		return nil, errs.Pass(err, "worker %s", settings.Name)
	}
	return h, nil
}

// randomSuffix returns the part of a worker's ID that distinguishes its incarnations.
func randomSuffix() string {
	var suffix [6]byte
	_, _ = rand.Read(suffix[:]) // never fails
	return hex.EncodeToString(suffix[:])
}

func (h *Host) openJournal() (err error) {
	if h.settings.Journal != "" {
		h.writer, err = journal.Open(h.settings.Journal)
	}
	return errs.Pass(err, "journal")
}

// ID returns the worker's ID, which is unique to the incarnation.
func (h *Host) ID() string { return h.id }

// record journals an event. The audit requires complete journals, so a failed write stops the worker.
func (h *Host) record(e Event) {
	if h.writer == nil {
		return
	}
	e.At = h.clock.Wall()
	if err := h.writer.Append(e); err != nil {
		_ = level.Error(h.logger).Log("msg", "journal not written", "err", err)
		h.group.Cancel()
	}
}

// Run answers calls and sends heartbeats until ctx ends. Then the worker drains: it refuses starts, waits up to the
// grace for its runs to end, stops the remaining ones and reports that it leaves. If the journal cannot be written, Run
// stops the worker without a drain and logs the error. It returns nil in both cases.
func (h *Host) Run(ctx context.Context) error {
	h.group.Go(h.advanceLoop)
	h.group.Go(h.heartbeatLoop)
	select {
	case <-ctx.Done():
		h.drainAndStop()
	case <-h.group.Context().Done():
	}
	h.group.Stop()
	h.close()
	return nil
}

// close stops the server and the client, and closes the journal. The loops must have stopped.
func (h *Host) close() {
	if err := h.server.Stop(serverGrace); err != nil {
		_ = level.Warn(h.logger).Log("msg", "calls aborted", "err", err)
	}
	h.client.Close()
	if h.writer != nil {
		_ = h.writer.Close() // every line is complete: the writer does not buffer
	}
}

// now returns the time on the worker's clock, which starts at 0 with the incarnation.
func (h *Host) now() time.Duration { return h.clock.Now() - h.startedAt }

// broadcastLocked wakes all goroutines that wait for a change of core. The caller holds h.mu.
func (h *Host) broadcastLocked() {
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *Host) start(_ context.Context, call workerapi.StartCall) (workerapi.StartAnswer, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	answer, err := h.core.Start(h.now(), call)
	h.broadcastLocked()
	return answer, errs.Pass(err, "worker")
}

func (h *Host) stop(_ context.Context, call workerapi.StopCall) (workerapi.StopAnswer, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	answer, err := h.core.Stop(h.now(), call)
	h.broadcastLocked()
	return answer, errs.Pass(err, "worker")
}

// renewLease renews the lease at once. It answers when there is an unacknowledged end, or after call.Wait.
func (h *Host) renewLease(ctx context.Context, call workerapi.RenewLeaseCall) (workerapi.RenewLeaseAnswer, error) {
	h.mu.Lock()
	err := h.core.RenewLease(h.now(), call)
	h.mu.Unlock()
	if err != nil {
		return workerapi.RenewLeaseAnswer{}, errs.Pass(err, "worker")
	}
	h.awaitEnd(ctx, h.now()+call.Wait)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.core.Advance(h.now())
	return h.core.Status(h.now()), nil
}

// awaitEnd waits until there is an unacknowledged end, until deadline on the worker's clock, or until ctx ends.
func (h *Host) awaitEnd(ctx context.Context, deadline time.Duration) {
	for {
		h.mu.Lock()
		hasEnd, changed := h.core.hasUnacknowledged(), h.changed
		h.mu.Unlock()
		remaining := deadline - h.now()
		if hasEnd || remaining <= 0 || !h.waitForChange(ctx, remaining, changed) {
			return
		}
	}
}

// advanceLoop advances core at its deadlines until ctx ends.
func (h *Host) advanceLoop(ctx context.Context) {
	for {
		h.mu.Lock()
		if h.core.Advance(h.now()) {
			h.broadcastLocked()
		}
		deadline, hasDeadline := h.core.NextDeadline()
		changed := h.changed
		h.mu.Unlock()
		interval := idleInterval
		if hasDeadline {
			interval = max(deadline-h.now(), time.Millisecond)
		}
		if !h.waitForChange(ctx, interval, changed) {
			return
		}
	}
}

// waitForChange waits until changed is closed, at most for timeout. It returns false if ctx ends first.
func (h *Host) waitForChange(ctx context.Context, timeout time.Duration, changed <-chan struct{}) bool {
	elapsed := make(chan struct{})
	defer h.clock.Set(timeout, func() { close(elapsed) }).Stop()
	select {
	case <-changed:
	case <-elapsed:
	case <-ctx.Done():
		return false
	}
	return true
}

// drain makes the worker refuse all further starts, and reports that it drains.
func (h *Host) drain(ctx context.Context) {
	h.mu.Lock()
	h.isDraining = true
	h.core.Drain()
	h.mu.Unlock()
	h.sendHeartbeat(ctx, jobsapi.StateDraining)
}

// drainAndStop drains, waits up to the grace for the runs to end, stops the remaining ones, waits up to the grace for
// all ends to be acknowledged, and reports that the worker leaves.
func (h *Host) drainAndStop() {
	ctx := h.group.Context()
	h.drain(ctx)
	h.awaitIdle(ctx, h.settings.Grace)
	h.mu.Lock()
	h.core.StopAll(h.now())
	h.broadcastLocked()
	h.mu.Unlock()
	h.awaitIdle(ctx, h.settings.Grace)
	h.sendHeartbeat(ctx, jobsapi.StateLeaving)
}

// awaitIdle waits until no run is in progress and all ends are acknowledged, at most for timeout.
func (h *Host) awaitIdle(ctx context.Context, timeout time.Duration) {
	for deadline := h.now() + timeout; h.now() < deadline; {
		h.mu.Lock()
		isIdle := h.core.IsIdle()
		h.mu.Unlock()
		if isIdle || !clock.Sleep(ctx.Done(), h.clock, idlePollInterval) {
			return
		}
	}
}
