package policyworker

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

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

// serverGrace is how long Host.Close waits for calls in progress.
const serverGrace = time.Second

// Host runs one or many workers in a process, which share an address, a server and a client. It passes a call to the
// worker that the call names.
type Host struct {
	settings Settings
	clock    clock.Clock
	logger   log.Logger
	server   *rpc.Server
	client   *rpc.Client
	drivers  map[string]*driver         // by worker; fixed once the server has started
	journals map[string]*journal.Writer // by path; workers may share one
	group    *routine.Group

	mu        sync.Mutex
	remaining int           // workers that have not left
	err       error         // the first journal error
	done      chan struct{} // closed when all workers have left or one cannot write its journal
}

// Open opens the journals, starts the workers and listens. It listens only after each worker's incarnation is in its
// journal. Failures: Settings, Disk. Example:
//
//	host, err := policyworker.Open(settings, clock.Real{}, logger)
//	if err != nil {
//		return errs.Pass(err, "minion")
//	}
//	return host.Run(ctx) // until ctx ends or all workers have left
func Open(settings Settings, clock clock.Clock, logger log.Logger) (*Host, error) {
	if err := settings.Check(); err != nil {
		return nil, errs.Pass(err, "minion")
	}
	registry := daemon.Registry()
	h := &Host{settings: settings, clock: clock, logger: logger,
		drivers: map[string]*driver{}, journals: map[string]*journal.Writer{},
		server: rpc.NewServer(rpc.ServerOptions{Addr: settings.Addr, Logger: logger, Clock: clock, Registry: registry}),
		client: rpc.NewClient(rpc.ClientOptions{Logger: logger, Clock: clock, DialOverrides: settings.DialOverrides,
			Registry: registry}),
		group: routine.New(context.Background()), remaining: settings.Count, done: make(chan struct{})}
	for _, name := range settings.names() {
		if err := h.addWorker(name); err != nil {
			h.Close()
			return nil, errs.Pass(err, "minion %s", name)
		}
	}
	h.server.Route(internalapi.RenewLease.Path, h.serveRenewLease)
	daemon.Routes(h.server, registry, func() error { return errs.Pass(h.failure(), "journal") })
	if err := h.server.Start(); err != nil {
		h.Close()
		return nil, errs.Pass(err, "minion")
	}
	return h, nil
}

// addWorker starts a new incarnation of the named worker and journals it.
func (h *Host) addWorker(name string) error {
	path := strings.ReplaceAll(h.settings.Journal, "{name}", name)
	writer, isOpen := h.journals[path]
	if !isOpen {
		var err error
		if writer, err = journal.Open(path); err != nil {
			return errs.Pass(err, "journal")
		}
		h.journals[path] = writer
	}
	d := newDriver(h, h.settings.traits(name, newIncarnation()), writer)
	h.drivers[name] = d
	d.step(func(time.Duration) Actions { return d.core.Start() })
	return errs.Pass(h.failure(), "start")
}

func newIncarnation() string {
	var id [8]byte
	_, _ = rand.Read(id[:]) // never fails
	return hex.EncodeToString(id[:])
}

// Addr returns the host:port at which all workers of the host listen.
func (h *Host) Addr() string { return h.server.Addr() }

// Run announces the workers and answers calls until ctx ends or all have left after a drain; then it closes the host.
// It fails with Disk if a journal cannot be written.
func (h *Host) Run(ctx context.Context) error {
	_ = level.Info(h.logger).Log("msg", "workers started", "addr", h.Addr(), "count", len(h.drivers),
		"kind", h.settings.Kind)
	for _, d := range h.drivers {
		h.group.Go(d.announceLoop)
	}
	select {
	case <-ctx.Done():
	case <-h.done:
	}
	h.Close()
	return errs.Pass(h.failure(), "minions at %s", h.Addr())
}

// Drain turns draining of all workers on or off. With leave it is final: Run returns once no run is in progress and all
// ends are acknowledged, or when the grace has elapsed.
func (h *Host) Drain(on, leave bool) {
	for _, d := range h.drivers {
		d.step(func(now time.Duration) Actions { return d.core.Drain(now, on, leave) })
	}
}

// Close stops the workers and their runs at once, without journal entries.
func (h *Host) Close() {
	h.group.Cancel()
	for _, d := range h.drivers {
		d.close()
	}
	if err := h.server.Stop(serverGrace); err != nil {
		_ = level.Warn(h.logger).Log("msg", "calls aborted", "err", err)
	}
	h.client.Close()
	h.group.Stop()
	for _, writer := range h.journals {
		if err := writer.Close(); err != nil {
			_ = level.Warn(h.logger).Log("msg", "journal not closed", "err", err)
		}
	}
}

func (h *Host) failure() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.err
}

// workerLeft counts a worker that has left. A non-nil err means that the worker could not write its journal: then Run
// ends, with the first such error.
func (h *Host) workerLeft(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.remaining--
	if err != nil && h.err == nil {
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

// serveRenewLease answers a lease call, or drops its answer.
func (h *Host) serveRenewLease(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		rpc.WriteError(w, errs.Field(errs.Invalid, "method", "%s is not allowed at this path", r.Method))
		return
	}
	raw, err := rpc.ReadBody(r, rpc.MaxBody)
	if err != nil {
		rpc.WriteError(w, errs.Pass(err, "hold"))
		return
	}
	var call internalapi.LeaseCall
	if err := json.Unmarshal(raw, &call); err != nil {
		err = errs.Wrap(err, errs.Malformed, "body is not a valid lease call")
		rpc.WriteError(w, errs.Pass(err, "hold"))
		return
	}
	d := h.drivers[call.Worker]
	if d == nil {
		rpc.WriteError(w, errs.Field(errs.Unknown, "minion", "%q is not a worker of this host", call.Worker))
		return
	}
	answer, isLost, err := d.renewLease(r.Context(), call)
	switch {
	case isLost:
		h.dropConnection(w)
	case err != nil:
		rpc.WriteError(w, err)
	default:
		rpc.WriteJSON(w, http.StatusOK, answer)
	}
}

// dropConnection closes the connection of w without an answer. If the connection can't be hijacked, it starts an answer
// that it never completes, and the caller's time-out closes the connection.
func (h *Host) dropConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		_ = level.Warn(h.logger).Log("msg", "answer left unfinished", "err", err)
		w.Header().Set("Content-Length", strconv.Itoa(1<<20))
		w.WriteHeader(http.StatusOK)
		return
	}
	_ = conn.Close()
}
