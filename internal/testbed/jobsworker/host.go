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
	heartbeatWithin = time.Second
	serverGrace     = time.Second
	idlePause       = time.Minute // between looks at the clock while nothing runs
	idleLook        = 50 * time.Millisecond
)

// Settings are those of one worker process; Name, Address, Service, Zone and Core are needed.
type Settings struct {
	Name     string // of the machine; the worker's ID is drawn anew with each life
	Address  string // IP:PORT to listen at; port 0 takes a free one
	Service  string
	Zone     string
	Rack     string
	Labels   []string
	Capacity jobs.Resources
	Core     []string      // control addresses of core nodes
	Every    time.Duration // from heartbeat to heartbeat, default 1s
	Grace    time.Duration // for what runs when the worker is told to leave, and for its ends to be known; default 5s
	Journal  string        // file; empty: none
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
	if len(s.Core) == 0 {
		return errs.Field(errs.Settings, "core", "must be given")
	}
	return nil
}

// Host is a worker's life as a process: its server, its heartbeats and its timer round a Core.
type Host struct {
	set    Settings
	id     string
	clock  clock.Clock
	logger log.Logger
	born   time.Duration
	server *rpc.Server
	caller *rpc.Client
	pen    *journal.Writer
	group  *routine.Group

	mu       sync.Mutex
	core     *Core
	ended    chan struct{} // closed when another run has ended, or one came
	sequence int           // of the newest heartbeat
	draining bool
	next     int    // of Core: whom the next heartbeat goes to
	leader   string // where heartbeats are best sent to; empty: not known
}

// Open makes a worker's life and listens. Failures: Settings, Disk. Example:
//
//	host, err := jobsworker.Open(settings, clock.Real{}, logger)
//	if err != nil {
//		return errs.Pass(err, "worker")
//	}
//	return host.Run(ctx)
func Open(set Settings, clock clock.Clock, logger log.Logger) (*Host, error) {
	if err := set.Check(); err != nil {
		return nil, errs.Pass(err, "worker")
	}
	if set.Every <= 0 {
		set.Every = time.Second
	}
	if set.Grace <= 0 {
		set.Grace = 5 * time.Second
	}
	var life [6]byte
	_, _ = rand.Read(life[:]) // never fails
	h := &Host{set: set, id: set.Name + "-" + hex.EncodeToString(life[:]), clock: clock, logger: logger, born: clock.Now(),
		group: routine.New(context.Background()), ended: make(chan struct{})}
	if err := h.openJournal(); err != nil {
		return nil, errs.Pass(err, "worker %s", set.Name)
	}
	h.core = NewCore(h.id, set.Capacity, h.record)
	h.caller = rpc.NewClient(rpc.ClientOptions{Logger: logger, Clock: clock})
	h.server = rpc.NewServer(rpc.ServerOptions{Addr: set.Address, Logger: logger, Clock: clock, Loops: 1})
	rpc.Handle(h.server, workerapi.StartPair, h.start)
	rpc.Handle(h.server, workerapi.StopPair, h.stop)
	rpc.Handle(h.server, workerapi.RenewLeasePair, h.hold)
	h.record(Event{Event: EventBorn, Worker: h.id, Zone: set.Zone, Rack: set.Rack, Labels: set.Labels, Needs: set.Capacity})
	if err := h.server.Start(); err != nil {
		h.close()
		return nil, errs.Pass(err, "worker %s", set.Name)
	}
	return h, nil
}

func (h *Host) openJournal() (err error) {
	if h.set.Journal != "" {
		h.pen, err = journal.Open(h.set.Journal)
	}
	return errs.Pass(err, "journal")
}

// ID is the name of this life of the worker.
func (h *Host) ID() string { return h.id }

// record writes an event. A worker that cannot write its journal is of no use: it ends at once.
func (h *Host) record(e Event) {
	if h.pen == nil {
		return
	}
	e.At = h.clock.Wall()
	if err := h.pen.Append(e); err != nil {
		_ = level.Error(h.logger).Log("msg", "the journal cannot be written", "err", err)
		h.group.Cancel()
	}
}

