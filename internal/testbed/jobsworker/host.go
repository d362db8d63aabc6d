package jobsworker

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"math"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/httpapi/jobsapi"
	"crosstide/internal/httpapi/workerapi"
	"crosstide/internal/jobs"
	"crosstide/internal/routine"
	"crosstide/internal/rpc"
	"crosstide/internal/testbed/journal"
)

const (
	heartbeatTimeout = time.Second
	serverGrace      = time.Second
	idleInterval     = time.Minute // between looks at the clock while nothing runs
	idlePollInterval = 50 * time.Millisecond
)

// Settings are those of one worker process; Name, Address, Service, Zone and Core are needed.
type Settings struct {
	Name              string // of the machine; the worker's ID is drawn anew with each life
	Address           string // IP:PORT to listen at; port 0 takes a free one
	Service           string
	Zone              string
	Rack              string
	Labels            []string
	Capacity          jobs.Resources
	ControlAddrs      []string      // control addresses of core nodes
	HeartbeatInterval time.Duration // from heartbeat to heartbeat, default 1s
	Grace             time.Duration // for what runs when the worker is told to leave, and for its ends to be known; default 5s
	Journal           string        // file; empty: none
}

// Check tells what is wrong with settings. Failure: Settings with the field.
func (s Settings) Check() error {
	if _, err := netip.ParseAddrPort(s.Address); err != nil {
		return errs.Field(errs.Settings, "address", "must be IP:PORT, is %q", s.Address)
	}
	for field, value := range map[string]string{"name": s.Name, "service": s.Service, "zone": s.Zone} {
		if value == "" {
			return errs.Field(errs.Settings, field, "must not be empty")
		}
	}
	if len(s.ControlAddrs) == 0 {
		return errs.Field(errs.Settings, "core", "must be given")
	}
	return nil
}

// Host is a worker's life as a process: its server, its heartbeats and its timer round a Core.
type Host struct {
	settings  Settings
	id        string
	clock     clock.Clock
	logger    log.Logger
	startedAt time.Duration
	server    *rpc.Server
	caller    *rpc.Client
	writer    *journal.Writer
	group     *routine.Group

	mu       sync.Mutex
	core     *Core
	changed  chan struct{} // closed when another run has ended, or one came
	sequence int           // of the newest heartbeat
	draining bool
	nextCore int    // of Core: whom the next heartbeat goes to
	leader   string // where heartbeats are best sent to; empty: not known
}

// Open makes a worker's life and listens. Failures: Settings, Disk. Example:
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
	if settings.HeartbeatInterval <= 0 {
		settings.HeartbeatInterval = time.Second
	}
	if settings.Grace <= 0 {
		settings.Grace = 5 * time.Second
	}
	var suffix [6]byte
	_, _ = rand.Read(suffix[:]) // never fails
	h := &Host{settings: settings, id: settings.Name + "-" + hex.EncodeToString(suffix[:]), clock: clock, logger: logger, startedAt: clock.Now(),
		group: routine.New(context.Background()), changed: make(chan struct{})}
	if err := h.openJournal(); err != nil {
		return nil, errs.Pass(err, "worker %s", settings.Name)
	}
	h.core = NewCore(h.id, settings.Capacity, h.record)
	h.caller = rpc.NewClient(rpc.ClientOptions{Logger: logger, Clock: clock})
	h.server = rpc.NewServer(rpc.ServerOptions{Addr: settings.Address, Logger: logger, Clock: clock, Loops: 1})
	rpc.Handle(h.server, workerapi.StartEndpoint, h.start)
	rpc.Handle(h.server, workerapi.StopEndpoint, h.stop)
	rpc.Handle(h.server, workerapi.RenewLeaseEndpoint, h.renewLease)
	h.record(Event{Event: EventWorkerStart, Worker: h.id, Zone: settings.Zone, Rack: settings.Rack, Labels: settings.Labels, Needs: settings.Capacity})
	if err := h.server.Start(); err != nil {
		h.close()
		return nil, errs.Pass(err, "worker %s", settings.Name)
	}
	return h, nil
}

