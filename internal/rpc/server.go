package rpc

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/prometheus/client_golang/prometheus"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/routine"
)

// ServerOptions are the settings of a Server; only Addr is required.
type ServerOptions struct {
	Addr     string                // host:port to listen at; port 0: a free one
	Logger   log.Logger            // default: none
	Limits   Limits                // of each connection; see SetLimits
	Clock    clock.Clock           // default clock.Real
	Registry prometheus.Registerer // default: the counters are not registered
	// Descriptors is an upper bound on the file descriptors of the process: each server has a table of that length. The
	// lowest value set in a process applies to all its servers. Default: the limit of the system.
	Descriptors int
	// Loops is the number of event loops. Default: nbio's.
	Loops int
	// Quota limits the connections. For a connection beyond it, others that wait without a request are closed; if no
	// connection waits, its first request is answered with errs.Unavailable and Retry-After. Default: no limit.
	Quota *ConnQuota
	// Memory limits what callers make the process hold. Default: no limit.
	Memory *MemoryShare
}

// withDefaults returns the options with their defaults filled in.
func (opt ServerOptions) withDefaults() ServerOptions {
	if opt.Logger == nil {
		opt.Logger = log.NewNopLogger()
	}
	opt.Limits = opt.Limits.WithDefaults()
	if opt.Clock == nil {
		opt.Clock = clock.Real{}
	}
	return opt
}

// Server answers calls of endpoints and other requests. Each request has its own goroutine, so any number of them may
// block (long polls) without delaying others. A connection has one request at a time.
type Server struct {
	opt      ServerOptions
	mux      *http.ServeMux // read-only from Start on
	engine   *nbhttp.Engine
	requests *routine.Group // goroutines of the requests; its context is the context of each request
	metrics  *metrics
	listener *listener // nil before Start
	// accepted synchronizes the opening of a connection with its first read, or its close without one: nbio passes a
	// connection from the accepting goroutine to an event loop only through epoll, which Go's memory model does not
	// count as synchronization.
	accepted  atomic.Int64
	admission *admission
	current   atomic.Pointer[Limits] // the limits in force
	// refusalLoggedAt is when a refusal was last logged, on the clock of the options; 0: never.
	refusalLoggedAt atomic.Int64

	mu             sync.Mutex    // guards the fields below
	activeRequests int           // requests that were read completely and are not answered yet
	stopping       bool          // Stop was called: new requests are rejected
	drained        chan struct{} // closed once the server is stopping and no request is active
	drainedClosed  bool
}

// NewServer returns a server that does not listen yet. Example:
//
//	s := rpc.NewServer(rpc.ServerOptions{Addr: "127.0.0.1:0"})
//	rpc.Handle(s, Vote, func(ctx context.Context, b Ballot) (Verdict, error) { return store.Vote(ctx, b) })
//	if err := s.Start(); err != nil {
//		return errs.Pass(err, "start the server")
//	}
//	defer s.Stop(5 * time.Second)
func NewServer(opt ServerOptions) *Server {
	opt = opt.withDefaults()
	redirectLogs(opt.Logger)
	useBufferAllocator()
	boundDescriptors(opt.Descriptors)
	s := &Server{
		opt:       opt,
		mux:       http.NewServeMux(),
		requests:  routine.New(context.Background()),
		metrics:   newMetrics("server", opt.Registry),
		admission: newAdmission(opt.Quota),
		drained:   make(chan struct{}),
	}
	s.SetLimits(opt.Limits)
	s.engine = s.newEngine()
	return s
}

// SetLimits replaces the limits of each connection. They apply to requests that arrive from then on; the sizes of the
// kernel's buffers apply to connections that are opened from then on.
func (s *Server) SetLimits(limits Limits) {
	limits = limits.WithDefaults()
	s.current.Store(&limits)
}

// BodyLimit returns the limit of the length of a body that is in force, in bytes.
func (s *Server) BodyLimit() int64 { return s.limits().BodyBytes }

func (s *Server) limits() Limits { return *s.current.Load() }