// Run answers calls and sends heartbeats until ctx ends. Then the worker drains: nothing new starts, what runs has the
// grace to end; it stops the rest and says that it leaves.
func (h *Host) Run(ctx context.Context) error {
	h.group.Go(h.watch)
	h.group.Go(h.heartbeats)
	select {
	case <-ctx.Done():
		h.leave()
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
	if h.pen != nil {
		_ = h.pen.Close() // each line was written whole
	}
}

// now is the worker's own clock, which starts with its life.
func (h *Host) now() time.Duration { return h.clock.Now() - h.born }

// tell wakes all that wait for an end. The mutex is held.
func (h *Host) tell() {
	close(h.ended)
	h.ended = make(chan struct{})
}

func (h *Host) start(_ context.Context, call workerapi.StartCall) (workerapi.StartAnswer, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	answer, err := h.core.Start(h.now(), call)
	h.tell()
	return answer, errs.Pass(err, "worker")
}

func (h *Host) stop(_ context.Context, call workerapi.StopCall) (workerapi.StopAnswer, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	answer, err := h.core.Stop(h.now(), call)
	h.tell()
	return answer, errs.Pass(err, "worker")
}

func (h *Host) hold(ctx context.Context, call workerapi.RenewLeaseCall) (workerapi.RenewLeaseAnswer, error) {
	h.mu.Lock()
	err := h.core.Hold(h.now(), call)
	h.mu.Unlock()
	if err != nil {
		return workerapi.RenewLeaseAnswer{}, errs.Pass(err, "worker")
	}
	h.await(ctx, h.now()+call.Wait)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.core.Advance(h.now())
	return h.core.Lists(h.now()), nil
}

// await waits until an end is listed, or a time.
func (h *Host) await(ctx context.Context, until time.Duration) {
	over := make(chan struct{})
	ring := h.clock.Set(until-h.now(), func() { close(over) })
	defer ring.Stop()
	for {
		h.mu.Lock()
		waits, ended := len(h.core.ends) == 0, h.ended
		h.mu.Unlock()
		if !waits || h.now() >= until {
			return
		}
		select {
		case <-ended:
		case <-over:
			return
		case <-ctx.Done():
			return
		}
	}
}

// watch carries out what time brings.
func (h *Host) watch(ctx context.Context) {
	for {
		h.mu.Lock()
		if h.core.Advance(h.now()) {
			h.tell()
		}
		next, runs := h.core.Next()
		changed := h.ended
		h.mu.Unlock()
		pause := idlePause
		if runs {
			pause = max(next-h.now(), time.Millisecond)
		}
		if !h.pause(ctx, pause, changed) {
			return
		}
	}
}

// pause waits for a time or until changed is closed; false when ctx has ended.
func (h *Host) pause(ctx context.Context, d time.Duration, changed <-chan struct{}) bool {
	over := make(chan struct{})
	ring := h.clock.Set(d, func() { close(over) })
	defer ring.Stop()
	select {
	case <-over:
	case <-changed:
	case <-ctx.Done():
		return false
	}
	return true
}

// heartbeats tells the core of the worker now and again.
func (h *Host) heartbeats(ctx context.Context) {
	for {
		h.beat(ctx, jobsapi.StateReady)
		if !h.pause(ctx, h.set.Every, nil) {
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

// beat sends one heartbeat, to the leader if it is known; after a failure the next one goes to another node.
func (h *Host) beat(ctx context.Context, state string) {
	h.mu.Lock()
	h.sequence++
	if h.draining && state == jobsapi.StateReady {
		state = jobsapi.StateDraining
	}
	body := heartbeat{State: state, Sequence: h.sequence, Clock: max(h.now().Nanoseconds(), 0), Address: h.server.Addr(),
		Service: h.set.Service, Zone: h.set.Zone, Rack: h.set.Rack, Labels: h.set.Labels,
		Capacity: jobsapi.Resources{MilliCPU: h.set.Capacity.MilliCPU, MemoryMB: h.set.Capacity.MemoryMB, GPUs: h.set.Capacity.GPUs}}
	if h.draining {
		body.Remaining = h.set.Grace.Nanoseconds()
	}
	addr := h.leader
	if addr == "" {
		addr = h.set.Core[h.next%len(h.set.Core)]
	}
	h.mu.Unlock()
	leader, err := h.send(ctx, addr, body)
	if err != nil {
		_ = level.Debug(h.logger).Log("msg", "heartbeat", "to", addr, "err", err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leader = leader
	if err != nil {
		h.next = (h.next + 1) % math.MaxInt32
	}
}

func (h *Host) send(ctx context.Context, addr string, body heartbeat) (leader string, err error) {
	data, err := json.Marshal(body)
	if err != nil {
		return "", errs.Wrap(err, errs.Internal, "encode a heartbeat")
	}
	request := rpc.Request{Method: http.MethodPost, Path: "/v2/workers/" + h.id + "/heartbeat", Body: data,
		Header: map[string]string{"Content-Type": "application/json"}}
	response, err := h.caller.Do(ctx, addr, request, heartbeatWithin)
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
	h.beat(ctx, jobsapi.StateDraining)
}

// leave drains, gives what runs the grace to end, stops the rest, and says that the worker ends once the core knows of
// all ends.
func (h *Host) leave() {
	ctx := h.group.Context()
	h.Drain(ctx)
	h.awaitIdle(ctx, h.set.Grace)
	h.mu.Lock()
	h.core.StopAll(h.now())
	h.tell()
	h.mu.Unlock()
	h.awaitIdle(ctx, h.set.Grace)
	h.beat(ctx, jobsapi.StateLeaving)
}

// awaitIdle waits until nothing runs and all ends were acknowledged, or for a time.
func (h *Host) awaitIdle(ctx context.Context, within time.Duration) {
	for until := h.now() + within; h.now() < until; {
		h.mu.Lock()
		idle := h.core.Idle()
		h.mu.Unlock()
		if idle || !h.pause(ctx, idleLook, nil) {
			return
		}
	}
}