func (h *Host) openJournal() (err error) {
	if h.settings.Journal != "" {
		h.writer, err = journal.Open(h.settings.Journal)
	}
	return errs.Pass(err, "journal")
}

// ID is the name of this life of the worker.
func (h *Host) ID() string { return h.id }

// record writes an event. A worker that cannot write its journal is of no use: it ends at once.
func (h *Host) record(e Event) {
	if h.writer == nil {
		return
	}
	e.At = h.clock.Wall()
	if err := h.writer.Append(e); err != nil {
		_ = level.Error(h.logger).Log("msg", "the journal cannot be written", "err", err)
		h.group.Cancel()
	}
}

// Run answers calls and sends heartbeats until ctx ends. Then the worker drains: nothing new starts, what runs has the
// grace to end; it stops the rest and says that it leaves.
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

func (h *Host) close() {
	if err := h.server.Stop(serverGrace); err != nil {
		_ = level.Warn(h.logger).Log("msg", "calls were cut off", "err", err)
	}
	h.caller.Close()
	if h.writer != nil {
		_ = h.writer.Close() // each line was written whole
	}
}

// now is the worker's own clock, which starts with its life.
func (h *Host) now() time.Duration { return h.clock.Now() - h.startedAt }

// broadcast wakes all that wait for an end. The mutex is held.
func (h *Host) broadcast() {
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *Host) start(_ context.Context, call workerapi.StartCall) (workerapi.StartAnswer, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	answer, err := h.core.Start(h.now(), call)
	h.broadcast()
	return answer, errs.Pass(err, "worker")
}

func (h *Host) stop(_ context.Context, call workerapi.StopCall) (workerapi.StopAnswer, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	answer, err := h.core.Stop(h.now(), call)
	h.broadcast()
	return answer, errs.Pass(err, "worker")
}

func (h *Host) renewLease(ctx context.Context, call workerapi.RenewLeaseCall) (workerapi.RenewLeaseAnswer, error) {
	h.mu.Lock()
	err := h.core.RenewLease(h.now(), call)
	h.mu.Unlock()
	if err != nil {
		return workerapi.RenewLeaseAnswer{}, errs.Pass(err, "worker")
	}
	h.waitForEnd(ctx, h.now()+call.Wait)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.core.Advance(h.now())
	return h.core.Status(h.now()), nil
}

// waitForEnd waits until an end is listed, or a time.
func (h *Host) waitForEnd(ctx context.Context, until time.Duration) {
	elapsed := make(chan struct{})
	timer := h.clock.Set(until-h.now(), func() { close(elapsed) })
	defer timer.Stop()
	for {
		h.mu.Lock()
		waits, ended := len(h.core.unacknowledged) == 0, h.changed
		h.mu.Unlock()
		if !waits || h.now() >= until {
			return
		}
		select {
		case <-ended:
		case <-elapsed:
			return
		case <-ctx.Done():
			return
		}
	}
}

// advanceLoop carries out what time brings.
func (h *Host) advanceLoop(ctx context.Context) {
	for {
		h.mu.Lock()
		if h.core.Advance(h.now()) {
			h.broadcast()
		}
		next, runs := h.core.NextDeadline()
		changed := h.changed
		h.mu.Unlock()
		pause := idleInterval
		if runs {
			pause = max(next-h.now(), time.Millisecond)
		}
		if !h.sleep(ctx, pause, changed) {
			return
		}
	}
}

// sleep waits for a time or until changed is closed; false when ctx has ended.
func (h *Host) sleep(ctx context.Context, d time.Duration, changed <-chan struct{}) bool {
	elapsed := make(chan struct{})
	timer := h.clock.Set(d, func() { close(elapsed) })
	defer timer.Stop()
	select {
	case <-elapsed:
	case <-changed:
	case <-ctx.Done():
		return false
	}
	return true
}

// heartbeatLoop tells the core of the worker now and again.
func (h *Host) heartbeatLoop(ctx context.Context) {
	for {
		h.sendHeartbeat(ctx, jobsapi.StateReady)
		if !h.sleep(ctx, h.settings.HeartbeatInterval, nil) {
			return
		}
	}
}