// newEngine returns nbio's engine with the server's callbacks.
func (s *Server) newEngine() *nbhttp.Engine {
	// The server's own limits are lower and count each connection's bytes; these are the last resort.
	const lastResort = 2 * MaxBody
	engine := nbhttp.NewEngine(nbhttp.Config{
		Name:               "rpc",
		Network:            "tcp",
		Addrs:              []string{s.opt.Addr},
		Listen:             s.takeListener,
		MaxLoad:            100_000,
		MaxHTTPBodySize:    lastResort,
		ReadLimit:          lastResort,
		MaxWriteBufferSize: lastResort,
		SupportServerOnly:  true,
		NPoller:            s.opt.Loops,
		Handler:            http.HandlerFunc(s.serve),
		ServerExecutor:     s.execute,
		Context:            s.requests.Context(),
		Cancel:             s.requests.Cancel,
		KeepaliveTime:      nbioDeadline,
	})
	engine.OnClose(func(c net.Conn, _ error) { s.onClose(c) })
	engine.Engine.OnOpen(func(c *nbio.Conn) {
		s.attachConn(c)
		s.accepted.Add(1)
	})
	engine.Engine.OnData(s.onData)
	engine.Engine.OnWrittenSize(func(c *nbio.Conn, _ []byte, n int) {
		if conn := serverConnOf(c); conn != nil {
			conn.onWritten(n)
		}
	})
	return engine
}

// onClose releases what a closed connection holds.
func (s *Server) onClose(c net.Conn) {
	if conn := serverConnOf(c); conn != nil {
		conn.onClosed()
		s.admission.onClose(conn)
	}
}

// execute runs handle, which handles a request and writes its response, on a new goroutine.
func (s *Server) execute(handle func()) {
	s.accepted.Load()
	s.mu.Lock()
	s.activeRequests++
	s.mu.Unlock()
	s.requests.Go(func(context.Context) {
		defer s.requestDone()
		handle()
	})
}

// requestDone removes a request that execute counted from the active ones.
func (s *Server) requestDone() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeRequests--
	s.signalDrained()
}

// signalDrained closes drained, at most once, if the server is stopping and no request is active. The caller holds mu.
func (s *Server) signalDrained() {
	if s.activeRequests > 0 || !s.stopping || s.drainedClosed {
		return
	}
	s.drainedClosed = true
	close(s.drained)
}

// Start listens at the address and returns once the server can answer requests. Failure: Settings if it cannot listen.
// The socket is opened before the engine starts: an engine that cannot listen stops its event loops immediately, and
// waits forever for a loop that is not running yet.
func (s *Server) Start() error {
	if err := s.listen(); err != nil {
		return errs.Pass(err, "listen at %s", s.opt.Addr)
	}
	if err := s.engine.Start(); err != nil {
		return errs.Wrap(err, errs.Settings, "start at %s", s.opt.Addr)
	}
	return errs.Wrap(s.waitForLoops(), errs.Internal, "start the event loops")
}

// Addr returns the host:port at which the server listens, once Start has returned.
func (s *Server) Addr() string { return s.engine.Addrs[0] }

// Stop closes the listener, rejects new requests as errs.Stopped, and waits up to grace for the active ones. Then it
// cancels the context of the remaining requests and closes all connections. Failure: Timeout if any remained. Stop must
// be called at most once; it returns nil if the server was not started.
func (s *Server) Stop(grace time.Duration) error {
	if s.listener == nil {
		return nil
	}
	s.listener.stopAccepting()
	s.mu.Lock()
	s.stopping = true
	s.signalDrained()
	s.mu.Unlock()
	graceExpired := make(chan struct{})
	timer := s.opt.Clock.Set(grace, func() { close(graceExpired) })
	defer timer.Stop()
	var err error
	select {
	case <-s.drained:
	case <-graceExpired:
		s.mu.Lock()
		remaining := s.activeRequests
		s.mu.Unlock()
		if remaining > 0 {
			err = errs.New(errs.Timeout, "%d requests were still active after %s", remaining, grace)
		}
	}
	s.engine.Stop()
	return err
}