// heartbeat is the body of a heartbeat.
type heartbeat struct {
	State     string            `json:"state"`
	Sequence  int               `json:"sequence"`
	Clock     int64             `json:"clock"`
	Remaining int64             `json:"remaining,omitempty"`
	Address   string            `json:"address"`
	Service   string            `json:"service"`
	Zone      string            `json:"zone"`
	Rack      string            `json:"rack,omitempty"`
	Labels    []string          `json:"labels,omitempty"`
	Capacity  jobsapi.Resources `json:"capacity"`
}

// sendHeartbeat sends one heartbeat, to the leader if it is known; after a failure the next one goes to another node.
func (h *Host) sendHeartbeat(ctx context.Context, state string) {
	h.mu.Lock()
	h.sequence++
	if h.draining && state == jobsapi.StateReady {
		state = jobsapi.StateDraining
	}
	body := heartbeat{State: state, Sequence: h.sequence, Clock: max(h.now().Nanoseconds(), 0), Address: h.server.Addr(),
		Service: h.settings.Service, Zone: h.settings.Zone, Rack: h.settings.Rack, Labels: h.settings.Labels,
		Capacity: jobsapi.Resources{MilliCPU: h.settings.Capacity.MilliCPU, MemoryMB: h.settings.Capacity.MemoryMB, GPUs: h.settings.Capacity.GPUs}}
	if h.draining {
		body.Remaining = h.settings.Grace.Nanoseconds()
	}
	addr := h.leader
	if addr == "" {
		addr = h.settings.ControlAddrs[h.nextCore%len(h.settings.ControlAddrs)]
	}
	h.mu.Unlock()
	leader, err := h.postHeartbeat(ctx, addr, body)
	if err != nil {
		_ = level.Debug(h.logger).Log("msg", "heartbeat", "to", addr, "err", err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leader = leader
	if err != nil {
		h.nextCore = (h.nextCore + 1) % math.MaxInt32
	}
}

func (h *Host) postHeartbeat(ctx context.Context, addr string, body heartbeat) (leader string, err error) {
	data, err := json.Marshal(body)
	if err != nil {
		return "", errs.Wrap(err, errs.Internal, "encode a heartbeat")
	}
	request := rpc.Request{Method: http.MethodPost, Path: "/v2/workers/" + h.id + "/heartbeat", Body: data,
		Header: map[string]string{"Content-Type": "application/json"}}
	response, err := h.caller.Do(ctx, addr, request, heartbeatTimeout)
	if err != nil {
		return "", errs.Pass(err, "heartbeat")
	}
	if response.Status != http.StatusOK {
		return "", errs.New(errs.Unavailable, "status %d: %s", response.Status, response.Body)
	}
	var answer jobsapi.Heartbeat
	err = json.Unmarshal(response.Body, &answer)
	return answer.Leader, errs.Wrap(err, errs.Malformed, "answer to a heartbeat")
}

// Drain makes the worker take nothing new from here on, and says so.
func (h *Host) Drain(ctx context.Context) {
	h.mu.Lock()
	h.draining = true
	h.core.Drain()
	h.mu.Unlock()
	h.sendHeartbeat(ctx, jobsapi.StateDraining)
}

// drainAndStop drains, gives what runs the grace to end, stops the rest, and says that the worker ends once the core knows of
// all ends.
func (h *Host) drainAndStop() {
	ctx := h.group.Context()
	h.Drain(ctx)
	h.waitIdle(ctx, h.settings.Grace)
	h.mu.Lock()
	h.core.StopAll(h.now())
	h.broadcast()
	h.mu.Unlock()
	h.waitIdle(ctx, h.settings.Grace)
	h.sendHeartbeat(ctx, jobsapi.StateLeaving)
}

// waitIdle waits until nothing runs and all ends were acknowledged, or for a time.
func (h *Host) waitIdle(ctx context.Context, within time.Duration) {
	for until := h.now() + within; h.now() < until; {
		h.mu.Lock()
		idle := h.core.IsIdle()
		h.mu.Unlock()
		if idle || !h.sleep(ctx, idlePollInterval, nil) {
			return
		}
	}
}
